/**
 * Reading workers' reports and writing the answers, at a cost that follows what changed: most reports
 * differ from the one before only in their number.
 */
import type { Command, Fence, Term, WorkerReport } from '../core/types.js';
import { readReport, writeOrders } from './schemas.js';

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
export const writeOrdersText = (term: Term, fence: Fence, orders: Command[]): string =>
  JSON.stringify(writeOrders(term, fence, orders));
