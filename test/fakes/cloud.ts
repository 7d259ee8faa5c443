import type { HttpResponse } from '../../src/io/http-client.js';
import type { MachineType } from '../../src/core/types.js';
import type { MachineInfo } from './checker.js';
import type { VirtualTime } from './clock.js';
import type { FakeWorker } from './worker.js';

interface Rented extends MachineInfo {
  at: number;
  standing: 'booting' | 'running' | 'failed';
}

/** The cloud: rents machines that boot late or never, lists them late, filters answered repeats. */
export class FakeCloud {
  down = false;
  /** Machines to give per type, zone and kind; no entry: plenty. */
  readonly capacity = new Map<string, number>();
  readonly machines = new Map<string, Rented>();
  bootFailureRate = 0;
  /** How many times as long as usual the nth machine takes to boot; Infinity: it never comes up. */
  bootTimeFactor: (n: number) => number = () => 1;
  rentedMachines = 0;
  private readonly answered = new Map<string, string[]>();
  private history: { at: number; list: object[] }[] = [];
  private next = 1;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: () => number,
    readonly types: MachineType[],
    private readonly lagMs: number,
    private readonly boot: (p: MachineInfo) => FakeWorker,
    private readonly worker: (id: string) => FakeWorker | undefined,
  ) {
    this.snap();
  }

  outage(ms: number): void {
    this.down = true;
    this.time.after(ms, () => (this.down = false));
  }

  private snap(): void {
    this.history.push({
      at: this.time.now,
      list: [...this.machines.values()].map((m) => ({
        name_id: m.id,
        addr: `${m.id}:9000`,
        breed: m.type,
        yard: m.zone,
        loaners: m.spot,
        standing: m.standing,
        held_s: (this.time.now - m.at) / 1000,
      })),
    });
    if (this.history.length > 60) this.history.shift();
    this.time.after(1000, () => this.snap());
  }

  /** The machine stops by itself, or the cloud takes it. */
  failMachine(id: string, listed: 'failed' | 'missing'): void {
    const m = this.machines.get(id);
    if (!m) return;
    this.worker(id)?.terminate();
    if (listed === 'missing') this.machines.delete(id);
    else m.standing = 'failed';
  }

  handle(method: string, path: string, body: unknown): HttpResponse {
    const url = new URL(path, 'http://cloud');
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/flavors')
      return {
        status: 200,
        body: {
          breeds: this.types.map((t) => ({
            sku: t.name,
            cpus: t.cpus,
            accelerators: t.gpus,
            mem_gb: t.mem,
            local_gb: t.cacheGb,
            pull_gb_per_s: t.fetch,
            price: t.price,
            market_price: t.spotPrice,
            ready_s: t.boot,
            yards: t.zones,
          })),
        },
      };
    if (method === 'POST' && url.pathname === '/hosts') return this.rent(body as never);
    if (url.pathname === '/hosts/return') {
      for (const id of (body as { mounts: string[] }).mounts) {
        this.worker(id)?.terminate();
        const m = this.machines.get(id);
        const key = m ? `${m.type}|${m.zone}|${m.spot}` : '';
        if (this.capacity.has(key)) this.capacity.set(key, this.capacity.get(key)! + 1);
        this.machines.delete(id);
      }
      return { status: 200, body: {} };
    }
    const lag = this.lagMs * (0.5 + this.random() * 1.5);
    const seen = [...this.history].reverse().find((h) => h.at <= this.time.now - lag);
    return { status: 200, body: { mounts: seen?.list ?? [], truncated: false } };
  }

  private rent(b: {
    hire: string;
    breed: string;
    yard: string;
    loaners: boolean;
    count: number;
  }): HttpResponse {
    const before = this.answered.get(b.hire);
    if (before) return { status: 200, body: { mounts: before } };
    const key = `${b.breed}|${b.yard}|${b.loaners}`;
    const n = Math.min(b.count, this.capacity.get(key) ?? Infinity);
    if (n <= 0) return { status: 503, body: { error: 'no capacity' } };
    if (this.capacity.has(key)) this.capacity.set(key, this.capacity.get(key)! - n);
    const ids: string[] = [];
    for (let i = 0; i < n; i++) {
      const id = `vm-${String(this.next++).padStart(6, '0')}`;
      ids.push(id);
      const times = this.bootTimeFactor(this.rentedMachines++);
      const p: Rented = {
        id,
        type: b.breed,
        zone: b.yard,
        spot: b.loaners,
        at: this.time.now,
        standing: 'booting',
      };
      this.machines.set(id, p);
      if (this.random() < this.bootFailureRate || times === Infinity) continue;
      const ready =
        this.types.find((t) => t.name === b.breed)!.boot * 1000 * (0.6 + this.random() * 0.9) * times;
      this.time.after(ready, () => {
        if (!this.machines.has(id)) return;
        p.standing = 'running';
        this.boot(p);
      });
    }
    this.answered.set(b.hire, ids);
    return { status: 200, body: { mounts: ids } };
  }
}
