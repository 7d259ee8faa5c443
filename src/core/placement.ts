/** One round of starts: best fit in a sample of machines, then in all of them; gangs whole or not at all. */
import { chunked } from './chunked.js';
import { tasksWithinLimit, type Claim } from './claims.js';
import { allocate, type Allocation, type Random } from './fill.js';
import { fitsType, soleFitTypes } from './fit.js';
import { avoidsMachine, type Job, type TaskAttempt, type Machine } from './model.js';
import { reserve } from './reserve.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { constraintKey, delaysGangFetch, hasImage, InfeasibleRequests, isMultiTaskGang } from './rooms.js';
import { isRestartCritical, meetsConstraints, slotCount, type Candidate } from './rooms.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, type LogEntry, type MachineId, type Team, type WallMs } from './types.js';
import { countWaitingTasks, waitingTasks } from './waiting-tasks.js';
import { candidateZones, tasksPerZone } from './zones.js';

export interface PlacementInput {
  state: ClusterState;
  claims: readonly Claim[];
  teams: readonly Team[];
  now: WallMs;
  random: Random;
  sampleSize: number;
  /** Machines whose workers reported lately and that may take work. */
  usable: Machine[];
  /** Seconds in which jobs of a class should be done; 0 where their start is what counts. */
  completionObjectiveS: (c: string) => number;
  /** Whether a task still waits for its image. */
  isFetching: (l: TaskAttempt) => boolean;
  /** Whether more of a type, zone and kind may be had. */
  canRent: (type: string, zone: string, spot: boolean) => boolean;
  /** Machines that the last round held or emptied for a gang: other work goes elsewhere if it can. */
  reserved: ReadonlySet<Machine>;
  /** At most this many starts in one round. */
  maxStarts: number;
}

/** Tasks of one job that found no room. */
export interface Unplaced {
  job: Job;
  tasks: number;
  guaranteed: boolean;
  /** Where the rest of a gang has places. */
  zone: string | null;
}

export interface PlacementResult {
  entries: LogEntry[];
  starts: number;
  /** Job by job in order of claim. */
  unplaced: Unplaced[];
  /** Machines that are not idle though they look so: work starts there, or places are held. */
  retained: Set<Machine>;
  /** Those of them that wait for a gang. */
  reserved: Set<Machine>;
  freeResources: (m: Machine) => Resources;
  /** What tasks that are being stopped will add to it. */
  releasingResources: (m: Machine) => Resources;
}

const NONE: Resources = Object.freeze({ cpus: 0, gpus: 0, mem: 0 });
/** Seconds after which a gang that fits nowhere has machines emptied for it. */
const DRAIN_AFTER_S = 45;
/** Starts of one entry: more would not fit a record beside others. */
const STARTS_PER_ENTRY = 100;

export const place = (input: PlacementInput): PlacementResult => new PlacementRound(input).run();

const kindOf = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;
const countOf = (shares: readonly Allocation[]): number =>
  shares.reduce((sum, share) => sum + share.taskCount, 0);

class PlacementRound {
  private readonly rooms: Candidate[];
  private readonly roomOf: ReadonlyMap<MachineId, Candidate>;
  /** Rooms with something free. Work follows what has room: on a busy day few machines do. */
  private free: Candidate[];
  /** Rooms in which tasks are being stopped. */
  private readonly freeing: Candidate[];
  /** Needs that found no machine at all this round. */
  private readonly noRoom = new InfeasibleRequests();
  private readonly use: Map<string, { cpus: number; gpus: number }>;
  /** Machines that take work, by type, zone and kind. */
  private readonly machines = new Map<string, number>();
  private readonly entries: LogEntry[] = [];
  private readonly unplaced: Unplaced[] = [];
  private readonly keep = new Set<Machine>();
  private readonly waiting = new Set<Machine>();
  private starts = 0;
  /** Machines are being emptied for a gang. */
  private isDraining = false;

  constructor(private readonly input: PlacementInput) {
    this.rooms = roomsOf(input);
    this.roomOf = new Map(this.rooms.map((room) => [room.machine.id, room]));
    this.free = this.rooms.filter((room) => room.cpus > RESOURCE_EPSILON);
    this.freeing = this.rooms.filter((room) => room.releasing.cpus > RESOURCE_EPSILON);
    this.use = new Map([...input.state.teamUsage].map(([team, used]) => [team, { ...used }]));
    for (const { machine: m } of this.rooms) {
      const kind = kindOf(m.type, m.zone, m.spot);
      this.machines.set(kind, (this.machines.get(kind) ?? 0) + 1);
    }
  }

