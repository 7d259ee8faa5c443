/** The order in which jobs claim room, and how much of it their teams may use. */
import type { Job } from './model.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, priorityRank, type Team } from './types.js';

export interface Claim {
  job: Job;
  guaranteed: boolean;
}

/**
 * Jobs in order of their claim: guarantees first, then what never got a place, then priority, then
 * those that can still be in time, then age.
 */
export function orderClaims(
  state: ClusterState,
  teams: readonly Team[],
  /** Jobs that will miss their aim whatever is done now. */
  hopeless: (j: Job) => boolean,
  /** Jobs of which nothing ever started, for too long: they come before what is only more urgent. */
  starving: (j: Job) => boolean = () => false,
): Claim[] {
  const sum = new Map<string, { cpus: number; gpus: number }>();
  const out: Claim[] = [];
  for (const job of [...state.jobs.values()].sort((a, b) => a.order - b.order)) {
    if (job.withdrawn || state.outcomes.has(job.spec.id)) continue;
    const team = teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const s = sum.get(team.name) ?? { cpus: 0, gpus: 0 };
    const left = job.spec.tasks - job.done;
    const c = s.cpus + job.spec.cpus * left;
    const g = s.gpus + job.spec.gpus * left;
    sum.set(team.name, { cpus: c, gpus: g });
    out.push({ job, guaranteed: c <= team.cpus + RESOURCE_EPSILON && g <= team.gpus + RESOURCE_EPSILON });
  }
  return out.sort(
    (a, b) =>
      Number(b.guaranteed) - Number(a.guaranteed) ||
      Number(starving(b.job)) - Number(starving(a.job)) ||
      priorityRank[b.job.spec.priority] - priorityRank[a.job.spec.priority] ||
      Number(hopeless(a.job)) - Number(hopeless(b.job)) ||
      a.job.order - b.job.order,
  );
}

/** How many more tasks of the job its team's limit allows; all that may be anywhere counts. */
export function tasksWithinLimit(job: Job, team: Team, use: { cpus: number; gpus: number }): number {
  const s = job.spec;
  const c = s.cpus > 0 ? Math.floor((team.cpusMax - use.cpus + RESOURCE_EPSILON) / s.cpus) : Infinity;
  const g = s.gpus > 0 ? Math.floor((team.gpusMax - use.gpus + RESOURCE_EPSILON) / s.gpus) : Infinity;
  return Math.max(0, Math.min(c, g));
}
