import type { Live, State } from './state.js';
import type { Cause, Command, Entry, JobId, WorkerReport } from './types.js';

/** What one worker has shown, as far as this leader has seen it. */
export interface Seen {
  report: WorkerReport;
  /** Attempts for which a direct launch was sent and not answered. */
  unsure: Set<string>;
  /** Attempts for which this leader may have sent a launch in any way. */
  sent: Set<string>;
}

export const attemptKey = (job: string, task: number, attempt: number): string => `${job}/${task}#${attempt}`;

/** The report's facts that the log does not hold yet. */
export function facts(
  state: State,
  r: WorkerReport,
): { up: Entry | null; ends: [JobId, number, number, Cause, boolean][] } {
  const m = state.machines.get(r.machine);
  const up: Entry | null =
    (!m || r.session > m.session) && !state.gone.has(r.machine)
      ? { e: 'up', m: r.machine, addr: r.addr, type: r.type, zone: r.zone, spot: r.spot, s: r.session }
      : null;
  const ends: [JobId, number, number, Cause, boolean][] = [];
  for (const t of r.tasks) {
    if (t.state !== 'exited') continue;
    const l = state.jobs.get(t.job)?.live.get(t.task);
    if (l && l.attempt === t.attempt && l.machine.id === r.machine)
      ends.push([t.job, t.task, t.attempt, t.cause ?? 'stopped', t.saved === true]);
  }
  return { up, ends };
}

/**
 * The commands that bring a worker from what it reports to what the log says. They follow from
 * committed state alone, so a decision is never sent before its record is written, and a new
 * leader resends exactly the starts that the report does not show.
 */
export function commands(state: State, seen: Seen, mayStart: boolean): { orders: Command[]; unsent: Live[] } {
  const r = seen.report;
  const m = state.machines.get(r.machine);
  const orders: Command[] = [];
  const unsent: Live[] = [];
  if (!m || m.session !== r.session) return { orders, unsent };
  const shown = new Set<Live>();
  for (const t of r.tasks) {
    const l = state.jobs.get(t.job)?.live.get(t.task);
    const ours = l !== undefined && l.attempt === t.attempt && l.machine === m;
    if (ours) shown.add(l);
    // A report that shows nothing new costs no more than this.
    if (ours && !l.stop && t.state !== 'exited') continue;
    const ref = { job: t.job, task: t.task, attempt: t.attempt };
    if (t.state === 'exited') {
      const key = attemptKey(t.job, t.task, t.attempt);
      // Guards ran_twice: forgetting an attempt lets a late launch run it again, so the end is
      // recorded first, and no launch of it may still be on its way.
      if (!ours && !seen.unsure.has(key)) orders.push({ op: 'forget', ...ref });
    } else if (!ours) orders.push({ op: 'stop', ...ref, grace: 0 });
    else if (l.stop && (t.state !== 'saving' || l.stop.grace === 0))
      orders.push({ op: 'stop', ...ref, grace: l.stop.grace });
  }
  if (shown.size === m.live.size) return { orders, unsent };
  for (const l of m.live) {
    if (l.session !== m.session || shown.has(l)) continue;
    const key = attemptKey(l.job.spec.id, l.task, l.attempt);
    const ref = { job: l.job.spec.id, task: l.task, attempt: l.attempt };
    if (!l.stop) {
      if (mayStart && !m.drop) orders.push({ op: 'start', ...ref });
    } else if (seen.sent.has(key)) {
      // A launch may still be on its way: let the worker know the attempt and end it in one go.
      orders.push({ op: 'start', ...ref }, { op: 'stop', ...ref, grace: 0 });
    } else if (mayStart) unsent.push(l);
  }
  return { orders, unsent };
}
