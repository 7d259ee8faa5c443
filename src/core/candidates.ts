/** Machines as placement candidates of one scheduling round: free resources, constraints, placement cost. */
import type { Job, Machine } from './model.js';
import { fits, type Resources } from './resources.js';
import { RESOURCE_EPSILON, type JobSpec, type WallMs } from './types.js';

/** A machine as a placement candidate; `cpus`, `gpus` and `mem` are what the round has left free on it. */
export interface Candidate extends Resources {
  machine: Machine;
  /**
   * Seconds left for each image that the machine is fetching, or will fetch after this round. Fetches may
   * share the machine's fetch rate.
   */
  fetches: Map<string, number>;
  /** Whether a gang is fetching its image here; all machines of the gang wait for the slowest fetch. */
  isGangFetching: boolean;
  /** GB per second. */
  fetchRate: number;
  totalCpus: number;
  /** Whether the machine's type is the only one that fits some unfinished job. */
  isSoleFit: boolean;
  /** Whether the previous round reserved the machine for a gang. */
  isReserved: boolean;
  /** Whether tasks run here, or will after this round. */
  isOccupied: boolean;
  /** Resources that tasks being stopped will release. */
  releasing: Resources;
}

/** Whether the machine has the job's image, or will have it once the recorded fetches end. */
export const hasImage = (candidate: Candidate, job: Job): boolean =>
  candidate.machine.images.has(job.spec.image) || candidate.fetches.has(job.spec.image);

/** Requests that no machine could satisfy in this round; requests at least as large are not tried again. */
export class InfeasibleRequests {
  private readonly requests = new Map<string, Resources[]>();

  /** Whether a request under this key that asked for no more is known to be infeasible. */
  has(key: string, request: Resources): boolean {
    return this.requests.get(key)?.some((infeasible) => fits(request, infeasible)) ?? false;
  }

  add(key: string, request: Resources): void {
    const requests = this.requests.get(key) ?? [];
    this.requests.set(key, requests);
    requests.push(request);
  }
}

/** Whether the job has several tasks that must start together. */
export const isMultiTaskGang = (spec: JobSpec): boolean => spec.gang && spec.tasks > 1;

/**
 * Seconds until the job's image is available. For a gang, whose machines wait for the slowest, the machine's
 * fetches are added up, as if they shared its fetch rate.
 */
function fetchDelay(candidate: Candidate, job: Job): number {
  const isPresent = hasImage(candidate, job);
  let seconds = isPresent ? 0 : job.spec.imageGb / candidate.fetchRate;
  if (isMultiTaskGang(job.spec) && (!isPresent || candidate.fetches.has(job.spec.image)))
    for (const secondsLeft of candidate.fetches.values()) seconds += secondsLeft;
  return seconds;
}

/**
 * Whether the job's image fetch would share the fetch rate with that of a gang; all machines of the gang
 * would wait for it.
 */
export const delaysGangFetch = (candidate: Candidate, job: Job): boolean =>
  candidate.isGangFetching && !hasImage(candidate, job);

/**
 * Cost of running a task of the job on this machine, roughly in seconds; lower is better. Sums up the image
 * fetch, the use of an empty machine that could be returned, the on-demand price or the risk of a spot
 * machine, and the CPUs left over.
 */
export const placementCost = (candidate: Candidate, job: Job, restartCritical: boolean): number =>
  fetchDelay(candidate, job) +
  (candidate.isOccupied ? 0 : 12) +
  // A gang that loses any one of its machines loses the work of all its tasks.
  (candidate.machine.spot ? (job.spec.gang ? Math.min(job.spec.tasks, 12) : restartCritical ? 15 : 0) : 4) +
  // Machines of a type that some job depends on are left to jobs that need them.
  (candidate.isSoleFit && !job.spec.gang && !candidate.machine.spot ? 15 : 0) +
  (candidate.isReserved && !isMultiTaskGang(job.spec) ? 20 : 0) +
  ((candidate.cpus - job.spec.cpus) / candidate.totalCpus) * 6;

/**
 * Whether a job without checkpoints can still meet its objective, but would miss it if a task had to start
 * over. Spot machines, which the cloud may take back, are a poor choice for such a job.
 */
export const isRestartCritical = (job: Job, now: WallMs, objectiveS: number): boolean => {
  const leftS = objectiveS - (now - job.at) / 1000;
  const runS = job.spec.estimate;
  return job.spec.checkpoint === 0 && objectiveS > 0 && leftS > runS && leftS < 2 * runS + 40;
};

/** Number of tasks with the same request that fit into the free resources. */
export const slotCount = (free: Resources, request: Resources): number =>
  Math.max(
    0,
    Math.floor(
      Math.min(
        request.cpus > 0 ? (free.cpus + RESOURCE_EPSILON) / request.cpus : Infinity,
        request.gpus > 0 ? (free.gpus + RESOURCE_EPSILON) / request.gpus : Infinity,
        request.mem > 0 ? (free.mem + RESOURCE_EPSILON) / request.mem : Infinity,
      ),
    ),
  );