  run(): PlacementResult {
    for (const claim of this.input.claims) this.placeClaim(claim);
    return {
      entries: this.entries,
      starts: this.starts,
      unplaced: this.unplaced,
      retained: new Set([...this.keep, ...this.waiting]),
      reserved: this.waiting,
      freeResources: (machine) => sumOf(this.roomOf.get(machine.id) ?? NONE, NONE),
      releasingResources: (machine) => this.roomOf.get(machine.id)?.releasing ?? NONE,
    };
  }

  private placeClaim({ job, guaranteed }: Claim): void {
    this.keepPlaces(job);
    const waiting = countWaitingTasks(this.input.state, job);
    if (waiting === 0 || job.notBefore > this.input.now) return;
    const want = this.mayStart(job, waiting);
    if (want === 0) return;
    const open = this.fitting(job).filter((room) => !delaysGangFetch(room, job));
    const shares = this.share(job, want, open);
    if (shares === null) return;
    if (shares.length > 0) this.start(job, want, shares);
    const left = want - countOf(shares);
    if (left > 0) this.reserveFor(job, left, open, guaranteed);
  }

  /** Where images are there, or a gang's slow tasks are still fetching, its places wait for the next attempt. */
  private keepPlaces(job: Job): void {
    for (const id of job.places) {
      const room = this.roomOf.get(id);
      if (!room || !fits(room, job.spec) || !meetsConstraints(job, room.machine)) continue;
      addTo(room, job.spec, -1);
      this.keep.add(room.machine);
    }
  }

  private useOf(team: string): { cpus: number; gpus: number } {
    const used = this.use.get(team) ?? { cpus: 0, gpus: 0 };
    this.use.set(team, used);
    return used;
  }

  /** How many tasks may start now, by the team's limit and the round's; of a gang all or none. */
  private mayStart(job: Job, waiting: number): number {
    const { spec } = job;
    const team = this.input.teams.find((one) => one.name === spec.team)!;
    const limit = tasksWithinLimit(job, team, this.useOf(spec.team));
    if (spec.gang && limit < waiting) return 0;
    const want = Math.min(waiting, limit, Math.max(0, this.input.maxStarts - this.starts));
    return spec.gang && want < spec.tasks ? 0 : want;
  }

  private mayTake(job: Job, room: Candidate): boolean {
    return meetsConstraints(job, room.machine) && !avoidsMachine(job, room.machine.id);
  }

  private fitting(job: Job): Candidate[] {
    const { spec } = job;
    if (this.noRoom.has(constraintKey(spec), spec)) return [];
    const fitting = this.free.filter((room) => fits(room, spec) && this.mayTake(job, room));
    if (fitting.length === 0 && job.errorMachines.size === 0) this.noRoom.add(constraintKey(spec), spec);
    return fitting;
  }

  /** Places for a job's tasks, taken from their rooms; null when it may not be placed at all now. */
  private share(job: Job, want: number, open: Candidate[]): Allocation[] | null {
    const { now, random, sampleSize: sample, completionObjectiveS: within } = this.input;
    const { spec } = job;
    const fragile = isRestartCritical(job, now, within(spec.class));
    const perZone = tasksPerZone(job);
    const zones = candidateZones(job, perZone, open, fragile);
    if (zones === null) return null;
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const zoneLeft = (zone: string): number => zoneMost - (perZone.get(zone) ?? 0);
    for (const zone of zones) {
      const pool = zone === null ? open : open.filter((room) => room.machine.zone === zone);
      const shares = allocate(pool, job, want, sample, random, fragile, zoneLeft);
      // A gang goes whole or not at all; a one-zone array takes the zone that has room.
      if (shares.length > 0 && (!spec.gang || countOf(shares) === want)) return shares;
      for (const { candidate: room, taskCount: n } of shares) addTo(room, spec, n);
    }
    return [];
  }

