import { describe, expect, it } from 'vitest';
import { compareWithKnown, readKnownFailures, type TestOutcome } from '../tools/ci/known-red.js';

const line = (test: string): string => `${test} | npx vitest run ${test.split(' > ')[0]} | nobody leads | #1`;
const outcome = (name: string, state: TestOutcome['state']): TestOutcome => ({ name, state });

describe('the list of known failures', () => {
  it('has one entry a line: the test, its command, what was seen and an issue', () => {
    expect(readKnownFailures('')).toEqual([]);
    expect(readKnownFailures(`${line('a > b')}\n\n`)).toEqual([
      { test: 'a > b', command: 'npx vitest run a', seen: 'nobody leads', issue: '#1' },
    ]);
  });

  it('may have any number of entries', () => {
    expect(readKnownFailures(['a', 'b', 'c', 'd'].map(line).join('\n'))).toHaveLength(4);
  });

  it('is refused if a field is missing, with the line and the field in the error', () => {
    const incomplete: [string, string][] = [
      [' | run a | seen | #1', 'test'],
      ['a', 'command'],
      ['a | run a', 'seen'],
      ['a | run a |  | #1', 'seen'],
      ['a | run a | seen', 'issue'],
      ['a | run a | seen | ', 'issue'],
    ];
    for (const [entry, field] of incomplete)
      expect(() => readKnownFailures(`${line('ok')}\n\n${entry}`)).toThrow(
        `line 3: field "${field}": expected text, found nothing`,
      );
  });

  it('is refused if an entry has too many fields, or a command that runs another file', () => {
    expect(() => readKnownFailures('a | run a | seen | #1 | more')).toThrow(
      'line 1: expected "test | command',
    );
    expect(() => readKnownFailures('a > b | run c | seen | #1')).toThrow(
      'line 1: field "command": expected a command that runs a, found "run c"',
    );
  });
});

describe('a test run', () => {
  const known = readKnownFailures(line('a'));

  it('passes if exactly the known failures occur, and names them', () => {
    const verdict = compareWithKnown(known, [outcome('a', 'failed'), outcome('b', 'passed')]);
    expect(verdict).toEqual({ tolerated: known, problems: [] });
  });

  it('fails if a test fails that is not listed', () => {
    const { problems } = compareWithKnown(known, [outcome('a', 'failed'), outcome('b', 'failed')]);
    expect(problems).toEqual(['failed: b']);
  });

  it('fails if a listed test passes, is skipped or does not exist', () => {
    expect(compareWithKnown(known, [outcome('a', 'passed')]).problems).toEqual([
      'listed in KNOWN-RED.txt, but passed: a',
    ]);
    expect(compareWithKnown(known, [outcome('a', 'skipped')]).problems).toHaveLength(1);
    expect(compareWithKnown(known, []).problems).toEqual(['listed in KNOWN-RED.txt, but does not exist: a']);
  });
});
