/**
 * `npm test [-- FILE ...]`: runs the tests, passes over exactly the failures that `KNOWN-RED.txt` lists, and
 * prints them. With files named, only lines about those files are compared.
 */
import { existsSync, readFileSync } from 'node:fs';
import { relative } from 'node:path';
import { startVitest, type TestModule } from 'vitest/node';
import { judge, readKnownRed, type KnownRed, type TestOutcome } from './known-red.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 60_000;

const nameOf = (module: TestModule): string => relative(process.cwd(), module.moduleId);

function outcomesOf(module: TestModule): TestOutcome[] {
  return [...module.children.allTests()].map((test) => ({
    name: `${nameOf(module)} > ${test.fullName}`,
    state: test.result().state,
  }));
}

/** Errors outside any test: a file that doesn't load, a hook that throws. */
function brokenOutsideTests(module: TestModule): string[] {
  const ofSuites = [...module.children.allSuites()].flatMap((suite) => suite.errors());
  return [...module.errors(), ...ofSuites].map((error) => `${nameOf(module)}: ${error.message}`);
}

const knownRed = (): KnownRed[] =>
  existsSync(KNOWN_RED_FILE) ? readKnownRed(readFileSync(KNOWN_RED_FILE, 'utf8')) : [];

async function run(files: string[]): Promise<boolean> {
  const known = knownRed();
  const vitest = await startVitest('test', files, { watch: false, testTimeout: TEST_TIMEOUT_MS });
  const modules = vitest.state.getTestModules();
  const outcomes = modules.flatMap(outcomesOf);
  const concerned = known.filter(
    ({ test }) => files.length === 0 || files.some((file) => test.includes(file)),
  );
  const { tolerated, problems } = judge(concerned, outcomes);
  problems.push(...modules.flatMap(brokenOutsideTests));
  problems.push(...vitest.state.getUnhandledErrors().map((error) => `unhandled: ${String(error)}`));
  if (outcomes.length === 0) problems.push('no test was run');
  await vitest.close();
  for (const { test, command, seen, issue } of tolerated)
    process.stdout.write(`known red: ${test} | ${seen} | ${issue}\n  ${command}\n`);
  for (const problem of problems) process.stdout.write(`problem: ${problem}\n`);
  const count = (state: TestOutcome['state']): number => outcomes.filter((o) => o.state === state).length;
  process.stdout.write(`tests: ${count('passed')} passed, ${count('failed')} failed\n`);
  return problems.length === 0;
}

try {
  const passed = await run(process.argv.slice(2));
  process.exit(passed ? 0 : 1);
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
}
