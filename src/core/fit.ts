/** Which jobs can run on which types of machine, and which can never run. */
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, type JobSpec, type MachineType, type Team } from './types.js';

/** Whether a task fits a machine type, when the machine is empty. */
export function fitsType(spec: JobSpec, t: MachineType): boolean {
  return (
    (!spec.types || spec.types.includes(t.name)) &&
    (!spec.zone || t.zones.includes(spec.zone)) &&
    t.cpus + RESOURCE_EPSILON >= spec.cpus &&
    t.gpus + RESOURCE_EPSILON >= spec.gpus &&
    t.mem + RESOURCE_EPSILON >= spec.mem
  );
}

/** Types that are the only one for some unfinished job, though others have a choice. */
export function soleFitTypes(state: ClusterState): Set<string> {
  const out = new Set<string>();
  if (state.machineTypes.size < 2) return out;
  const types = [...state.machineTypes.values()];
  for (const j of state.jobs.values()) {
    const fit = types.filter((t) => fitsType(j.spec, t));
    if (fit.length === 1) out.add(fit[0]!.name);
  }
  return out;
}

/** A submission's refusal: 422 for good, 503 while it can't be judged. */
export type Refusal = { status: 422 | 503; reason: string };

/** Why a job can never run, or can't be judged yet; null when it can be taken. */
export function checkAdmission(
  spec: JobSpec,
  teams: readonly Team[],
  types: Iterable<MachineType>,
): Refusal | null {
  const team = teams.find((t) => t.name === spec.team);
  if (!team) return { status: 422, reason: 'unknown team' };
  const known = [...types];
  if (known.length === 0) return { status: 503, reason: 'machine types not known yet' };
  if (!known.some((t) => fitsType(spec, t)))
    return { status: 422, reason: 'a task fits no allowed machine type' };
  const n = spec.gang ? spec.tasks : 1;
  if (spec.cpus * n > team.cpusMax + RESOURCE_EPSILON || spec.gpus * n > team.gpusMax + RESOURCE_EPSILON)
    return { status: 422, reason: "the job needs more than the team's limit" };
  return null;
}
