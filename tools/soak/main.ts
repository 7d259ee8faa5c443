/**
 * `npm run soak -- --minutes 30 --seed N [--property commands|placement]`: runs a property test, that of direct
 * commands unless another one is named, with one seed after another until the time is up. Prints the first
 * seed. A failure is shrunk to a minimal counterexample and ends the run with exit status 1.
 */
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { commandsProperty } from '../../test/fakes/commands-property.js';
import { placementProperty } from '../../test/fakes/placement-property.js';

/** The property tests, and how many runs each of their seeds has. */
const PROPERTIES = {
  commands: { create: commandsProperty, runsPerSeed: 200 },
  placement: { create: placementProperty, runsPerSeed: 50 },
} as const;
type PropertyName = keyof typeof PROPERTIES;

const MINUTE_MS = 60_000;
const PROGRESS_INTERVAL_MS = 30_000;

const { values: options } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: String(Date.now() % 1_000_000_000) },
    property: { type: 'string', default: 'commands' },
  },
});

function numberOf(name: 'minutes' | 'seed'): number {
  const value = Number(options[name]);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new Error(`--${name}: expected a number of at least 0, found "${options[name]}"`);
}

function propertyName(): PropertyName {
  const { property } = options;
  if (property === 'commands' || property === 'placement') return property;
  throw new Error(`--property: expected one of ${Object.keys(PROPERTIES).join(', ')}, found "${property}"`);
}

/** Runs seeds until the time is up; returns the number of runs. */
async function soak(property: PropertyName, firstSeed: number, minutes: number): Promise<number> {
  const { create, runsPerSeed } = PROPERTIES[property];
  const startedAt = performance.now();
  let printedAt = startedAt;
  let runs = 0;
  for (let seed = firstSeed; performance.now() - startedAt < minutes * MINUTE_MS; seed++) {
    await fc.assert<unknown>(create(), { seed, numRuns: runsPerSeed });
    runs += runsPerSeed;
    if (performance.now() - printedAt < PROGRESS_INTERVAL_MS) continue;
    printedAt = performance.now();
    process.stdout.write(`soak: ${runs} runs, seed ${seed}\n`);
  }
  return runs;
}

try {
  const seed = numberOf('seed');
  const property = propertyName();
  process.stdout.write(`soak of ${property}: seed ${seed}, ${options.minutes} minutes\n`);
  const runs = await soak(property, seed, numberOf('minutes'));
  process.stdout.write(`soak: ${runs} runs, no violation\n`);
} catch (error) {
  process.stderr.write(`soak: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
}
