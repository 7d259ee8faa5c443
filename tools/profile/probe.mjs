// Preloaded into each controller by `npm run profile`: samples its stacks. The first SIGUSR2 starts a
// sampling; the next one ends it and writes the profile to PROFILE_OUT.
import { writeFileSync } from 'node:fs';
import { Session } from 'node:inspector';
import { PerformanceObserver, constants, performance } from 'node:perf_hooks';

const SAMPLING_INTERVAL_US = 200;
const session = new Session();
let isSampling = false;
let started;
const collections = { young: { count: 0, ms: 0 }, old: { count: 0, ms: 0 } };

new PerformanceObserver((list) => {
  for (const entry of list.getEntries()) {
    const isYoung = entry.detail.kind === constants.NODE_PERFORMANCE_GC_MINOR;
    const total = isYoung ? collections.young : collections.old;
    total.count++;
    total.ms += entry.duration;
  }
}).observe({ entryTypes: ['gc'] });

/** Resource usage of the process since its start. */
const usage = () => ({
  processorMicroseconds: process.cpuUsage(),
  memory: process.memoryUsage(),
  collections: JSON.parse(JSON.stringify(collections)),
  atMs: performance.now(),
});

session.connect();
session.post('Profiler.enable');
session.post('Profiler.setSamplingInterval', { interval: SAMPLING_INTERVAL_US });
process.on('SIGUSR2', () => {
  if (!isSampling) {
    isSampling = true;
    started = usage();
    return session.post('Profiler.start');
  }
  const ended = usage();
  session.post('Profiler.stop', (error, result) => {
    if (error) throw error;
    writeFileSync(process.env.PROFILE_OUT, JSON.stringify({ started, ended, profile: result.profile }));
    isSampling = false;
  });
});
