/** Client of the cloud's HTTP interface: machine types, rentals, returns and the list of rented machines. */
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
  /** The cloud has no capacity for this type and zone. */
  | { outcome: 'no_capacity' }
  /** The cloud rejected the request as invalid. */
  | { outcome: 'invalid' }
  /** No usable answer: the rental may have taken place, and can be repeated under the same name. */
  | { outcome: 'unknown' };

/** Each method returns null, false or the outcome 'unknown' if the cloud gave no usable answer in time. */
export class CloudClient {
  constructor(
    private readonly call: HttpCall,
    private readonly address: string,
  ) {}

  async listMachineTypes(): Promise<MachineType[] | null> {
    const response = await this.call(this.address, 'GET', '/flavors', undefined, 3000);
    try {
      return response?.status === 200 ? readMachineTypes(response.body) : null;
    } catch {
      return null;
    }
  }

  /** Rents up to `n` machines; repeating a request under the same name rents no further ones. */
  async rentMachines(rental: {
    name: string;
    type: string;
    zone: string;
    spot: boolean;
    n: number;
  }): Promise<RentalResult> {
    const response = await this.call(this.address, 'POST', '/hosts', writeRentalRequest(rental), 4000);
    if (response?.status === 200) {
      try {
        return { outcome: 'hired', machines: readRentedMachines(response.body) };
      } catch {
        return { outcome: 'unknown' };
      }
    }
    if (
      response?.status === 503 &&
      (response.body as { error?: string } | undefined)?.error === 'no capacity'
    )
      return { outcome: 'no_capacity' };
    return response?.status === 400 ? { outcome: 'invalid' } : { outcome: 'unknown' };
  }

  async returnMachines(machines: readonly MachineId[]): Promise<boolean> {
    const response = await this.call(
      this.address,
      'POST',
      '/hosts/return',
      writeReturnRequest(machines),
      4000,
    );
    return response?.status === 200;
  }

  /** One page of the rented machines, those after the given one in order. */
  async listMachines(after: string | null): Promise<{ machines: ListedMachine[]; more: boolean } | null> {
    const response = await this.call(
      this.address,
      'GET',
      `/hosts?${after === null ? '' : `after=${encodeURIComponent(after)}&`}most=500`,
      undefined,
      3000,
    );
    try {
      return response?.status === 200 ? readMachineList(response.body) : null;
    } catch {
      return null;
    }
  }
}
