// Preloaded into a controller by `npm run profile`: samples its stacks between two signals.
//   SIGUSR2 starts a sampling, and ends it the next time: the profile is written to PROFILE_OUT.
import { writeFileSync } from 'node:fs';
import { Session } from 'node:inspector';
import { PerformanceObserver, constants, performance } from 'node:perf_hooks';

const SAMPLE_MICROSECONDS = 200;
const session = new Session();
let sampling = false;
let started;
const collections = { young: { count: 0, ms: 0 }, old: { count: 0, ms: 0 } };

new PerformanceObserver((list) => {
  for (const entry of list.getEntries()) {
    const young = entry.detail.kind === constants.NODE_PERFORMANCE_GC_MINOR;
    const kept = young ? collections.young : collections.old;
    kept.count++;
    kept.ms += entry.duration;
  }
}).observe({ entryTypes: ['gc'] });

const usage = () => ({
  processorMicroseconds: process.cpuUsage(),
  memory: process.memoryUsage(),
  collections: JSON.parse(JSON.stringify(collections)),
  atMs: performance.now(),
});

session.connect();
session.post('Profiler.enable');
session.post('Profiler.setSamplingInterval', { interval: SAMPLE_MICROSECONDS });
process.on('SIGUSR2', () => {
  if (!sampling) {
    sampling = true;
    started = usage();
    return session.post('Profiler.start');
  }
  const ended = usage();
  session.post('Profiler.stop', (error, result) => {
    if (error) throw error;
    writeFileSync(process.env.PROFILE_OUT, JSON.stringify({ started, ended, profile: result.profile }));
    sampling = false;
  });
});
