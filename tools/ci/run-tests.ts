/**
 * `npm test [-- FILE ...]`: runs the tests. The run passes if exactly the failures listed in `KNOWN-RED.txt`
 * occur, which are printed. If files are given, only the entries for those files are compared.
 */
import { existsSync, readFileSync } from 'node:fs';
import { relative } from 'node:path';
import { startVitest, type TestModule } from 'vitest/node';
import { compareWithKnown, readKnownFailures, type KnownFailure, type TestOutcome } from './known-red.js';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 60_000;

const nameOf = (module: TestModule): string => relative(process.cwd(), module.moduleId);

function outcomesOf(module: TestModule): TestOutcome[] {
  return [...module.children.allTests()].map((test) => ({
    name: `${nameOf(module)} > ${test.fullName}`,
    state: test.result().state,
  }));
}

/** Errors outside any test, such as a file that doesn't load or a hook that throws. */
function errorsOutsideTests(module: TestModule): string[] {
  const ofSuites = [...module.children.allSuites()].flatMap((suite) => suite.errors());
  return [...module.errors(), ...ofSuites].map((error) => `${nameOf(module)}: ${error.message}`);
}

const knownFailures = (): KnownFailure[] =>
  existsSync(KNOWN_FAILURES_FILE) ? readKnownFailures(readFileSync(KNOWN_FAILURES_FILE, 'utf8')) : [];

async function run(files: string[]): Promise<boolean> {
  const known = knownFailures();
  const vitest = await startVitest('test', files, { watch: false, testTimeout: TEST_TIMEOUT_MS });
  const modules = vitest.state.getTestModules();
  const outcomes = modules.flatMap(outcomesOf);
  const selected = known.filter(
    ({ test }) => files.length === 0 || files.some((file) => test.includes(file)),
  );
  const { tolerated, problems } = compareWithKnown(selected, outcomes);
  problems.push(...modules.flatMap(errorsOutsideTests));
  problems.push(...vitest.state.getUnhandledErrors().map((error) => `unhandled: ${String(error)}`));
  if (outcomes.length === 0) problems.push('no tests were run');
  await vitest.close();
  for (const { test, command, seen, issue } of tolerated)
    process.stdout.write(`known red: ${test} | ${seen} | ${issue}\n  ${command}\n`);
  for (const problem of problems) process.stdout.write(`problem: ${problem}\n`);
  const count = (state: TestOutcome['state']): number =>
    outcomes.filter((outcome) => outcome.state === state).length;
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
