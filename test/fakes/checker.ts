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

export interface MachineInfo {
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
  readonly violations: string[] = [];
  starts = 0;
  /** Starts after a confirmed cancellation. */
  readonly startsAfterCancellation: string[] = [];
  /** Told when the last task of a job has completed. */
  onJobCompleted: (id: string) => void = () => {};
  private readonly jobs = new Map<string, JobOnWire>();
  private readonly told = new Map<string, Told>();
  private readonly asked = new Set<string>();
  private readonly cancelled = new Map<string, number>();
  private readonly done = new Map<string, Set<number>>();
  /** By job and then by job/task: the machines that hold it. */
  private readonly present = new Map<string, Map<string, Map<string, MachineInfo>>>();
  /** CPUs that each team's tasks hold. */
  private readonly cpusUsed = new Map<string, number>();

  constructor(
    private readonly now: () => number,
    private readonly teams: readonly Team[],
    readonly types: readonly MachineType[],
    private readonly cancelMs: number,
  ) {}

  private say(rule: string, what: string): void {
    this.violations.push(`${rule}: ${what} at ${(this.now() / 1000).toFixed(1)} s`);
  }

  submitted(j: JobOnWire): void {
    this.jobs.set(j.name_id, j);
  }
  job(id: string): JobOnWire | undefined {
    return this.jobs.get(id);
  }
  cancellationRequested(id: string): void {
    this.asked.add(id);
  }

  /** How many tasks of a job were started. */
  startCountOf(id: string): number {
    return this.startsOf.get(id) ?? 0;
  }
  private readonly startsOf = new Map<string, number>();

  start(id: string, task: number, m: MachineInfo): void {
    this.starts++;
    this.startsOf.set(id, this.startCountOf(id) + 1);
    const key = `${id}/${task}`;
    const others = [...(this.placesOf(id, key)?.keys() ?? [])].filter((machine) => machine !== m.id);
    if (others.length > 0) this.say('ran_twice', `${key} on ${m.id} and ${others.join()}`);
    this.enter(id, key, m);
    const j = this.jobs.get(id);
    if (!j) return this.say('invented', `${key} runs and nobody submitted it`);
    const bad =
      (j.breeds && !j.breeds.includes(m.type)) || (j.yard && j.yard !== m.zone) || (!j.loaners && m.spot);
    const zones = new Map<string, number>();
    if (j.together || j.spread)
      for (const places of this.present.get(id)!.values())
        for (const p of places.values()) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
    const apart = j.together && zones.size > 1;
    const crowded = j.spread && Math.max(...zones.values()) > Math.ceil(j.shifts / 2);
    if (bad || apart || crowded) this.say('wrong_place', `${key} on ${m.id}`);
    const team = this.teams.find((t) => t.name === j.desk);
    const use = this.cpusUsed.get(j.desk)!;
    if (team && use > team.cpusMax + 1e-6) this.say('quota', `${j.desk} uses ${use}`);
    if (this.cancelled.has(id)) this.startsAfterCancellation.push(key);
    this.checkCancelled(key, id);
  }

  private placesOf(id: string, key: string): Map<string, MachineInfo> | undefined {
    return this.present.get(id)?.get(key);
  }

  private use(id: string, times: 1 | -1): void {
    const job = this.jobs.get(id);
    if (job) this.cpusUsed.set(job.desk, (this.cpusUsed.get(job.desk) ?? 0) + times * job.cpus);
  }

  private enter(id: string, key: string, m: MachineInfo): void {
    const tasks = this.present.get(id) ?? new Map<string, Map<string, MachineInfo>>();
    this.present.set(id, tasks);
    const places = tasks.get(key) ?? new Map<string, MachineInfo>();
    tasks.set(key, places);
    if (!places.has(m.id)) this.use(id, 1);
    places.set(m.id, m);
  }

  private leave(id: string, key: string, m: MachineInfo): void {
    const places = this.placesOf(id, key);
    if (!places?.delete(m.id)) return;
    this.use(id, -1);
    if (places.size === 0) this.present.get(id)!.delete(key);
  }

  private checkCancelled(key: string, id: string): void {
    const c = this.cancelled.get(id);
    if (c !== undefined && this.now() > c + this.cancelMs) this.say('ran_cancelled', key);
  }

  end(id: string, task: number, m: MachineInfo, done: boolean): void {
    const key = `${id}/${task}`;
    this.checkCancelled(key, id);
    this.leave(id, key, m);
    if (!done) return;
    const d = this.done.get(id) ?? new Set<number>();
    this.done.set(id, d.add(task));
    if (d.size === this.jobs.get(id)?.shifts) this.onJobCompleted(id);
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

  private allowed(j: JobOnWire, p: MachineInfo): boolean {
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
  checkWaiting(
    machines: { place: MachineInfo; cpus: number; mem: number }[],
    failing: (id: string) => boolean = () => false,
    mostMs = 90_000,
  ): void {
    const waitsNow = (id: string): boolean => {
      if (this.told.get(id) !== 'accepted' || this.asked.has(id) || failing(id)) return false;
      const j = this.jobs.get(id)!;
      const need = j.shape === 'ensemble' ? j.shifts : 1;
      const most = this.teams.find((t) => t.name === j.desk)!.cpusMax;
      if ((this.cpusUsed.get(j.desk) ?? 0) + j.cpus * need > most) return false;
      const free = machines.filter((m) => this.allowed(j, m.place) && m.cpus >= j.cpus && m.mem >= j.mem_gb);
      const zones = new Set(free.map((m) => m.place.zone));
      if (![...zones].some((z) => free.filter((m) => m.place.zone === z).length >= need)) return false;
      const done = this.done.get(id);
      for (let i = 0; i < j.shifts; i++)
        if (!done?.has(i) && (this.placesOf(id, `${id}/${i}`)?.size ?? 0) === 0) return true;
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
    for (const [id, tasks] of this.present) for (const key of tasks.keys()) this.checkCancelled(key, id);
    if (this.starts === 0) this.say('nothing_ran', 'no task was started');
  }

  accepted(): string[] {
    return [...this.told.keys()];
  }
  standing(id: string): Told | undefined {
    return this.told.get(id);
  }
}
