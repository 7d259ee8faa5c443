/** Reads the leader and term keys. What can't be read proves nothing and extends nothing, and is logged once. */
import type { Term } from '../core/types.js';
import type { Logger } from '../io/logger.js';
import { readLeaderValue, readTermValue, type LeaderValue } from '../wire/keys.js';

/** Stands for a value that can't be read: the lock is not free, and nobody is known to hold it. */
const UNREADABLE_LEADER: LeaderValue = { node: '', term: 0, run: '' };

export class KeyReader {
  private readonly logged = new Set<string>();

  constructor(private readonly logger: Logger) {}

  readLeader(value: unknown): LeaderValue {
    const leader = readLeaderValue(value);
    if (!leader) this.log('the leader key');
    return leader ?? UNREADABLE_LEADER;
  }

  /** Null when it can't be read; 0 when there is none. */
  readTerm(value: unknown): Term | null {
    if (value === undefined) return 0 as Term;
    const term = readTermValue(value);
    if (term === null) this.log('the term key');
    return term;
  }

  private log(what: string): void {
    if (this.logged.has(what)) return;
    this.logged.add(what);
    this.logger.error({ what }, 'a value of the state service can not be read');
  }
}
