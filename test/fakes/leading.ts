import { WorkersActor } from '../../src/actors/workers.js';
import type { AppendRequest } from '../../src/actors/log.js';
import type { ClusterState } from '../../src/core/state.js';
import type { Term } from '../../src/core/types.js';
import type { HttpCall } from '../../src/io/http-client.js';
import { NodeClock, type VirtualTime } from './clock.js';
import { silent } from './world.js';

/** Report period of the workers, in seconds. */
export const REPORT_PERIOD_S = 3;

export interface WorkersActorFixture {
  state: ClusterState;
  time: VirtualTime;
  call: HttpCall;
  append?: (append: AppendRequest) => void;
  term?: number;
  mostCalls?: number;
}

/** What a leader with a certain lock hears of its workers and tells them. */
export const createWorkersActor = (of: WorkersActorFixture): WorkersActor =>
  new WorkersActor({
    ...{ state: of.state, call: of.call, logger: silent },
    log: { tell: of.append ?? (() => {}) } as never,
    clock: new NodeClock(of.time, 1, 0),
    term: (of.term ?? 1) as Term,
    reportPeriodS: REPORT_PERIOD_S,
    maxOpenCalls: of.mostCalls ?? 150,
    isCertain: () => true,
    mayAnswerUncertain: () => true,
    onFactWritten: () => {},
    onHigherTerm: () => {},
  });
