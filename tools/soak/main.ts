/**
 * `npm run soak -- --minutes 30 --seed N`: random stories of one worker and its leader, seed after seed, until the
 * time is over. Prints its seed; a failure is shrunk to the shortest story and ends the run with 1.
 */
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { commandsProperty } from '../../test/fakes/commands-property.js';

const STORIES_PER_SEED = 200;
const MINUTE_MS = 60_000;
const PROGRESS_MS = 30_000;

const { values: options } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: String(Date.now() % 1_000_000_000) },
  },
});

function numberOf(name: 'minutes' | 'seed'): number {
  const value = Number(options[name]);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new Error(`--${name}: expected a number, found "${options[name]}"`);
}

/** Plays seeds until the time is over; gives the number of stories. */
async function soak(firstSeed: number, minutes: number): Promise<number> {
  const began = performance.now();
  let shownAt = began;
  let stories = 0;
  for (let seed = firstSeed; performance.now() - began < minutes * MINUTE_MS; seed++) {
    await fc.assert(commandsProperty(), { seed, numRuns: STORIES_PER_SEED });
    stories += STORIES_PER_SEED;
    if (performance.now() - shownAt < PROGRESS_MS) continue;
    shownAt = performance.now();
    process.stdout.write(`soak: ${stories} stories, seed ${seed}\n`);
  }
  return stories;
}

try {
  const seed = numberOf('seed');
  process.stdout.write(`soak: seed ${seed}, ${options.minutes} minutes\n`);
  const stories = await soak(seed, numberOf('minutes'));
  process.stdout.write(`soak: ${stories} stories, nothing broken\n`);
} catch (error) {
  process.stderr.write(`soak: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
}
