import type { MachineId, MachineType } from '../core/types.js';
import type { HttpCall } from '../io/http-client.js';
import {
  readRentedMachines,
  readMachineList,
  readMachineTypes,
  writeRentalRequest,
  writeReturnRequest,
  type ListedMachine,
} from './schemas.js';

export type RentalResult =
  | { outcome: 'hired'; machines: MachineId[] }
  | { outcome: 'none' }
  | { outcome: 'bad' }
  | { outcome: 'trouble' };

/** The cloud's interface, as the actors use it. */
export class CloudClient {
  constructor(
    private readonly call: HttpCall,
    private readonly address: string,
  ) {}

  async listMachineTypes(): Promise<MachineType[] | null> {
    const a = await this.call(this.address, 'GET', '/flavors', undefined, 3000);
    try {
      return a?.status === 200 ? readMachineTypes(a.body) : null;
    } catch {
      return null;
    }
  }

  async rentMachines(h: {
    name: string;
    type: string;
    zone: string;
    spot: boolean;
    n: number;
  }): Promise<RentalResult> {
    const a = await this.call(this.address, 'POST', '/hosts', writeRentalRequest(h), 4000);
    if (a?.status === 200) {
      try {
        return { outcome: 'hired', machines: readRentedMachines(a.body) };
      } catch {
        return { outcome: 'trouble' };
      }
    }
    if (a?.status === 503 && (a.body as { error?: string } | undefined)?.error === 'no capacity')
      return { outcome: 'none' };
    return a?.status === 400 ? { outcome: 'bad' } : { outcome: 'trouble' };
  }

  async returnMachines(m: readonly MachineId[]): Promise<boolean> {
    const a = await this.call(this.address, 'POST', '/hosts/return', writeReturnRequest(m), 4000);
    return a?.status === 200;
  }

  async listMachines(after: string | null): Promise<{ machines: ListedMachine[]; more: boolean } | null> {
    const a = await this.call(
      this.address,
      'GET',
      `/hosts?${after === null ? '' : `after=${encodeURIComponent(after)}&`}most=500`,
      undefined,
      3000,
    );
    try {
      return a?.status === 200 ? readMachineList(a.body) : null;
    } catch {
      return null;
    }
  }
}
