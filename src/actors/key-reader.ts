/**
 * Reads the values of the leader and term keys. A malformed leader counts as an unknown holder, and a
 * malformed term is ignored; the first of each is logged.
 */
import type { Term } from '../core/types.js';
import type { Logger } from '../io/logger.js';
import { readLeaderValue, readTermValue, type LeaderValue } from '../wire/keys.js';

/** Stands for a malformed value: the lock is not free, and its holder is not known. */
const UNREADABLE_LEADER: LeaderValue = { node: '', term: 0, run: '' };

/** Reads the values and remembers which malformed ones were logged. */
export class KeyReader {
  private readonly logged = new Set<string>();

  constructor(private readonly logger: Logger) {}

  /** The leader key's value, or an unknown holder if it is malformed. */
  readLeader(value: unknown): LeaderValue {
    const leader = readLeaderValue(value);
    if (!leader) this.logOnce('the leader key');
    return leader ?? UNREADABLE_LEADER;
  }

  /** The term; 0 if there is none, null if it is malformed. */
  readTerm(value: unknown): Term | null {
    if (value === undefined) return 0 as Term;
    const term = readTermValue(value);
    if (term === null) this.logOnce('the term key');
    return term;
  }

  private logOnce(what: string): void {
    if (this.logged.has(what)) return;
    this.logged.add(what);
    this.logger.error({ what }, 'a value of the state service can not be read');
  }
}
