import type { HttpResponse } from '../../src/io/http-client.js';
import type { MachineType } from '../../src/core/types.js';
import type { MachineInfo } from './checker.js';
import type { VirtualTime } from './clock.js';
import type { FakeWorker } from './worker.js';

interface RentedMachine extends MachineInfo {
  rentedAt: number;
  standing: 'booting' | 'running' | 'failed';
}

/**
 * The cloud's API: machines boot late or never, the list of machines lags behind, and a repeated rental
 * request gets the machines of the first one.
 */
export class FakeCloud {
  /** Answers every request with 503. */
  down = false;
  /** Machines left to rent, by `type|zone|spot`; without an entry there is no limit. */
  readonly capacity = new Map<string, number>();
  readonly machines = new Map<string, RentedMachine>();
  /** Share of rented machines that never come up. */
  bootFailureRate = 0;
  /** Factor on the boot time of the nth rented machine; with Infinity it never comes up. */
  bootTimeFactor: (n: number) => number = () => 1;
  /** Number of machines rented so far. */
  rentedMachines = 0;
  /** Machines of each rental request that was granted, by the name of the request. */
  private readonly granted = new Map<string, string[]>();
  /** Lists of machines, one a second, from which a lagging answer is taken. */
  private history: { at: number; list: object[] }[] = [];
  private nextNumber = 1;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: () => number,
    readonly types: MachineType[],
    private readonly listLagMs: number,
    private readonly bootWorker: (machine: MachineInfo) => FakeWorker,
    private readonly workerOf: (id: string) => FakeWorker | undefined,
  ) {
    this.recordList();
  }

  /** Answers every request with 503 for a while. */
  outage(ms: number): void {
    this.down = true;
    this.time.after(ms, () => (this.down = false));
  }

  private recordList(): void {
    this.history.push({
      at: this.time.now,
      list: [...this.machines.values()].map((machine) => ({
        name_id: machine.id,
        addr: `${machine.id}:9000`,
        breed: machine.type,
        yard: machine.zone,
        loaners: machine.spot,
        standing: machine.standing,
        held_s: (this.time.now - machine.rentedAt) / 1000,
      })),
    });
    if (this.history.length > 60) this.history.shift();
    this.time.after(1000, () => this.recordList());
  }

  /** A machine fails: it is listed as failed from then on, or no longer listed. */
  failMachine(id: string, listed: 'failed' | 'missing'): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.workerOf(id)?.terminate();
    if (listed === 'missing') this.machines.delete(id);
    else machine.standing = 'failed';
  }

  /** Answers one request of a controller. */
  handle(method: string, path: string, body: unknown): HttpResponse {
    const url = new URL(path, 'http://cloud');
    if (this.down) return { status: 503, body: { error: 'unavailable' } };
    if (url.pathname === '/flavors')
      return {
        status: 200,
        body: {
          breeds: this.types.map((type) => ({
            sku: type.name,
            cpus: type.cpus,
            accelerators: type.gpus,
            mem_gb: type.mem,
            local_gb: type.cacheGb,
            pull_gb_per_s: type.fetch,
            price: type.price,
            market_price: type.spotPrice,
            ready_s: type.boot,
            yards: type.zones,
          })),
        },
      };
    if (method === 'POST' && url.pathname === '/hosts') return this.rent(body as never);
    if (url.pathname === '/hosts/return') {
      for (const id of (body as { mounts: string[] }).mounts) {
        this.workerOf(id)?.terminate();
        const machine = this.machines.get(id);
        const key = machine ? `${machine.type}|${machine.zone}|${machine.spot}` : '';
        if (this.capacity.has(key)) this.capacity.set(key, this.capacity.get(key)! + 1);
        this.machines.delete(id);
      }
      return { status: 200, body: {} };
    }
    const lag = this.listLagMs * (0.5 + this.random() * 1.5);
    const shown = [...this.history].reverse().find((past) => past.at <= this.time.now - lag);
    return { status: 200, body: { mounts: shown?.list ?? [], truncated: false } };
  }

  private rent(request: {
    hire: string;
    breed: string;
    yard: string;
    loaners: boolean;
    count: number;
  }): HttpResponse {
    const earlier = this.granted.get(request.hire);
    if (earlier) return { status: 200, body: { mounts: earlier } };
    const key = `${request.breed}|${request.yard}|${request.loaners}`;
    const count = Math.min(request.count, this.capacity.get(key) ?? Infinity);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    if (this.capacity.has(key)) this.capacity.set(key, this.capacity.get(key)! - count);
    const ids: string[] = [];
    for (let i = 0; i < count; i++) {
      const id = `vm-${String(this.nextNumber++).padStart(6, '0')}`;
      ids.push(id);
      const factor = this.bootTimeFactor(this.rentedMachines++);
      const machine: RentedMachine = {
        id,
        type: request.breed,
        zone: request.yard,
        spot: request.loaners,
        rentedAt: this.time.now,
        standing: 'booting',
      };
      this.machines.set(id, machine);
      if (this.random() < this.bootFailureRate || factor === Infinity) continue;
      const bootMs =
        this.types.find((type) => type.name === request.breed)!.boot *
        1000 *
        (0.6 + this.random() * 0.9) *
        factor;
      this.time.after(bootMs, () => {
        if (!this.machines.has(id)) return;
        machine.standing = 'running';
        this.bootWorker(machine);
      });
    }
    this.granted.set(request.hire, ids);
    return { status: 200, body: { mounts: ids } };
  }
}
