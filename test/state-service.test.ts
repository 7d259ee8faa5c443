import { describe, expect, it } from 'vitest';
import { expectAllAnswered, expectAllOver, startWorld, submitWork } from './fakes/scenarios.js';

describe('followers of the log', () => {
  it('keep up when keys are removed, compacted records among them', async () => {
    const world = await startWorld(10);
    for (let i = 0; i < 130; i++) {
      world.user(world.job({ shifts: 3, reckon_s: 2 }));
      await world.time.run(1500);
    }
    await expectAllOver(world, 200);
    expect(world.state.kv.has('q/head')).toBe(true);
    const leader = world.nodes[world.leader()]!.controller;
    const lags = world.nodes.map((node) => leader.nextRecord - node.controller.nextRecord);
    for (const lag of lags) expect(Math.abs(lag)).toBeLessThan(5);
  });
});

describe('the cluster survives', () => {
  it('transactions carried out late, after newer ones and after compactions: a restart loses nothing', async () => {
    const world = await startWorld(220);
    world.state.transactionDelayMs = () => (world.random() < 0.15 ? 2000 + world.random() * 10_000 : 0);
    for (let i = 0; i < 110; i++) {
      world.user(world.job({ shifts: 3, reckon_s: 2 }), i % 10 === 0 ? 3000 : null);
      await world.time.run(1500);
      if (i % 40 === 39) world.crash(world.leader(), 300);
    }
    world.state.transactionDelayMs = () => 0;
    await world.time.run(15_000);
    expect((world.state.kv.get('q/head')?.data as { upto: number }).upto).toBeGreaterThan(200);
    for (const node of [0, 1, 2]) world.crash(node, 300 + node * 200);
    await world.time.run(8000);
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it("a compaction's write that is carried out after the next compaction: no earlier head or chunk comes back", async () => {
    const world = await startWorld(223);
    const heads: number[] = [];
    let isHeldUp = false;
    let last = 0;
    // The first copy of the second head gets no answer and is carried out after two more heads were written.
    world.state.transactionDelayMs = (transaction) => {
      const head = transaction.apply.find((operation) => operation.write === 'q/head')?.data as
        { upto: number } | undefined;
      if (head && heads.at(-1) !== head.upto) heads.push(head.upto);
      if (!head || heads.length !== 2 || isHeldUp) return 0;
      isHeldUp = true;
      return 60_000;
    };
    for (let i = 0; i < 220; i++) {
      for (const team of ['red', 'blue']) world.user(world.job({ desk: team, shifts: 2, reckon_s: 1 }));
      await world.time.run(800);
      const upto = (world.state.kv.get('q/head')?.data as { upto: number } | undefined)?.upto ?? 0;
      expect(upto).toBeGreaterThanOrEqual(last);
      last = upto;
    }
    expect(heads.length).toBeGreaterThan(3);
    const chunks = [...world.state.kv.keys()].filter((key) => key.startsWith('q/s/'));
    const head = world.state.kv.get('q/head')!.data as { upto: number; chunks: number };
    expect(head.upto).toBe(heads.at(-1));
    expect(chunks.filter((key) => key.includes(String(head.upto)))).toHaveLength(head.chunks);
    for (const node of [0, 1, 2]) world.crash(node, 300 + node * 200);
    await world.time.run(8000);
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it('a write whose answer is lost: the leader does not contradict what followers have answered from it', async () => {
    const world = await startWorld(224);
    world.state.losesResponse = () => world.random() < 0.3;
    for (let i = 0; i < 12; i++) {
      const job = world.job({ shifts: 2, reckon_s: 3 + world.random() * 5 });
      world.time.after(i * 2500, () => world.user(job, i % 4 === 0 ? 9000 : null));
      for (let query = 0; query < 600; query++)
        world.time.after(
          i * 2500 + query * 100,
          () => world.checker.standing(job.name_id) && void world.ask('show', job.name_id),
        );
    }
    await world.time.run(90_000);
    world.state.losesResponse = () => false;
    await expectAllOver(world, 200);
  });

  it('ten changes of the leader in two minutes, some during an outage, some with a restart after 200 ms', async () => {
    const world = await startWorld(221);
    const { doomed } = submitWork(world);
    for (const job of doomed) world.user(job, 40_000);
    await world.time.run(20_000);
    const terms: number[] = [];
    for (let i = 0; i < 10; i++) {
      const former = world.leader();
      if (i % 3 === 2) world.time.after(300, () => world.state.outage(5000));
      if (former >= 0) world.crash(former, i % 2 ? 200 : 6000);
      await world.time.run(12_000);
      terms.push(world.nodes[Math.max(0, world.leader())]!.controller.status().term);
    }
    expect(terms).toEqual([...terms].sort((a, b) => a - b));
    expect(new Set(terms).size).toBeGreaterThan(7);
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it('a crash of all controllers in the middle of an election and their restart within 350 ms', async () => {
    for (const after of [2300, 2450, 2550, 2700]) {
      const world = await startWorld(225);
      const { doomed } = submitWork(world);
      for (const job of doomed) world.user(job, 40_000);
      await world.time.run(20_000);
      const former = world.leader();
      world.crash(former, 200);
      await world.time.run(after);
      for (const node of [0, 1, 2]) if (!world.nodes[node]!.clock.dead) world.crash(node, 150 + node * 100);
      await world.time.run(6000);
      expect(world.leader()).toBeGreaterThanOrEqual(0);
      await expectAllAnswered(world);
      await expectAllOver(world, 300);
    }
  });

  it('an absence of all controllers for longer than a lease, after which one returns', async () => {
    const world = await startWorld(222);
    const two = world.job({ shifts: 2, reckon_s: 12 });
    const three = world.job({ shifts: 3, reckon_s: 90 });
    for (const job of [two, three]) world.user(job);
    await world.time.run(20_000);
    for (const node of [0, 1, 2]) world.crash(node, node === 1 ? 22_000 : 60_000);
    await world.time.run(30_000);
    expect(world.leader()).toBe(1);
    await expectAllAnswered(world);
    await expectAllOver(world, 400);
  });
});
