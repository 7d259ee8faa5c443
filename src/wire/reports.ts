/**
 * Reads workers' reports and writes the answers. Most reports differ from the one before only in their
 * sequence number; those are recognised without parsing.
 */
import { FENCES_PER_TERM } from '../core/fences.js';
import type {
  AttemptNumber,
  EndCause,
  Command,
  Fence,
  JobId,
  MachineId,
  Session,
  TaskReport,
  TaskState,
  Term,
  WorkerReport,
} from '../core/types.js';
import { writeReportAnswer } from './schemas.js';

const taskStates: Readonly<Record<string, TaskState | undefined>> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

const endCauses: Readonly<Record<string, EndCause | undefined>> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  incomplete: 'alone',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};

type Fields = Record<string, unknown>;

const isObject = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value);
const isAbsent = (value: unknown): value is null | undefined => value === null || value === undefined;
const isOptional = (value: unknown, type: 'string' | 'boolean'): boolean =>
  isAbsent(value) || typeof value === type;

function readTask(value: unknown): TaskReport | null {
  if (!isObject(value)) return null;
  const { shift, try: attempt, standing, cause, stored } = value;
  if (typeof shift !== 'string' || !isNumber(attempt) || typeof standing !== 'string') return null;
  if (!isOptional(cause, 'string') || !isOptional(stored, 'boolean')) return null;
  const slash = shift.lastIndexOf('/');
  return {
    job: shift.slice(0, slash) as JobId,
    task: Number(shift.slice(slash + 1)),
    attempt: attempt as AttemptNumber,
    state: taskStates[standing] ?? 'running',
    cause: cause ? (endCauses[cause as string] ?? 'stopped') : undefined,
    saved: stored === true,
  };
}

function readTasks(value: unknown): TaskReport[] | null {
  if (isAbsent(value)) return [];
  if (!Array.isArray(value)) return null;
  const tasks: TaskReport[] = [];
  for (const each of value) {
    const task = readTask(each);
    if (!task) return null;
    tasks.push(task);
  }
  return tasks;
}

/**
 * Reads a worker's report; null if it is malformed. Validated by hand: reports are most of what a controller
 * reads, and validating each with a schema library took a third of a leader's time.
 */
export function readReport(body: unknown): WorkerReport | null {
  if (!isObject(body)) return null;
  const { mount, addr, breed, yard, loaners, stint, tally, warrant, recall_s: notice } = body;
  if (typeof mount !== 'string' || typeof addr !== 'string') return null;
  if (typeof breed !== 'string' || typeof yard !== 'string' || !isOptional(loaners, 'boolean')) return null;
  if (!isNumber(stint) || !isNumber(tally) || !isNumber(warrant)) return null;
  if (!isAbsent(notice) && !isNumber(notice)) return null;
  const tasks = readTasks(body.shifts);
  if (!tasks) return null;
  return {
    machine: mount as MachineId,
    addr,
    type: breed,
    zone: yard,
    spot: loaners === true,
    session: stint as Session,
    seq: tally,
    term: Math.floor(warrant / FENCES_PER_TERM) as Term,
    fence: (warrant % FENCES_PER_TERM) as Fence,
    notice: notice ?? null,
    tasks,
  };
}

/** The sequence number as it appears in the text of a report. */
const SEQUENCE_NUMBER = /"tally":[ \t\r\n]*(0|[1-9]\d{0,14})(?=[ \t\r\n]*[,}])/;
const SEQUENCE_KEY = '"tally"';
const DIGITS = /^(0|[1-9]\d{0,14})$/;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Reads the reports of one connection. A text that differs from the last accepted one only in the digits of
 * its sequence number is as well formed as that one, so it is not parsed, and its tasks are the same array.
 */
export class ReportReader {
  private last: WorkerReport | null = null;
  /** Text of the last report before and after the digits of its sequence number. */
  private prefix = '';
  private suffix = '';

  /** Null if the report is malformed. */
  read(text: string): WorkerReport | null {
    return this.readRepeated(text) ?? this.parse(text);
  }

  private readRepeated(text: string): WorkerReport | null {
    const { last, prefix, suffix } = this;
    if (!last || !text.startsWith(prefix) || !text.endsWith(suffix)) return null;
    const digits = text.slice(prefix.length, text.length - suffix.length);
    if (!DIGITS.test(digits)) return null;
    this.last = { ...last, seq: Number(digits) };
    return this.last;
  }

  private parse(text: string): WorkerReport | null {
    const report = readReport(parseJson(text));
    this.last = null;
    if (report) this.remember(text, report);
    return report;
  }

  /**
   * Keeps the report for comparison, but only if the place of its sequence number is unambiguous: the key
   * occurs once, and in a text without escapes it can be neither spelled differently nor part of a string.
   */
  private remember(text: string, report: WorkerReport): void {
    const found = SEQUENCE_NUMBER.exec(text);
    if (!found || text.includes('\\') || text.indexOf(SEQUENCE_KEY) !== text.lastIndexOf(SEQUENCE_KEY))
      return;
    const digits = found[1]!;
    const start = found.index + found[0].length - digits.length;
    this.prefix = text.slice(0, start);
    this.suffix = text.slice(start + digits.length);
    this.last = report;
  }
}

/** The answer to a report, as JSON text. */
export const writeReportAnswerJson = (term: Term, fence: Fence, commands: Command[]): string =>
  JSON.stringify(writeReportAnswer(term, fence, commands));
