import { describe, expect, it } from 'vitest';
import { judge, readKnownRed, type TestOutcome } from '../tools/ci/known-red.js';

const line = (test: string): string => `${test} | a cause | #1`;
const outcome = (name: string, state: TestOutcome['state']): TestOutcome => ({ name, state });

describe('the list of known failures', () => {
  it('has a test, a cause and an issue a line', () => {
    expect(readKnownRed('')).toEqual([]);
    expect(readKnownRed(`${line('a > b')}\n\n`)).toEqual([{ test: 'a > b', cause: 'a cause', issue: '#1' }]);
    for (const wrong of ['a > b', 'a > b | a cause', 'a > b |  | #1', 'a | b | c | d'])
      expect(() => readKnownRed(wrong)).toThrow('expected "test | cause | issue"');
  });

  it('has three lines at most', () => {
    expect(readKnownRed(['a', 'b', 'c'].map(line).join('\n'))).toHaveLength(3);
    expect(() => readKnownRed(['a', 'b', 'c', 'd'].map(line).join('\n'))).toThrow('4 lines');
  });
});

describe('a run of the tests', () => {
  const known = readKnownRed(line('a'));

  it('passes with exactly the known failures, and names them', () => {
    const verdict = judge(known, [outcome('a', 'failed'), outcome('b', 'passed')]);
    expect(verdict).toEqual({ tolerated: known, problems: [] });
  });

  it('fails on any other failure', () => {
    const { problems } = judge(known, [outcome('a', 'failed'), outcome('b', 'failed')]);
    expect(problems).toEqual(['failed: b']);
  });

  it('fails on a listed test that passes, is skipped, or does not exist', () => {
    expect(judge(known, [outcome('a', 'passed')]).problems).toEqual([
      'listed in KNOWN-RED.txt, and passed: a',
    ]);
    expect(judge(known, [outcome('a', 'skipped')]).problems).toHaveLength(1);
    expect(judge(known, []).problems).toEqual(['listed in KNOWN-RED.txt, and there is no such test: a']);
  });
});
