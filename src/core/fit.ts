/** Which jobs can never run, and which machine types some job depends on. */
import { fitsType, ZoneAllowance, zonesOfType } from './constraints.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, type JobSpec, type MachineType, type Team } from './types.js';

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

const neverRuns = (reason: string): Refusal => ({ status: 422, reason });

/** Checks whether a submitted job can run at all; null if it can. */
export function checkAdmission(
  spec: JobSpec,
  teams: readonly Team[],
  types: Iterable<MachineType>,
): Refusal | null {
  const team = teams.find((one) => one.name === spec.team);
  if (!team) return neverRuns(`team: found '${spec.team}', expected a team of the settings`);
  const known = [...types];
  if (known.length === 0) return { status: 503, reason: 'machine types not known yet' };
  return checkMachines(spec, known) ?? checkTeamLimit(spec, team);
}

/** How many tasks of the job run at the same time at the least. */
const tasksAtOnce = (spec: JobSpec): number => (spec.gang ? spec.tasks : 1);

/** Checks whether as many tasks as run at once fit machines of the types, in zones that the job allows. */
function checkMachines(spec: JobSpec, types: readonly MachineType[]): Refusal | null {
  const zones = new Set(types.flatMap((type) => zonesOfType(spec, type)));
  if (zones.size === 0)
    return neverRuns(
      `cpus, gpus, mem: found ${spec.cpus}, ${spec.gpus} and ${spec.mem} GB per task, ` +
        "expected at most what a machine type in the job's types and zone has",
    );
  const unlimitedPlaces = [...zones].map((zone): [string, number] => [zone, Infinity]);
  if (ZoneAllowance.ofSpec(spec).canHold(tasksAtOnce(spec), unlimitedPlaces)) return null;
  return neverRuns(
    `spread: found ${spec.tasks} tasks that run at the same time, at most half of them in one zone, and ` +
      `${spec.oneZone ? 'all of them in the same zone' : `${zones.size} zone that the job may use`}, ` +
      'expected a division of the tasks between zones that allows all of them at once',
  );
}

/** Checks whether as many tasks as run at once are within the team's limit. */
function checkTeamLimit(spec: JobSpec, team: Team): Refusal | null {
  const tasks = tasksAtOnce(spec);
  if (
    spec.cpus * tasks <= team.cpusMax + RESOURCE_EPSILON &&
    spec.gpus * tasks <= team.gpusMax + RESOURCE_EPSILON
  )
    return null;
  return neverRuns(
    `tasks, cpus, gpus: found ${tasks} at once with ${spec.cpus} cpus and ${spec.gpus} gpus each, ` +
      `expected at most the team's limits of ${team.cpusMax} cpus and ${team.gpusMax} gpus in all`,
  );
}
