/**
 * Guards against a renamed field in data that leaves the process. Snapshots are written by spreading objects
 * of the code and read back untyped, so a rename compiles and passes every test that uses one build alone.
 * The fixture was written by the build of commit 6ce29e2: the keys of a state service, the content of the
 * snapshot in them, and the state after its records.
 */
import { readFileSync } from 'node:fs';
import { deflateSync } from 'node:zlib';
import { describe, expect, it } from 'vitest';
import { toJsonLines, toCompressedChunks, stateFromChunks } from '../src/actors/snapshot.js';
import { dumpState } from '../src/core/state-dump.js';
import type { ClusterState } from '../src/core/state.js';
import type { LogRecord } from '../src/core/types.js';
import {
  chunkKey,
  SNAPSHOT_HEAD_KEY,
  recordNumberOf,
  RECORD_PREFIX,
  type SnapshotHead,
} from '../src/wire/keys.js';
import { startWorld } from './fakes/scenarios.js';

interface Stored {
  keys: Record<string, unknown>;
  snapshot: unknown;
  state: unknown;
}

const stored = JSON.parse(
  readFileSync(new URL('./fixtures/stored-data.json', import.meta.url), 'utf8'),
) as Stored;
const keys = new Map(Object.entries(stored.keys));
const head = keys.get(SNAPSHOT_HEAD_KEY) as SnapshotHead;

/** A state in its form in a snapshot. */
const asJson = (state: ClusterState): unknown => JSON.parse(JSON.stringify(dumpState(state)));

/** Paths of all fields of an object and of the objects in it. */
const paths = (value: object, prefix = ''): string[] =>
  Object.entries(value).flatMap(([key, inner]: [string, unknown]) =>
    typeof inner === 'object' && inner !== null ? paths(inner, `${prefix}${key}.`) : [`${prefix}${key}`],
  );

describe('data of an earlier build', () => {
  it('a snapshot is read, and written again with the same fields', () => {
    expect(asJson(stateFromChunks(keys, head)!)).toEqual(stored.snapshot);
  });

  it('records of every kind lead to the same state', () => {
    const state = stateFromChunks(keys, head)!;
    const records = [...keys]
      .filter(([key]) => key.startsWith(RECORD_PREFIX))
      .map(([key, value]) => ({ key, value }));
    records.sort((a, b) => recordNumberOf(a.key) - recordNumberOf(b.key));
    const kinds = new Set<string>();
    for (const { key, value } of records) {
      const record = value as LogRecord;
      for (const entry of record.entries) kinds.add(entry.e);
      if (recordNumberOf(key) > head.upto) state.apply(recordNumberOf(key), record);
    }
    expect([...kinds].sort()).toEqual(
      ['drop', 'end', 'gone', 'hire', 'hired', 'job', 'mark', 'start', 'stop', 'up', 'withdraw'].sort(),
    );
    expect(asJson(state)).toEqual(stored.state);
  });

  it('a snapshot is packed into chunks that unpack to the same state', async () => {
    const text = await toJsonLines(dumpState(stateFromChunks(keys, head)!), async () => {});
    const chunks = await toCompressedChunks(text, 1000, async (plain) => deflateSync(plain));
    const packed = new Map(chunks.map((chunk, i): [string, unknown] => [chunkKey(7, i), chunk]));
    expect(asJson(stateFromChunks(packed, { upto: 7, chunks: chunks.length })!)).toEqual(stored.snapshot);
  });
});

describe('GET /metrics', () => {
  it("a leader's status and figures keep the names of their fields", async () => {
    const world = await startWorld(23);
    const { controller } = world.nodes[world.leader()]!;
    expect(paths(controller.status()).sort()).toEqual(
      [
        ...['node', 'run', 'term', 'leading', 'leader', 'leaderTerm', 'takingOver', 'remembersMs', 'workers'],
        ...['stateAge', 'reachesState', 'inDoubt', 'gaveWay'],
      ].sort(),
    );
    expect(paths(controller.leaderStatistics()).sort()).toEqual(
      [
        ...['directCalls.sent', 'directCalls.answered', 'directCalls.givenUp', 'directCalls.open'],
        ...['unsettledCalls', 'unsettledCancellations', 'fencesRaised', 'rejectedEntries'],
        ...['directCalls.refused', 'workersWithAnsweredStarts', 'fencesRaisedToForget'],
        ...['renewals.sent', 'renewals.timely', 'renewals.late', 'renewals.refused', 'renewals.unanswered'],
        ...['renewals.uncertainMs'],
      ].sort(),
    );
  });
});
