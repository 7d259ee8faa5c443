/**
 * Tests that are known to fail for a real fault: what `KNOWN-RED.txt` says of them, and whether a run of the
 * tests agrees with it.
 */

/** More known failures than this are not accepted. */
export const MOST_KNOWN_RED = 3;

/** One line of the file: `test | cause | issue`. */
export interface KnownRed {
  /** As the runner names it: `file > suite > test`. */
  test: string;
  cause: string;
  issue: string;
}

export interface TestOutcome {
  name: string;
  state: 'passed' | 'failed' | 'skipped' | 'pending';
}

export interface Verdict {
  /** Known failures that did fail. */
  tolerated: KnownRed[];
  /** Why the run as a whole fails, a line each; empty when it passes. */
  problems: string[];
}

/** Reads the file's text. Throws an Error that names the line when it can't be accepted. */
export function readKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MOST_KNOWN_RED)
    throw new Error(`KNOWN-RED.txt: ${lines.length} lines, at most ${MOST_KNOWN_RED} are accepted`);
  return lines.map(readLine);
}

function readLine(line: string): KnownRed {
  const parts = line.split(' | ').map((part) => part.trim());
  const [test, cause, issue] = parts;
  if (parts.length !== 3 || !test || !cause || !issue)
    throw new Error(`KNOWN-RED.txt: expected "test | cause | issue", found "${line}"`);
  return { test, cause, issue };
}

/**
 * Compares a run with the known failures. A failure that is not listed is a problem, and so is a listed test
 * that passed, was not run, or doesn't exist.
 */
export function judge(known: readonly KnownRed[], outcomes: readonly TestOutcome[]): Verdict {
  const stateOf = new Map(outcomes.map((outcome) => [outcome.name, outcome.state]));
  const listed = new Set(known.map(({ test }) => test));
  const unknownFailures = outcomes
    .filter(({ name, state }) => state === 'failed' && !listed.has(name))
    .map(({ name }) => `failed: ${name}`);
  const wrongLines = known.flatMap(({ test }) => wrongLine(test, stateOf.get(test)));
  return {
    tolerated: known.filter(({ test }) => stateOf.get(test) === 'failed'),
    problems: [...unknownFailures, ...wrongLines],
  };
}

function wrongLine(test: string, state: TestOutcome['state'] | undefined): string[] {
  if (state === 'failed') return [];
  if (state === undefined) return [`listed in KNOWN-RED.txt, and there is no such test: ${test}`];
  return [`listed in KNOWN-RED.txt, and ${state}: ${test}`];
}
