/**
 * Tests that are known to fail for a real fault: what `KNOWN-RED.txt` says of them, and whether a run of the
 * tests agrees with it.
 */

/** The fields of a line, in order. */
const FIELDS = ['test', 'command', 'seen', 'issue'] as const;

/** One line of the file: `test | command | seen | issue`. */
export interface KnownRed {
  /** As the runner names it: `file > suite > test`. */
  test: string;
  /** Runs that test alone, with its seed where it takes one, and fails. */
  command: string;
  /** What was seen. */
  seen: string;
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

/** Reads the file's text. Throws an Error that names the line and the field when it can't be accepted. */
export function readKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 }));
  return lines.filter(({ line }) => line.trim() !== '').map(({ line, number }) => readLine(line, number));
}

function readLine(line: string, number: number): KnownRed {
  const problem = (what: string): Error => new Error(`KNOWN-RED.txt, line ${number}: ${what}`);
  const parts = line.split(' | ').map((part) => part.trim());
  if (parts.length > FIELDS.length) throw problem(`expected "${FIELDS.join(' | ')}", found "${line}"`);
  for (const [index, field] of FIELDS.entries())
    if (!parts[index]) throw problem(`the field "${field}" is missing`);
  const [test, command, seen, issue] = parts as [string, string, string, string];
  const file = test.split(' > ')[0]!;
  if (!command.includes(file)) throw problem(`the field "command" doesn't run ${file}`);
  return { test, command, seen, issue };
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
