import { Subject } from 'rxjs';
import type { State } from '../core/state.js';
import type { Entry, LogRecord, RecordNo, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { LEADER, recordKey } from '../wire/keys.js';
import type { Store } from '../wire/store.js';
import { Actor } from './actor.js';
import type { Lock } from './lock.js';

export interface Append {
  entries: Entry[];
  done?: (ok: boolean) => void;
}

/** The leader's pen: group commits, one at a time, each guarded by the leader key's stamp. */
export class LogActor extends Actor<Append> {
  private queue: Append[] = [];
  private writing = false;
  private writingSince = 0;
  private lastStart = -Infinity;
  private tag = 0;
  readonly committed = new Subject<{ no: RecordNo; record: LogRecord }>();
  readonly writes = { count: 0, ms: 0 };

  constructor(
    private readonly state: State,
    private readonly store: Store,
    private readonly lock: Lock,
    private readonly clock: Clock,
    private readonly limits: { write_rps: number; value_kb: number },
    private readonly term: Term,
    private readonly stamp: number,
    private readonly log: Logger,
    private readonly onDeposed: (why: string) => void,
    private readonly measure: (ms: number) => void,
  ) {
    super();
  }

  /** Entries not yet in a record. */
  get pending(): number {
    return this.queue.length + (this.writing ? 1 : 0);
  }

  /** How long the present write has gone unanswered. */
  get stuckMs(): number {
    return this.writing ? this.clock.steady() - this.writingSince : 0;
  }

  protected receive(m: Append): void {
    if (m.entries.length === 0) return m.done?.(true);
    this.queue.push(m);
    this.pump();
  }

  private pump(): void {
    if (this.writing || this.stopped || this.queue.length === 0) return;
    const gap = 1000 / (this.limits.write_rps * 0.35);
    const wait = this.lastStart + gap - this.clock.steady();
    this.writing = true;
    this.writingSince = this.clock.steady() + Math.max(0, wait);
    if (wait > 0) this.clock.after(wait, () => void this.write());
    else void this.write();
  }

  private batch(): { items: Append[]; record: LogRecord } {
    const most = this.limits.value_kb * 1024 - 300;
    const items: Append[] = [];
    const entries: Entry[] = [];
    let size = 0;
    while (this.queue.length > 0) {
      const n = Buffer.byteLength(JSON.stringify(this.queue[0]!.entries));
      if (items.length > 0 && size + n > most) break;
      size += n;
      items.push(this.queue.shift()!);
      entries.push(...items[items.length - 1]!.entries);
    }
    return { items, record: { term: this.term, tag: ++this.tag, at: this.clock.wall(), entries } };
  }

  private async write(): Promise<void> {
    if (this.stopped) return;
    const { items, record } = this.batch();
    const no = this.state.next;
    const key = recordKey(no);
    const from = this.clock.steady();
    this.lastStart = from;
    // What is being written is fixed until it is settled: a write without an answer is repeated
    // as it is, and the guard on the absent key lets only one of the repeats through.
    for (let settled = false; !settled;) {
      if (this.stopped) return this.drop(items);
      const r = await this.store.txn(
        [
          { key: LEADER, stamp: this.stamp },
          { key, stamp: 0 },
        ],
        [{ put: key, value: record }],
      );
      if (this.stopped) return this.drop(items);
      if (r.r === 'done') settled = true;
      else if (r.r === 'failed') {
        const k = await this.store.get(key);
        const v = k?.value as LogRecord | undefined;
        if (this.stopped) return this.drop(items);
        if (v && v.term === this.term && v.tag === record.tag) settled = true;
        else if (k !== undefined) {
          this.onDeposed(`record ${no} was refused (${r.keys.join(', ')})`);
          return this.drop(items);
        } else await new Promise<void>((ok) => void this.clock.after(100, ok));
      } else await new Promise<void>((ok) => void this.clock.after(r.r === 'refused' ? 150 : 30, ok));
    }
    this.state.apply(no, record);
    this.writes.count++;
    this.writes.ms += this.clock.steady() - from;
    this.measure(this.clock.steady() - from);
    this.writing = false;
    for (const i of items) i.done?.(true);
    this.committed.next({ no, record });
    this.log.debug({ no, entries: record.entries.map((e) => e.e) }, 'record written');
    this.pump();
  }

  private drop(items: Append[]): void {
    for (const i of items) i.done?.(false);
  }

  override stop(): void {
    super.stop();
    const q = this.queue;
    this.queue = [];
    for (const i of q) i.done?.(false);
  }
}
