/** The order in which jobs claim room, and how much of it their teams may use. */
import type { Job } from './model.js';
import type { State } from './state.js';
import { EPS, rank, type Team } from './types.js';

export interface Claim {
  job: Job;
  guaranteed: boolean;
}

/**
 * Jobs in order of their claim: guarantees first, then what never got a place, then priority, then
 * those that can still be in time, then age.
 */
export function orderClaims(
  state: State,
  teams: readonly Team[],
  /** Jobs that will miss their aim whatever is done now. */
  hopeless: (j: Job) => boolean,
  /** Jobs of which nothing ever started, for too long: they come before what is only more urgent. */
  starving: (j: Job) => boolean = () => false,
): Claim[] {
  const sum = new Map<string, { cpus: number; gpus: number }>();
  const out: Claim[] = [];
  for (const job of [...state.jobs.values()].sort((a, b) => a.order - b.order)) {
    if (job.withdrawn || state.finals.has(job.spec.id)) continue;
    const team = teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const s = sum.get(team.name) ?? { cpus: 0, gpus: 0 };
    const left = job.spec.tasks - job.done;
    const c = s.cpus + job.spec.cpus * left;
    const g = s.gpus + job.spec.gpus * left;
    sum.set(team.name, { cpus: c, gpus: g });
    out.push({ job, guaranteed: c <= team.cpus + EPS && g <= team.gpus + EPS });
  }
  return out.sort(
    (a, b) =>
      Number(b.guaranteed) - Number(a.guaranteed) ||
      Number(starving(b.job)) - Number(starving(a.job)) ||
      rank[b.job.spec.priority] - rank[a.job.spec.priority] ||
      Number(hopeless(a.job)) - Number(hopeless(b.job)) ||
      a.job.order - b.job.order,
  );
}

/** How many more tasks of the job its team's limit allows; all that may be anywhere counts. */
export function tasksWithinLimit(job: Job, team: Team, use: { cpus: number; gpus: number }): number {
  const s = job.spec;
  const c = s.cpus > 0 ? Math.floor((team.cpusMax - use.cpus + EPS) / s.cpus) : Infinity;
  const g = s.gpus > 0 ? Math.floor((team.gpusMax - use.gpus + EPS) / s.gpus) : Infinity;
  return Math.max(0, Math.min(c, g));
}
