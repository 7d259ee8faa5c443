/** The order in which jobs claim resources, and how much their teams may use. */
import type { Job } from './model.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, priorityRank, type Team } from './types.js';

/** An unfinished job's claim to resources. */
export interface Claim {
  job: Job;
  /** Whether the job and all earlier jobs of its team fit into the team's guarantee. */
  guaranteed: boolean;
}

/**
 * Claims of all unfinished jobs in the order in which they are served: jobs within their team's guarantee
 * first, then starving jobs, then by priority, then jobs that can still meet their objective, then by order of
 * submission.
 */
export function orderClaims(
  state: ClusterState,
  teams: readonly Team[],
  /** Whether a job can no longer finish within its objective. */
  isTooLate: (job: Job) => boolean,
  /** Whether a job has waited for too long without any start; it goes before jobs of higher priority. */
  isStarving: (job: Job) => boolean = () => false,
): Claim[] {
  /** Resources that the jobs of each team ask for, added up in order of submission. */
  const requested = new Map<string, { cpus: number; gpus: number }>();
  const claims: Claim[] = [];
  for (const job of [...state.jobs.values()].sort((a, b) => a.order - b.order)) {
    if (job.withdrawn || state.outcomes.has(job.spec.id)) continue;
    const team = teams.find((one) => one.name === job.spec.team);
    if (!team) continue;
    const earlier = requested.get(team.name) ?? { cpus: 0, gpus: 0 };
    const unfinished = job.spec.tasks - job.done;
    const cpuSum = earlier.cpus + job.spec.cpus * unfinished;
    const gpuSum = earlier.gpus + job.spec.gpus * unfinished;
    requested.set(team.name, { cpus: cpuSum, gpus: gpuSum });
    claims.push({
      job,
      guaranteed: cpuSum <= team.cpus + RESOURCE_EPSILON && gpuSum <= team.gpus + RESOURCE_EPSILON,
    });
  }
  return claims.sort(
    (a, b) =>
      Number(b.guaranteed) - Number(a.guaranteed) ||
      Number(isStarving(b.job)) - Number(isStarving(a.job)) ||
      priorityRank[b.job.spec.priority] - priorityRank[a.job.spec.priority] ||
      Number(isTooLate(a.job)) - Number(isTooLate(b.job)) ||
      a.job.order - b.job.order,
  );
}

/** How many more tasks of the job its team's limit allows; `usage` includes all tasks that may still run. */
export function tasksWithinLimit(job: Job, team: Team, usage: { cpus: number; gpus: number }): number {
  const spec = job.spec;
  const byCpus =
    spec.cpus > 0 ? Math.floor((team.cpusMax - usage.cpus + RESOURCE_EPSILON) / spec.cpus) : Infinity;
  const byGpus =
    spec.gpus > 0 ? Math.floor((team.gpusMax - usage.gpus + RESOURCE_EPSILON) / spec.gpus) : Infinity;
  return Math.max(0, Math.min(byCpus, byGpus));
}
