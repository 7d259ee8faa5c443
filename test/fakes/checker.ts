import type { MachineType, Team } from '../../src/core/types.js';

export interface JobOnWire {
  name_id: string;
  duty: string;
  desk: string;
  shape: 'array' | 'ensemble';
  urgency: string;
  shifts: number;
  cpus: number;
  accelerators: number;
  mem_gb: number;
  kit: string;
  image_gb: number;
  breeds: string[] | null;
  yard: string | null;
  together: boolean;
  spread: boolean;
  loaners: boolean;
  reckon_s: number;
  waymark_s: number;
  stow_s: number;
  due_s: number | null;
}

export interface Place {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

const FIELDS = [
  'duty',
  'desk',
  'shape',
  'urgency',
  'shifts',
  'cpus',
  'accelerators',
  'mem_gb',
  'kit',
  'image_gb',
  'together',
  'spread',
  'loaners',
  'reckon_s',
  'waymark_s',
  'stow_s',
] as const;

type Told = 'accepted' | 'done' | 'aborted';

/** Sees what the workers do and what the users are told, and names each broken rule. */
export class Checker {
  readonly broken: string[] = [];
  starts = 0;
  /** Starts after a confirmed cancellation. */
  readonly lateStarts: string[] = [];
  /** Told when the last task of a job has completed. */
  onAllDone: (id: string) => void = () => {};
  private readonly jobs = new Map<string, JobOnWire>();
  private readonly told = new Map<string, Told>();
  private readonly asked = new Set<string>();
  private readonly cancelled = new Map<string, number>();
  private readonly done = new Map<string, Set<number>>();
  /** job/task -> machines that hold it */
  private readonly present = new Map<string, Map<string, Place>>();

  constructor(
    private readonly now: () => number,
    private readonly teams: readonly Team[],
    readonly types: readonly MachineType[],
    private readonly cancelMs: number,
  ) {}

  private say(rule: string, what: string): void {
    this.broken.push(`${rule}: ${what} at ${(this.now() / 1000).toFixed(1)} s`);
  }

  submitted(j: JobOnWire): void {
    this.jobs.set(j.name_id, j);
  }
  job(id: string): JobOnWire | undefined {
    return this.jobs.get(id);
  }
  willWithdraw(id: string): void {
    this.asked.add(id);
  }

  /** How many tasks of a job were started. */
  started(id: string): number {
    return this.startsOf.get(id) ?? 0;
  }
  private readonly startsOf = new Map<string, number>();

  start(id: string, task: number, m: Place): void {
    this.starts++;
    this.startsOf.set(id, this.started(id) + 1);
    const key = `${id}/${task}`;
    const at = this.present.get(key) ?? new Map<string, Place>();
    this.present.set(key, at);
    if ([...at.keys()].some((x) => x !== m.id))
      this.say('ran_twice', `${key} on ${m.id} and ${[...at.keys()].join()}`);
    at.set(m.id, m);
    const j = this.jobs.get(id);
    if (!j) return this.say('invented', `${key} runs and nobody submitted it`);
    const bad =
      (j.breeds && !j.breeds.includes(m.type)) || (j.yard && j.yard !== m.zone) || (!j.loaners && m.spot);
    const zones = new Map<string, number>();
    for (const [k, ms] of this.present)
      if (k.startsWith(`${id}/`))
        for (const p of ms.values()) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
    const apart = j.together && zones.size > 1;
    const crowded = j.spread && Math.max(...zones.values()) > Math.ceil(j.shifts / 2);
    if (bad || apart || crowded) this.say('wrong_place', `${key} on ${m.id}`);
    const team = this.teams.find((t) => t.name === j.desk);
    let use = 0;
    for (const [k, ms] of this.present) {
      const o = this.jobs.get(k.slice(0, k.lastIndexOf('/')));
      if (o?.desk === j.desk) use += o.cpus * ms.size;
    }
    if (team && use > team.cpusMax + 1e-6) this.say('quota', `${j.desk} uses ${use}`);
    if (this.cancelled.has(id)) this.lateStarts.push(key);
    this.checkCancelled(key, id);
  }

  private checkCancelled(key: string, id: string): void {
    const c = this.cancelled.get(id);
    if (c !== undefined && this.now() > c + this.cancelMs) this.say('ran_cancelled', key);
  }

  end(id: string, task: number, m: Place, done: boolean): void {
    const key = `${id}/${task}`;
    this.checkCancelled(key, id);
    this.present.get(key)?.delete(m.id);
    if (!done) return;
    const d = this.done.get(id) ?? new Set<number>();
    this.done.set(id, d.add(task));
    if (d.size === this.jobs.get(id)?.shifts) this.onAllDone(id);
  }

