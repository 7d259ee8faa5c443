/**
 * Limits of the fences that one worker gets in one term. The fence is the lower part of the fencing token, so
 * the highest one stays below the first token of the next term.
 */
import type { Fence } from './types.js';

/** Number of fences of a worker in one term. */
export const FENCES_PER_TERM = 2 ** 20;

/** The highest fence under which starts are sent directly: a fence above it is needed to invalidate the call. */
export const HIGHEST_FENCE_FOR_STARTS = (FENCES_PER_TERM - 2) as Fence;
