/** Which jobs fit which machine types, and which jobs can never run. */
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, type JobSpec, type MachineType, type Team } from './types.js';

/** Whether a task fits an empty machine of the type, in a zone that the job allows. */
export function fitsType(spec: JobSpec, type: MachineType): boolean {
  return (
    (!spec.types || spec.types.includes(type.name)) &&
    (!spec.zone || type.zones.includes(spec.zone)) &&
    type.cpus + RESOURCE_EPSILON >= spec.cpus &&
    type.gpus + RESOURCE_EPSILON >= spec.gpus &&
    type.mem + RESOURCE_EPSILON >= spec.mem
  );
}

/** Machine types that are the only fitting one for some unfinished job; none if there is just one type. */
export function soleFitTypes(state: ClusterState): Set<string> {
  const soleFits = new Set<string>();
  if (state.machineTypes.size < 2) return soleFits;
  const types = [...state.machineTypes.values()];
  for (const job of state.jobs.values()) {
    const fitting = types.filter((type) => fitsType(job.spec, type));
    if (fitting.length === 1) soleFits.add(fitting[0]!.name);
  }
  return soleFits;
}

/** Why a submission is refused: 422 for a job that can never run, 503 while that can't be decided yet. */
export type Refusal = { status: 422 | 503; reason: string };

/** Checks whether a submitted job can run at all; null if it can. */
export function checkAdmission(
  spec: JobSpec,
  teams: readonly Team[],
  types: Iterable<MachineType>,
): Refusal | null {
  const team = teams.find((one) => one.name === spec.team);
  if (!team) return { status: 422, reason: `team: found '${spec.team}', expected a team of the settings` };
  const known = [...types];
  if (known.length === 0) return { status: 503, reason: 'machine types not known yet' };
  if (!known.some((type) => fitsType(spec, type)))
    return {
      status: 422,
      reason:
        `cpus, gpus, mem: found ${spec.cpus}, ${spec.gpus} and ${spec.mem} GB per task, ` +
        "expected at most what a machine type in the job's types and zone has",
    };
  const tasksAtOnce = spec.gang ? spec.tasks : 1;
  if (
    spec.cpus * tasksAtOnce > team.cpusMax + RESOURCE_EPSILON ||
    spec.gpus * tasksAtOnce > team.gpusMax + RESOURCE_EPSILON
  )
    return {
      status: 422,
      reason:
        `tasks, cpus, gpus: found ${tasksAtOnce} at once with ${spec.cpus} cpus and ${spec.gpus} gpus each, ` +
        `expected at most the team's limits of ${team.cpusMax} cpus and ${team.gpusMax} gpus in all`,
    };
  return null;
}
