import { chunked } from '../core/chunked.js';
import type { Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, MachineType, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { CloudClient } from '../wire/cloud.js';
import type { ListedMachine } from '../wire/schemas.js';
import { Actor } from './actor.js';
import { TokenBucket } from './token-bucket.js';
import type { LogActor } from './log.js';

type CloudMessage =
  | { kind: 'tick' }
  /** Machines to be returned without a record: what is withdrawn runs there and can't be stopped. */
  | { kind: 'returnWithoutRecord'; machines: Machine[] };

const place = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

/** Rents, returns and lists machines within the cloud's rate. */
export class CloudActor extends Actor<CloudMessage> {
  private readonly renting = new Set<string>();
  private readonly returning = new Set<MachineId>();
  private readonly dry = new Map<string, { until: SteadyMs; pause: number }>();
  private readonly calls: TokenBucket;
  private listedAt = -Infinity;
  private listing = false;
  private typesAt = -Infinity;
  private typing = false;
  private notBefore = -Infinity;
  private readonly strays = new Map<MachineId, SteadyMs>();

  constructor(
    private readonly state: ClusterState,
    private readonly cloud: CloudClient,
    private readonly log: LogActor,
    private readonly clock: Clock,
    private readonly limits: { rps: number; list_lag_s: number },
    private readonly certain: () => boolean,
    private readonly logger: Logger,
  ) {
    super();
    this.calls = new TokenBucket(clock, limits.rps * 0.85, limits.rps);
  }

  /** Whether a type, zone and kind had nothing to give a moment ago. */
  backoff(type: string, zone: string, spot: boolean): boolean {
    const d = this.dry.get(place(type, zone, spot));
    return d !== undefined && d.until > this.clock.steady();
  }

  private spend(): boolean {
    if (this.calls.available < 1) return false;
    this.calls.take(1);
    return true;
  }

  protected receive(m: CloudMessage): void {
    const now = this.clock.steady();
    if (now < this.notBefore) return;
    if (m.kind === 'returnWithoutRecord') return this.giveBack(m.machines);
    if (!this.certain()) return;
    this.giveBack([...this.state.machines.values()].filter((x) => x.drop));
    this.rent();
    if ((this.state.machineTypes.size === 0 || now - this.typesAt > 60_000) && !this.typing && this.spend())
      void this.readTypes();
    if (now - this.listedAt > 4000 && !this.listing && this.spend()) void this.list();
  }

  private trouble(): void {
    this.notBefore = this.clock.steady() + 1500;
  }

  private async readTypes(): Promise<void> {
    this.typing = true;
    const types = await this.cloud.listMachineTypes();
    this.typing = false;
    if (this.stopped) return;
    if (!types) return this.trouble();
    this.typesAt = this.clock.steady();
    const same = (a: MachineType | undefined, b: MachineType): boolean =>
      a !== undefined && JSON.stringify(a) === JSON.stringify(b);
    if (
      types.length !== this.state.machineTypes.size ||
      types.some((t) => !same(this.state.machineTypes.get(t.name), t))
    )
      this.log.tell({ entries: [{ e: 'types', types }] });
  }

  private rent(): void {
    for (const h of this.state.pendingRentals.values()) {
      if (this.renting.has(h.name) || !this.spend()) continue;
      this.renting.add(h.name);
      void this.cloud.rentMachines(h).then((r) => {
        if (this.stopped) return;
        // Without an answer the same request is repeated under the same name.
        if (r.outcome === 'trouble') {
          this.renting.delete(h.name);
          return this.trouble();
        }
        const machines = r.outcome === 'hired' ? r.machines : [];
        const key = place(h.type, h.zone, h.spot);
        if (machines.length < h.n) {
          const pause = Math.min(30_000, (this.dry.get(key)?.pause ?? 4000) * 1.5);
          this.dry.set(key, { until: (this.clock.steady() + pause) as SteadyMs, pause });
        } else this.dry.delete(key);
        this.logger.info({ hire: h.name, place: key, asked: h.n, got: machines.length }, 'rented');
        this.log.tell({
          entries: [{ e: 'hired', name: h.name, m: machines }],
          onSettled: () => this.renting.delete(h.name),
        });
      });
    }
  }

  private giveBack(machines: Machine[]): void {
    const due = machines.flatMap((m) => (this.returning.has(m.id) ? [] : [m.id])).slice(0, 100);
    if (due.length === 0 || !this.spend()) return;
    for (const id of due) this.returning.add(id);
    void this.cloud.returnMachines(due).then((ok) => {
      if (this.stopped) return;
      if (!ok) {
        for (const id of due) this.returning.delete(id);
        return this.trouble();
      }
      this.logger.debug({ machines: due }, 'returned');
      // The answer is the sure fence: the machines and all that was on them are gone.
      for (const m of chunked(due, 50))
        this.log.tell({
          entries: [{ e: 'gone', m }],
          onSettled: () => {
            for (const id of due) this.returning.delete(id);
          },
        });
    });
  }

  private async list(): Promise<void> {
    this.listing = true;
    this.listedAt = this.clock.steady();
    const all: ListedMachine[] = [];
    for (let after: string | null = null; ;) {
      const p = await this.cloud.listMachines(after);
      if (this.stopped) return;
      if (!p) {
        this.listing = false;
        return this.trouble();
      }
      all.push(...p.machines);
      if (!p.more || p.machines.length === 0) break;
      after = p.machines[p.machines.length - 1]!.id;
    }
    this.listing = false;
    if (!this.certain()) return;
    const failed: MachineId[] = [];
    const strays: MachineId[] = [];
    const now = this.clock.steady();
    for (const l of all) {
      const m = this.state.machines.get(l.id);
      if (m) {
        if (l.state === 'failed' && !m.drop) failed.push(l.id);
        continue;
      }
      // The list is late: a machine that was returned a moment ago still stands in it.
      if (this.state.removedMachines.has(l.id)) continue;
      if (this.state.pendingRentals.size > 0) continue;
      const since = this.strays.get(l.id) ?? now;
      this.strays.set(l.id, since);
      if (l.state === 'failed' || now - since > 20_000) strays.push(l.id);
    }
    if (failed.length > 0)
      this.log.tell({ entries: [{ e: 'drop', m: failed.slice(0, 100), why: 'failed' }] });
    if (strays.length > 0) {
      this.logger.info({ strays }, 'returning machines that nobody asked for');
      if (this.spend() && (await this.cloud.returnMachines(strays.slice(0, 100))) && !this.stopped) {
        this.log.tell({ entries: [{ e: 'gone', m: strays.slice(0, 100) }] });
        for (const s of strays) this.strays.delete(s);
      }
    }
  }
}
