/** Random small worlds with machines that stop, slow boots and zones that are short, and jobs of all shapes. */
import fc from 'fast-check';
import type { MachineType, Team } from '../../src/core/types.js';
import type { JobOnWire } from './checker.js';
import { canEverRun, fitsMachines } from './placement-oracle.js';
import { checkWaiting, resolved } from './steps.js';
import { box, World } from './world.js';

/** CI runs fixed seeds, so that a failure can be reproduced; the soak runs others. */
export const PLACEMENT_SEEDS_IN_CI = [20261206, 20261207, 20261208, 20261209];
export const PLACEMENT_RUNS_IN_CI = 60;

const ZONES = ['a', 'b', 'c'];
/** Troubles happen within this time. */
const TROUBLE_MS = 60_000;
/** Within this time after the troubles every job that can run is done: six jobs of five tasks, one by one. */
const DONE_WITHIN_S = 6000;
/** How long a job that the cloud has no machines for is watched. */
const WATCH_MS = 30_000;

/** A job that may be illegal. */
interface JobPlan {
  job: Partial<JobOnWire>;
  submittedAtMs: number;
}

/** What happens to the machines of a world. */
type Trouble =
  | { kind: 'stop'; atMs: number; nth: number }
  /** The cloud has no machines of a zone for a while, beyond those that are rented. */
  | { kind: 'short'; atMs: number; zone: string; forMs: number };

/** A world, described by plain values so that a counterexample can be read. */
export interface WorldPlan {
  seed: number;
  zonesOfTypes: [string[], string[]];
  /** The settings may lack zones in which the cloud has machines. */
  zonesOfSettings: string[];
  /** Number of machines of each type in each zone, on demand; null: any number. */
  capacity: (number | null)[];
  spotMachines: number;
  cpuLimit: number;
  bootFactors: number[];
  jobs: JobPlan[];
  troubles: Trouble[];
}

const zones = fc.subarray(ZONES, { minLength: 1 });
const time = fc.integer({ min: 0, max: TROUBLE_MS });

const job: fc.Arbitrary<Partial<JobOnWire>> = fc.record({
  shape: fc.constantFrom('array' as const, 'ensemble' as const, 'ensemble' as const),
  shifts: fc.integer({ min: 1, max: 5 }),
  cpus: fc.constantFrom(1, 2, 4, 4, 6, 8, 8, 12, 16, 17),
  mem_gb: fc.constantFrom(1, 1, 4, 30, 60),
  together: fc.boolean(),
  spread: fc.boolean(),
  yard: fc.option(fc.constantFrom(...ZONES), { freq: 3 }),
  breeds: fc.option(fc.subarray(['box', 'crate'], { minLength: 1 }), { freq: 2 }),
  loaners: fc.boolean(),
  urgency: fc.constantFrom('low', 'standard', 'high'),
  desk: fc.constantFrom('red', 'red', 'blue'),
  reckon_s: fc.constantFrom(2, 10, 20, 150),
});

const trouble: fc.Arbitrary<Trouble> = fc.oneof(
  fc.record({
    kind: fc.constant('stop' as const),
    atMs: time,
    nth: fc.nat(5),
  }),
  fc.record({
    kind: fc.constant('short' as const),
    atMs: time,
    zone: fc.constantFrom(...ZONES),
    forMs: fc.constantFrom(20_000, 60_000),
  }),
);

export const worldPlan: fc.Arbitrary<WorldPlan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  zonesOfTypes: fc.tuple(zones, zones),
  zonesOfSettings: zones,
  capacity: fc.array(fc.constantFrom(0, 1, 2, 3, null, null), { minLength: 6, maxLength: 6 }),
  spotMachines: fc.constantFrom(0, 0, 1, 3),
  cpuLimit: fc.constantFrom(16, 40, 100),
  bootFactors: fc.array(fc.constantFrom(0.1, 1, 1, 5), { minLength: 1, maxLength: 6 }),
  jobs: fc.array(fc.record({ job, submittedAtMs: fc.integer({ min: 0, max: 40_000 }) }), {
    minLength: 1,
    maxLength: 6,
  }),
  troubles: fc.array(trouble, { maxLength: 4 }),
});

const offerKeyOf = (type: MachineType, zone: string, spot: boolean): string => `${type.name}|${zone}|${spot}`;

/** One world in which a plan is played. */
class PlannedWorld {
  private readonly types: MachineType[];
  private readonly teams: Team[];
  private readonly world: World;
  private readonly capacity = new Map<string, number>();
  /** Unexpected answers to submissions. */
  private readonly problems: string[] = [];
  private readonly runnable: JobOnWire[] = [];
  /** Jobs that may be accepted and for which the cloud has too few machines. */
  private readonly unserved: JobOnWire[] = [];

  constructor(private readonly plan: WorldPlan) {
    const [boxZones, crateZones] = plan.zonesOfTypes;
    this.types = [
      { ...box, zones: boxZones },
      { ...box, name: 'crate', cpus: 16, mem: 64, price: 1.9, spotPrice: 0.9, zones: crateZones },
    ];
    const teams = ['red', 'blue'].map((name) => ({ name, cpus: 8, cpus_max: plan.cpuLimit }));
    this.teams = teams.map(({ cpus_max: cpusMax, ...team }) => ({ ...team, cpusMax, gpus: 0, gpusMax: 0 }));
    this.world = new World(plan.seed, this.types, { teams, zones: plan.zonesOfSettings });
    this.types.forEach((type, t) =>
      ZONES.forEach((zone, z) => {
        const count = plan.capacity[t * ZONES.length + z];
        if (typeof count === 'number') this.capacity.set(offerKeyOf(type, zone, false), count);
        this.capacity.set(offerKeyOf(type, zone, true), plan.spotMachines);
      }),
    );
    for (const [key, count] of this.capacity) this.world.cloud.capacity.set(key, count);
    this.world.cloud.bootTimeFactor = (n) => plan.bootFactors[n % plan.bootFactors.length]!;
  }