  /** An answer to a poll, a submission or a withdrawal. */
  answer(kind: 'submit' | 'show' | 'withdraw', id: string, status: number, standing?: string): void {
    const before = this.told.get(id);
    if (status === 404 && kind === 'show' && before) this.say('forgotten', `${id} gets 404`);
    if ((status === 400 || status === 422) && kind === 'submit' && before)
      this.say('forgotten', `${id} gets ${status}`);
    if (status !== 200 && status !== 201) return;
    if (!this.jobs.has(id)) return this.say('invented', id);
    if (kind === 'submit' && !before) this.checkFit(this.jobs.get(id)!);
    if (standing === 'done') {
      if ((this.done.get(id)?.size ?? 0) < this.jobs.get(id)!.shifts) this.say('not_done', id);
      if (before === 'aborted') this.say('went_back', `${id} from aborted to done`);
      this.told.set(id, 'done');
    } else if (standing === 'aborted') {
      if (before === 'done') this.say('went_back', `${id} from done to aborted`);
      if (!this.asked.has(id)) this.say('went_back', `${id} was not cancelled by its user`);
      this.told.set(id, 'aborted');
      if (kind === 'withdraw' && !this.cancelled.has(id)) this.cancelled.set(id, this.now());
    } else {
      if (before === 'done' || before === 'aborted')
        this.say('went_back', `${id} from ${before} to ${standing}`);
      this.told.set(id, before ?? 'accepted');
    }
  }

  private allowed(j: JobOnWire, p: Place): boolean {
    return (
      (!j.breeds || j.breeds.includes(p.type)) && (!j.yard || j.yard === p.zone) && (j.loaners || !p.spot)
    );
  }

  /** What is accepted lacks nothing and can run somewhere. */
  private checkFit(j: JobOnWire): void {
    const lacking = FIELDS.filter((f) => j[f] === undefined);
    const team = this.teams.find((t) => t.name === j.desk);
    const most = j.cpus * (j.shape === 'ensemble' ? j.shifts : 1);
    const fits = this.types.some(
      (t) =>
        t.cpus >= j.cpus &&
        t.mem >= j.mem_gb &&
        t.zones.some((zone) => this.allowed(j, { id: '', type: t.name, zone, spot: false })),
    );
    if (lacking.length > 0) this.say('unfit', `${j.name_id} lacks ${lacking.join()}`);
    else if (!team || most > team.cpusMax || !fits) this.say('unfit', `${j.name_id} can never run`);
  }

  /**
   * After the troubles, asked time and again with the machines that are there and what each has free: a job
   * must not wait while one fits and its team is under its limit.
   */
  waits(
    machines: { place: Place; cpus: number; mem: number }[],
    failing: (id: string) => boolean = () => false,
    mostMs = 90_000,
  ): void {
    const used = new Map<string, number>();
    for (const [k, ms] of this.present) {
      const o = this.jobs.get(k.slice(0, k.lastIndexOf('/')));
      if (o && ms.size > 0) used.set(o.desk, (used.get(o.desk) ?? 0) + o.cpus * ms.size);
    }
    const waitsNow = (id: string): boolean => {
      if (this.told.get(id) !== 'accepted' || this.asked.has(id) || failing(id)) return false;
      const j = this.jobs.get(id)!;
      const need = j.shape === 'ensemble' ? j.shifts : 1;
      const most = this.teams.find((t) => t.name === j.desk)!.cpusMax;
      if ((used.get(j.desk) ?? 0) + j.cpus * need > most) return false;
      const free = machines.filter((m) => this.allowed(j, m.place) && m.cpus >= j.cpus && m.mem >= j.mem_gb);
      const zones = new Set(free.map((m) => m.place.zone));
      if (![...zones].some((z) => free.filter((m) => m.place.zone === z).length >= need)) return false;
      const done = this.done.get(id);
      for (let i = 0; i < j.shifts; i++)
        if (!done?.has(i) && (this.present.get(`${id}/${i}`)?.size ?? 0) === 0) return true;
      return false;
    };
    for (const id of this.told.keys())
      if (!waitsNow(id)) this.waitsSince.delete(id);
      else if (!this.waitsSince.has(id)) this.waitsSince.set(id, this.now());
      else if (this.now() - this.waitsSince.get(id)! > mostMs)
        this.say('waits', `${id} though a machine fits`);
  }
  private readonly waitsSince = new Map<string, number>();

  /** At the end of a story: what is still on machines that should not be. */
  finish(): void {
    for (const [key, ms] of this.present)
      if (ms.size > 0) this.checkCancelled(key, key.slice(0, key.lastIndexOf('/')));
    if (this.starts === 0) this.say('nothing_ran', 'no task was started');
  }

  accepted(): string[] {
    return [...this.told.keys()];
  }
  standing(id: string): Told | undefined {
    return this.told.get(id);
  }
}
