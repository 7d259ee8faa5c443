/** The actor that uses the cloud's API on behalf of the leader. */
import { chunked } from '../core/chunked.js';
import type { Machine } from '../core/model.js';
import { offerKey } from '../core/offers.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, MachineType, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { CloudClient } from '../wire/cloud.js';
import type { ListedMachine } from '../wire/schemas.js';
import { Actor } from './actor.js';
import { TokenBucket } from './token-bucket.js';
import type { LogActor } from './log.js';

/** Share of the cloud's request rate that one leader uses. */
const REQUEST_RATE_SHARE = 0.85;
/** Pause of all requests after one without a usable answer. */
const RETRY_DELAY_MS = 1500;
const TYPES_READ_INTERVAL_MS = 60_000;
const LIST_INTERVAL_MS = 4000;
/** Backoff after the cloud had too few machines: the base times the factor, then growing by it. */
const BASE_BACKOFF_MS = 4000;
const BACKOFF_FACTOR = 1.5;
const MAX_BACKOFF_MS = 30_000;
/** Maximum number of machines in one request to return them. */
const MAX_RETURNS_PER_REQUEST = 100;
/** A machine that belongs to no rental is returned once it was listed for this long, or has failed. */
const STRAY_GRACE_MS = 20_000;

type CloudMessage =
  | { kind: 'tick' }
  /** Returns these machines without a record: a cancelled task runs there and cannot be stopped otherwise. */
  | { kind: 'returnWithoutRecord'; machines: Machine[] };

/** Rents, returns and lists machines within the cloud's rate limit. */
export class CloudActor extends Actor<CloudMessage> {
  private readonly rentalsInFlight = new Set<string>();
  private readonly returnsInFlight = new Set<MachineId>();
  private readonly backoffs = new Map<string, { until: SteadyMs; backoffMs: number }>();
  private readonly rateLimit: TokenBucket;
  private listedAt = -Infinity;
  private isListing = false;
  private typesReadAt = -Infinity;
  private isReadingTypes = false;
  /** No request is started before this time, after one without a usable answer. */
  private retryAt = -Infinity;
  /** Listed machines that belong to no rental, and when each was first listed. */
  private readonly strayMachines = new Map<MachineId, SteadyMs>();

  constructor(
    private readonly state: ClusterState,
    private readonly cloud: CloudClient,
    private readonly log: LogActor,
    private readonly clock: Clock,
    private readonly limits: { rps: number; list_lag_s: number },
    private readonly isCertain: () => boolean,
    private readonly logger: Logger,
  ) {
    super();
    this.rateLimit = new TokenBucket(clock, limits.rps * REQUEST_RATE_SHARE, limits.rps);
  }

  /** Whether the cloud recently had fewer machines of a type, zone and kind than requested. */
  isBackedOff(type: string, zone: string, spot: boolean): boolean {
    const backoff = this.backoffs.get(offerKey({ type, zone, spot }));
    return backoff !== undefined && backoff.until > this.clock.steady();
  }

  private takeToken(): boolean {
    if (this.rateLimit.available < 1) return false;
    this.rateLimit.take(1);
    return true;
  }

  protected receive(message: CloudMessage): void {
    const now = this.clock.steady();
    if (now < this.retryAt) return;
    if (message.kind === 'returnWithoutRecord') return this.returnMachines(message.machines);
    if (!this.isCertain()) return;
    this.returnMachines([...this.state.machines.values()].filter((machine) => machine.drop));
    this.requestRentals();
    if (
      (this.state.machineTypes.size === 0 || now - this.typesReadAt > TYPES_READ_INTERVAL_MS) &&
      !this.isReadingTypes &&
      this.takeToken()
    )
      void this.readTypes();
    if (now - this.listedAt > LIST_INTERVAL_MS && !this.isListing && this.takeToken())
      void this.listMachines();
  }

  private pauseRequests(): void {
    this.retryAt = this.clock.steady() + RETRY_DELAY_MS;
  }

  private async readTypes(): Promise<void> {
    this.isReadingTypes = true;
    const types = await this.cloud.listMachineTypes();
    this.isReadingTypes = false;
    if (this.stopped) return;
    if (!types) return this.pauseRequests();
    this.typesReadAt = this.clock.steady();
    const isSame = (a: MachineType | undefined, b: MachineType): boolean =>
      a !== undefined && JSON.stringify(a) === JSON.stringify(b);
    if (
      types.length !== this.state.machineTypes.size ||
      types.some((t) => !isSame(this.state.machineTypes.get(t.name), t))
    )
      this.log.tell({ entries: [{ e: 'types', types }] });
  }

