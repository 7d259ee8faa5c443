/** A `WorkersActor` for tests that have no controller. */
import { WorkersActor } from '../../src/actors/workers.js';
import type { AppendRequest } from '../../src/actors/record-batches.js';
import type { ClusterState } from '../../src/core/state.js';
import type { Term } from '../../src/core/types.js';
import { NO_CANCELLATIONS } from '../../src/core/worker-commands.js';
import type { HttpCall } from '../../src/io/http-client.js';
import { NodeClock, type VirtualTime } from './clock.js';
import { silent } from './world.js';

/** Report period of the workers, in seconds. */
export const REPORT_PERIOD_S = 3;

/** What a test supplies; the rest has defaults. */
export interface WorkersActorFixture {
  state: ClusterState;
  time: VirtualTime;
  call: HttpCall;
  append?: (append: AppendRequest) => void;
  term?: number;
  maxOpenCalls?: number;
}

/** The workers actor of a leader with a certain lock. */
export const createWorkersActor = (fixture: WorkersActorFixture): WorkersActor =>
  new WorkersActor({
    ...{ state: fixture.state, call: fixture.call, logger: silent },
    log: { tell: fixture.append ?? (() => {}), unsettledCancellations: NO_CANCELLATIONS } as never,
    clock: new NodeClock(fixture.time, 1, 0),
    term: (fixture.term ?? 1) as Term,
    reportPeriodS: REPORT_PERIOD_S,
    maxOpenCalls: fixture.maxOpenCalls ?? 150,
    isCertain: () => true,
    mayAnswerWhileUncertain: () => true,
    onFactWritten: () => {},
    onHigherTerm: () => {},
  });
