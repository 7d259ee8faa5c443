/**
 * Tests that fail because of a known fault: reads their list, `KNOWN-RED.txt`, and compares it with the
 * outcome of a test run.
 */

/** Fields of an entry, in order. */
const FIELDS = ['test', 'command', 'seen', 'issue'] as const;

/** An entry of the file, one line: `test | command | seen | issue`. */
export interface KnownFailure {
  /** Full name, in the form `file > suite > test`. */
  test: string;
  /** Runs only that test, with its seed if it has one. */
  command: string;
  /** How the test fails. */
  seen: string;
  issue: string;
}

/** Outcome of one test of a run. */
export interface TestOutcome {
  /** Full name, in the form `file > suite > test`. */
  name: string;
  state: 'passed' | 'failed' | 'skipped' | 'pending';
}

/** Result of the comparison of a run with the known failures. */
export interface Verdict {
  /** Known failures that failed. */
  tolerated: KnownFailure[];
  /** Reasons why the run as a whole fails, one line each; empty if it passes. */
  problems: string[];
}

/**
 * Parses the text of the file. Throws an Error that names the line and the field of the first invalid entry.
 */
export function readKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 }));
  return lines.filter(({ line }) => line.trim() !== '').map(({ line, number }) => readLine(line, number));
}

function readLine(line: string, number: number): KnownFailure {
  const invalid = (reason: string): Error => new Error(`KNOWN-RED.txt, line ${number}: ${reason}`);
  const parts = line.split(' | ').map((part) => part.trim());
  if (parts.length > FIELDS.length) throw invalid(`expected "${FIELDS.join(' | ')}", found "${line}"`);
  for (const [index, field] of FIELDS.entries())
    if (!parts[index]) throw invalid(`field "${field}": expected text, found nothing`);
  const [test, command, seen, issue] = parts as [string, string, string, string];
  const file = test.split(' > ')[0]!;
  if (!command.includes(file))
    throw invalid(`field "command": expected a command that runs ${file}, found "${command}"`);
  return { test, command, seen, issue };
}

/**
 * Compares a run with the known failures. A failure that is not listed is a problem, and so is a listed test
 * that passed, was not run or doesn't exist.
 */
export function compareWithKnown(known: readonly KnownFailure[], outcomes: readonly TestOutcome[]): Verdict {
  const stateOf = new Map(outcomes.map((outcome) => [outcome.name, outcome.state]));
  const listed = new Set(known.map(({ test }) => test));
  const unknownFailures = outcomes
    .filter(({ name, state }) => state === 'failed' && !listed.has(name))
    .map(({ name }) => `failed: ${name}`);
  const wrongEntries = known.flatMap(({ test }) => wrongEntry(test, stateOf.get(test)));
  return {
    tolerated: known.filter(({ test }) => stateOf.get(test) === 'failed'),
    problems: [...unknownFailures, ...wrongEntries],
  };
}

function wrongEntry(test: string, state: TestOutcome['state'] | undefined): string[] {
  if (state === 'failed') return [];
  if (state === undefined) return [`listed in KNOWN-RED.txt, but does not exist: ${test}`];
  return [`listed in KNOWN-RED.txt, but ${state}: ${test}`];
}