  private start(job: Job, want: number, shares: Allocation[]): void {
    const { spec } = job;
    const tasks: [number, number][] = spec.gang
      ? Array.from({ length: spec.tasks }, (_, task) => [task, job.gangTry])
      : waitingTasks(job, want);
    const placed: [number, number, MachineId][] = [];
    for (const { candidate: room, taskCount: n } of shares) {
      this.noteStart(room, job);
      for (let i = 0; i < n; i++) placed.push([...tasks[placed.length]!, room.machine.id]);
    }
    const used = this.useOf(spec.team);
    used.cpus += spec.cpus * placed.length;
    used.gpus += spec.gpus * placed.length;
    this.starts += placed.length;
    for (const part of chunked(placed, STARTS_PER_ENTRY))
      this.entries.push({ e: 'start', job: spec.id, p: part });
    this.free = this.free.filter((room) => room.cpus > RESOURCE_EPSILON);
  }

  private noteStart(room: Candidate, job: Job): void {
    if (!hasImage(room, job)) {
      room.fetches.set(job.spec.image, job.spec.imageGb / room.fetchRate);
      room.isGangFetching ||= isMultiTaskGang(job.spec);
    }
    room.isOccupied = true;
    // Guards against giving a machine back in the round that gives it work.
    this.keep.add(room.machine);
  }

  /** Room that is being made for this claim is not left to a lesser one meanwhile. */
  private reserveFor(job: Job, left: number, open: Candidate[], guaranteed: boolean): void {
    const { state, now } = this.input;
    const { spec } = job;
    // One gang at a time: machines that stand half empty for all of them would serve none.
    const drains = spec.gang && !this.isDraining && now - job.at > DRAIN_AFTER_S * 1000;
    this.isDraining ||= drains;
    const mine = (room: Candidate): boolean => this.mayTake(job, room);
    const drainable = (room: Candidate): boolean => {
      const type = state.machineTypes.get(room.machine.type);
      return mine(room) && type !== undefined && fitsType(spec, type);
    };
    const reserved = reserve(
      spec.gang ? open : [],
      this.freeing.filter(mine),
      job,
      left,
      drains ? this.rooms.filter(drainable) : [],
      (zone) => this.couldHold(job, zone),
      this.waiting,
    );
    if (drains) this.free = this.free.filter((room) => room.cpus > RESOURCE_EPSILON);
    const tasks = left - reserved.n;
    if (tasks > 0) this.unplaced.push({ job, tasks, guaranteed, zone: reserved.zone });
  }

  /** How many of a job's tasks a zone's machines would hold if all were empty; no end while more can be rented. */
  private couldHold(job: Job, zone: string): number {
    let tasks = 0;
    for (const type of this.input.state.machineTypes.values()) {
      if (!fitsType(job.spec, type) || !type.zones.includes(zone)) continue;
      for (const spot of [true, false]) {
        if (!meetsConstraints(job, { type: type.name, zone, spot })) continue;
        if (this.input.canRent(type.name, zone, spot)) return Infinity;
        tasks += slotCount(type, job.spec) * (this.machines.get(kindOf(type.name, zone, spot)) ?? 0);
      }
    }
    return tasks;
  }
}

function roomsOf(input: PlacementInput): Candidate[] {
  const scarce = soleFitTypes(input.state);
  const rooms: Candidate[] = [];
  for (const machine of input.usable) {
    const type = input.state.machineTypes.get(machine.type);
    if (!type) continue;
    const room: Candidate = {
      machine,
      cpus: type.cpus - machine.cpus,
      gpus: type.gpus - machine.gpus,
      mem: type.mem - machine.mem,
      fetches: new Map(),
      isGangFetching: false,
      releasing: machine.stopping > 0 ? { cpus: 0, gpus: 0, mem: 0 } : NONE,
      fetchRate: type.fetch,
      totalCpus: type.cpus,
      isSoleFit: scarce.has(type.name),
      isReserved: input.reserved.has(machine),
      isOccupied: machine.live.size > 0,
    };
    // Work follows what has room or will have: the tasks of all other machines are not looked at.
    if (machine.stopping > 0 || machine.cpus + RESOURCE_EPSILON < type.cpus) noteTasks(room, input);
    rooms.push(room);
  }
  return rooms;
}

/** What the tasks on a machine will leave, and what they fetch. */
function noteTasks(room: Candidate, { isFetching: fetching, now }: PlacementInput): void {
  for (const live of room.machine.live) {
    const { spec } = live.job;
    if (live.stop) addTo(room.releasing, spec);
    else if (fetching(live)) {
      room.fetches.set(
        spec.image,
        Math.max(1, spec.imageGb / room.fetchRate - (now - live.startedAt) / 1000),
      );
      room.isGangFetching ||= isMultiTaskGang(spec);
    }
  }
}
