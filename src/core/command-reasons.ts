/** Says why a worker is sent a command, for the log lines by which operators follow an attempt. */
import type { UnsettledCancellations } from './worker-commands.js';
import type { ClusterState } from './state.js';
import type { Command } from './types.js';

/** The reason for a command in the state from which it was derived. */
export function reasonFor(state: ClusterState, command: Command, unsettled: UnsettledCancellations): string {
  if (command.op === 'start') return 'logged, not reported';
  if (command.op === 'forget') return 'exited, not live in the log';
  if (unsettled.has(command.job)) return 'cancellation unsettled';
  const logged = state.jobs.get(command.job)?.live.get(command.task);
  const stop = logged?.attempt === command.attempt ? logged.stop : null;
  return stop?.why ?? 'not live in the log';
}
