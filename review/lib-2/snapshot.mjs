/** Puts a snapshot of the service's own format into the state service's stand-in: what a deployment of some age has. */
import { deflateSync } from 'node:zlib';
import { toCompressedChunks, toJsonLines } from '../../src/actors/snapshot.js';
import { ClusterState } from '../../src/core/state.js';
import { dumpState } from '../../src/core/state-dump.js';
import { chunkKey, SNAPSHOT_HEAD_KEY, TERM_KEY } from '../../src/wire/keys.js';

/** `finishedJobs`: ids of jobs that are done. */
export async function putSnapshot(stateService, { finishedJobs, types, upto, valueKb }) {
  const state = new ClusterState();
  state.nextRecord = upto + 1;
  state.processedUpTo = upto;
  state.nextJobOrder = finishedJobs.length;
  state.machineTypes = new Map(types.map((type) => [type.name, type]));
  for (const id of finishedJobs) state.outcomes.set(id, { state: 'done', done: 1 });
  const text = await toJsonLines(dumpState(state), () => Promise.resolve());
  const chunks = await toCompressedChunks(text, valueKb * 1024 - 64, async (all) => deflateSync(all));
  const put = (key, data) => stateService.kv.set(key, { data, stamp: ++stateService.revision });
  chunks.forEach((chunk, index) => put(chunkKey(upto, index), chunk));
  put(SNAPSHOT_HEAD_KEY, { upto, chunks: chunks.length });
  put(TERM_KEY, { term: 1 });
  return chunks.length;
}