  private requestRentals(): void {
    for (const rental of this.state.pendingRentals.values()) {
      if (this.rentalsInFlight.has(rental.name) || !this.takeToken()) continue;
      this.rentalsInFlight.add(rental.name);
      void this.cloud.rentMachines(rental).then((result) => {
        if (this.stopped) return;
        // Without an answer, the same request is repeated under the same name.
        if (result.outcome === 'unknown') {
          this.rentalsInFlight.delete(rental.name);
          return this.pauseRequests();
        }
        const machines = result.outcome === 'hired' ? result.machines : [];
        const key = offerKey(rental);
        if (machines.length < rental.n) {
          const backoffMs = Math.min(
            MAX_BACKOFF_MS,
            (this.backoffs.get(key)?.backoffMs ?? BASE_BACKOFF_MS) * BACKOFF_FACTOR,
          );
          this.backoffs.set(key, { until: (this.clock.steady() + backoffMs) as SteadyMs, backoffMs });
        } else this.backoffs.delete(key);
        this.logger.info({ hire: rental.name, place: key, asked: rental.n, got: machines.length }, 'rented');
        this.log.tell({
          entries: [{ e: 'hired', name: rental.name, m: machines }],
          onSettled: () => this.rentalsInFlight.delete(rental.name),
        });
      });
    }
  }

  private returnMachines(machines: Machine[]): void {
    const due = machines
      .flatMap((machine) => (this.returnsInFlight.has(machine.id) ? [] : [machine.id]))
      .slice(0, MAX_RETURNS_PER_REQUEST);
    if (due.length === 0 || !this.takeToken()) return;
    for (const id of due) this.returnsInFlight.add(id);
    void this.cloud.returnMachines(due).then((ok) => {
      if (this.stopped) return;
      if (!ok) {
        for (const id of due) this.returnsInFlight.delete(id);
        return this.pauseRequests();
      }
      this.logger.debug({ machines: due }, 'returned');
      // Only the cloud's answer proves that the machines, and all tasks on them, are gone.
      for (const chunk of chunked(due, 50))
        this.log.tell({
          entries: [{ e: 'gone', m: chunk }],
          onSettled: () => {
            for (const id of due) this.returnsInFlight.delete(id);
          },
        });
    });
  }

  private async listMachines(): Promise<void> {
    this.isListing = true;
    this.listedAt = this.clock.steady();
    const all: ListedMachine[] = [];
    for (let after: string | null = null; ;) {
      const page = await this.cloud.listMachines(after);
      if (this.stopped) return;
      if (!page) {
        this.isListing = false;
        return this.pauseRequests();
      }
      all.push(...page.machines);
      if (!page.more || page.machines.length === 0) break;
      after = page.machines[page.machines.length - 1]!.id;
    }
    this.isListing = false;
    if (!this.isCertain()) return;
    const failed: MachineId[] = [];
    const strays: MachineId[] = [];
    const now = this.clock.steady();
    for (const listed of all) {
      const machine = this.state.machines.get(listed.id);
      if (machine) {
        if (listed.state === 'failed' && !machine.drop) failed.push(listed.id);
        continue;
      }
      // The list lags behind: it may still contain machines that were returned recently.
      if (this.state.removedMachines.has(listed.id)) continue;
      // Until the result of each rental is in the log, an unknown machine may belong to one of them.
      if (this.state.pendingRentals.size > 0) continue;
      const firstSeenAt = this.strayMachines.get(listed.id) ?? now;
      this.strayMachines.set(listed.id, firstSeenAt);
      if (listed.state === 'failed' || now - firstSeenAt > STRAY_GRACE_MS) strays.push(listed.id);
    }
    if (failed.length > 0)
      this.log.tell({ entries: [{ e: 'drop', m: failed.slice(0, 100), why: 'failed' }] });
    if (strays.length > 0) {
      this.logger.info({ strays }, 'returning machines that belong to no rental');
      if (
        this.takeToken() &&
        (await this.cloud.returnMachines(strays.slice(0, MAX_RETURNS_PER_REQUEST))) &&
        !this.stopped
      ) {
        this.log.tell({ entries: [{ e: 'gone', m: strays.slice(0, MAX_RETURNS_PER_REQUEST) }] });
        for (const id of strays) this.strayMachines.delete(id);
      }
    }
  }
}
