import type { MachineId, MachineType } from '../core/types.js';
import type { HttpCall } from '../io/http-client.js';
import { readHired, readList, readTypes, writeHire, writeReturn, type Listed } from './schemas.js';

export type HireResult =
  { r: 'hired'; machines: MachineId[] } | { r: 'none' } | { r: 'bad' } | { r: 'trouble' };

/** The cloud's interface, as the actors use it. */
export class Cloud {
  constructor(
    private readonly call: HttpCall,
    private readonly address: string,
  ) {}

  async types(): Promise<MachineType[] | null> {
    const a = await this.call(this.address, 'GET', '/flavors', undefined, 3000);
    try {
      return a?.status === 200 ? readTypes(a.body) : null;
    } catch {
      return null;
    }
  }

  async hire(h: { name: string; type: string; zone: string; spot: boolean; n: number }): Promise<HireResult> {
    const a = await this.call(this.address, 'POST', '/hosts', writeHire(h), 4000);
    if (a?.status === 200) {
      try {
        return { r: 'hired', machines: readHired(a.body) };
      } catch {
        return { r: 'trouble' };
      }
    }
    if (a?.status === 503 && (a.body as { error?: string } | undefined)?.error === 'no capacity')
      return { r: 'none' };
    return a?.status === 400 ? { r: 'bad' } : { r: 'trouble' };
  }

  async giveBack(m: readonly MachineId[]): Promise<boolean> {
    const a = await this.call(this.address, 'POST', '/hosts/return', writeReturn(m), 4000);
    return a?.status === 200;
  }

  async page(after: string | null): Promise<{ machines: Listed[]; more: boolean } | null> {
    const a = await this.call(
      this.address,
      'GET',
      `/hosts?${after === null ? '' : `after=${encodeURIComponent(after)}&`}most=500`,
      undefined,
      3000,
    );
    try {
      return a?.status === 200 ? readList(a.body) : null;
    } catch {
      return null;
    }
  }
}
