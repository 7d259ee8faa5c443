/** Plans which machines to return to the cloud. */
import { BootTimeouts } from './boot-timeouts.js';
import { chunked } from './chunked.js';
import type { Machine, TaskAttempt } from './model.js';
import type { PlacementResult } from './placement.js';
import type { Policy } from './policy.js';
import type { ClusterState } from './state.js';
import type { LogEntry, MachineId, WallMs } from './types.js';

export interface ReturnsInput {
  state: ClusterState;
  now: WallMs;
  /** Machines that must not be returned as idle. */
  retained: PlacementResult['retained'];
  /** Seconds since a machine's last report. */
  secondsSilent: (machine: Machine) => number;
  /** Whether most machines are silent, so that the cause may be the network. */
  mostAreSilent: boolean;
  /** Whether a cancelled task is still present after the time that its stop is given. */
  isOverdue: (attempt: TaskAttempt) => boolean;
  leaseS: number;
  policy: Policy;
}

/** How long a machine is kept at the least after it was rented. */
const MIN_HELD_MS = 50_000;
/** After this many failures on a machine it is taken to be faulty. */
const MAX_ERRORS = 2;
const MAX_MACHINES_PER_ENTRY = 200;

/** Plans returns of machines that never came up, are silent, faulty or idle, or run overdue cancelled tasks. */
export function planReturns(input: ReturnsInput): LogEntry[] {
  const { state, now } = input;
  const drops = new Map<string, MachineId[]>();
  const add = (reason: string, machine: Machine): void => {
    const ids = drops.get(reason) ?? [];
    drops.set(reason, ids);
    ids.push(machine.id);
  };
  const bootTimeouts = new BootTimeouts(state, now);
  for (const machine of state.machines.values()) {
    if (machine.drop) continue;
    const attributes = { zone: machine.zone, spot: machine.spot, type: state.machineTypes.get(machine.type) };
    if (machine.session === 0) {
      if (bootTimeouts.neverCameUp(machine)) add('never up', machine);
      continue;
    }
    const silentS = input.secondsSilent(machine);
    // When most machines are silent, the network may be at fault, so they get more time. Once their lease has
    // expired, nothing is left on them that waiting could save.
    const timeoutS = input.mostAreSilent
      ? Math.max(input.policy.silenceTimeoutS(attributes), input.leaseS * 1.25 + 3)
      : input.policy.silenceTimeoutS(attributes);
    if (silentS > timeoutS) add('silent', machine);
    else if (machine.stopping > 0 && [...machine.live].some(input.isOverdue)) add('withdrawn', machine);
    else if (machine.errors >= MAX_ERRORS) add('faulty', machine);
    else if (
      machine.live.size === 0 &&
      !input.retained.has(machine) &&
      now - machine.hiredAt > MIN_HELD_MS &&
      now - machine.idleSince > input.policy.idleTimeoutS(attributes) * 1000
    )
      add('idle', machine);
  }
  return [...drops].flatMap(([why, ids]) =>
    chunked(ids, MAX_MACHINES_PER_ENTRY).map((m): LogEntry => ({ e: 'drop', m, why })),
  );
}