  async play(): Promise<void> {
    const { plan, world } = this;
    await world.started();
    for (const { job: fields, submittedAtMs } of plan.jobs) {
      const submitted = world.job({ ...fields, kit: `img-${submittedAtMs % 2}` });
      world.time.after(submittedAtMs, () => void this.submit(submitted));
    }
    for (const one of plan.troubles) world.time.after(one.atMs, () => this.cause(one));
    await world.time.run(TROUBLE_MS * 2 + 1000);
    if (this.problems.length > 0) throw new Error(this.problems.join('; '));
    await this.expectRunnableDone();
    await this.expectUnservedKnown();
    if (world.checker.starts > 0) world.checker.finish();
    if (world.checker.violations.length > 0) throw new Error(world.checker.violations.join('; '));
  }

  /** Submits a job and checks the answer, and that to its repeats. */
  private async submit(submitted: JobOnWire): Promise<void> {
    const { checker } = this.world;
    checker.submitted(submitted);
    const expected = canEverRun(submitted, this.types, this.teams) ? 201 : 422;
    const { status } = await this.ask(submitted);
    if (status !== expected)
      this.problems.push(`${JSON.stringify(submitted)}: ${status}, expected ${expected}`);
    if (status !== 201) return;
    const isServed = fitsMachines(
      submitted,
      this.types,
      (type, zone, spot) => this.capacity.get(offerKeyOf(type, zone, spot)) ?? Infinity,
    );
    (isServed ? this.runnable : this.unserved).push(submitted);
    // A repeat is answered with the job's state, whatever its body: this one could never run.
    const repeat = await this.ask({ ...submitted, cpus: 99 });
    if (repeat.status !== 200) this.problems.push(`repeat of ${submitted.name_id}: ${repeat.status}`);
  }

  /** Asks until a node can decide. */
  private async ask(submitted: JobOnWire): Promise<{ status: number }> {
    for (;;) {
      const answer = await this.world.ask('submit', submitted.name_id, submitted);
      if (answer.status !== 503 && answer.status !== 0) return answer;
      await new Promise<void>((done) => this.world.time.after(1000, done));
    }
  }

  private cause(one: Trouble): void {
    const { cloud, time: clock, workers } = this.world;
    if (one.kind === 'stop') {
      const ids = [...workers.keys()];
      if (ids.length > 0) cloud.failMachine(ids[one.nth % ids.length]!, 'failed');
      return;
    }
    for (const type of this.types)
      for (const spot of [false, true]) {
        const key = offerKeyOf(type, one.zone, spot);
        const before = cloud.capacity.get(key);
        if (before === 0) continue;
        cloud.capacity.set(key, 0);
        clock.after(one.forMs, () => {
          // What was returned meanwhile is there again too.
          if (before === undefined) cloud.capacity.delete(key);
          else cloud.capacity.set(key, before + cloud.capacity.get(key)!);
        });
      }
  }

  private isDone({ name_id: id }: JobOnWire): boolean {
    return this.world.checker.standing(id) === 'done';
  }

  private async expectRunnableDone(): Promise<void> {
    const { checker, time: clock } = this.world;
    const { runnable, world } = this;
    for (const end = clock.now + DONE_WITHIN_S * 1000; clock.now < end && checker.violations.length === 0;) {
      for (const one of runnable) if (!this.isDone(one)) void world.ask('show', one.name_id);
      await clock.run(3000);
      checkWaiting(world);
      if (runnable.every((one) => this.isDone(one))) return;
    }
    const open = runnable.filter((one) => !this.isDone(one));
    throw new Error(
      [...checker.violations, ...open.map((one) => `not done: ${JSON.stringify(one)}`)].join('; '),
    );
  }

  private async expectUnservedKnown(): Promise<void> {
    const { unserved, world } = this;
    if (unserved.length > 0) await world.time.run(WATCH_MS);
    for (const { name_id: id } of unserved) {
      const shown = await resolved(world, world.ask('show', id));
      if (shown.status !== 200 || shown.standing !== 'queued')
        throw new Error(`${id}: ${shown.status} ${shown.standing}, expected it to be queued`);
      const cancelled = await resolved(world, world.ask('withdraw', id));
      if (cancelled.standing !== 'aborted') throw new Error(`${id} can't be cancelled: ${cancelled.status}`);
    }
  }
}

/** Plays one world; throws if a job is not answered or served as it should be. */
export const playWorld = (plan: WorldPlan): Promise<void> => new PlannedWorld(plan).play();

/**
 * Every job that can run is accepted, and done once the troubles are over; every other one is refused with
 * 422. A job for which the cloud has too few machines stays known, can be cancelled and hinders no other.
 */
export const placementProperty = (): fc.IAsyncProperty<[WorldPlan]> => fc.asyncProperty(worldPlan, playWorld);
