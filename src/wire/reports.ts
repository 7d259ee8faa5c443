/**
 * Reading workers' reports and writing the answers, at a cost that follows what changed: most reports
 * differ from the one before only in their number.
 */
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
import { FENCES_PER_TERM, writeReportAnswer } from './schemas.js';

const taskStates: Readonly<Record<string, TaskState | undefined>> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};

const causes: Readonly<Record<string, EndCause | undefined>> = {
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
    cause: cause ? (causes[cause as string] ?? 'stopped') : undefined,
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
 * A worker's report; null when it is malformed. Written by hand: reports are most of what a controller
 * reads, and checking each with a schema library took a third of a leader's time.
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

/** The number of a report, as it stands in its text. */
const SEQUENCE = /"tally":[ \t\r\n]*(0|[1-9]\d{0,14})(?=[ \t\r\n]*[,}])/;
const OCCURRENCE = '"tally"';
const DIGITS = /^(0|[1-9]\d{0,14})$/;

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Reads the reports of one connection. A text that equals the last accepted one but for the digits of its
 * number is as well-formed as that one was, and its tasks are the same array: nothing is parsed or copied.
 */
export class ReportReader {
  private last: WorkerReport | null = null;
  private before = '';
  private after = '';

  /** Null: malformed. */
  read(text: string): WorkerReport | null {
    return this.unchanged(text) ?? this.parse(text);
  }

  private unchanged(text: string): WorkerReport | null {
    const { last, before, after } = this;
    if (!last || !text.startsWith(before) || !text.endsWith(after)) return null;
    const digits = text.slice(before.length, text.length - after.length);
    if (!DIGITS.test(digits)) return null;
    this.last = { ...last, seq: Number(digits) };
    return this.last;
  }

  private parse(text: string): WorkerReport | null {
    const report = readReport(parse(text));
    this.last = null;
    if (report) this.remember(text, report);
    return report;
  }

  /**
   * Only where the number's place is beyond doubt: its name stands once, and without escapes it can be
   * neither spelled in another way nor part of a string.
   */
  private remember(text: string, report: WorkerReport): void {
    const found = SEQUENCE.exec(text);
    if (!found || text.includes('\\') || text.indexOf(OCCURRENCE) !== text.lastIndexOf(OCCURRENCE)) return;
    const digits = found[1]!;
    const start = found.index + found[0].length - digits.length;
    this.before = text.slice(0, start);
    this.after = text.slice(start + digits.length);
    this.last = report;
  }
}

/** The answer to a report, in JSON. */
export const writeReportAnswerJson = (term: Term, fence: Fence, orders: Command[]): string =>
  JSON.stringify(writeReportAnswer(term, fence, orders));
