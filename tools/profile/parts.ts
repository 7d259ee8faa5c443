/** Sums the samples of a V8 CPU profile by part of the service. */

interface ProfileNode {
  id: number;
  callFrame: { functionName: string; url: string };
  children?: number[];
}

/** The part of the result of `Profiler.stop` that is used here. */
export interface SampledProfile {
  nodes: ProfileNode[];
  samples: number[];
  timeDeltas: number[];
}

/** Sampled time of a part of the service, or of a function. */
export interface PartTime {
  part: string;
  milliseconds: number;
}

/** Parts by name of a function. The outermost frame of a stack with such a name determines its part. */
const PART_OF_FUNCTION: Record<string, string> = {
  round: 'rounds',
  compact: 'snapshots',
  toJsonLines: 'snapshots',
  toCompressedChunks: 'snapshots',
  write: 'log writes',
  pump: 'log writes',
  transact: 'log writes',
  load: 'replay',
  catchUp: 'replay',
  watch: 'following the log',
  run: 'following the log',
  renewLoop: 'lock renewal',
  renew: 'lock renewal',
  renewLease: 'lock renewal',
  callWorker: 'direct commands',
  direct: 'direct commands',
  handleReport: 'worker reports',
  handleReportRequest: 'worker reports',
  readReport: 'worker reports',
  show: 'status queries',
  listMachines: 'cloud',
  rentMachines: 'cloud',
  dial: 'peer links',
};

/** Parts by name of a frame that V8 adds for what runs outside JavaScript. */
const PART_OF_VM_FRAME: Record<string, string> = {
  '(garbage collector)': 'garbage collection',
  '(idle)': 'idle',
  '(program)': 'native code and system calls',
};

function partOf(stack: readonly ProfileNode[]): string {
  const leaf = stack[stack.length - 1];
  const vmPart = leaf && PART_OF_VM_FRAME[leaf.callFrame.functionName];
  if (vmPart) return vmPart;
  for (const node of stack) {
    const part = PART_OF_FUNCTION[node.callFrame.functionName];
    if (part && node.callFrame.url.endsWith('app.js')) return part;
  }
  const names = new Set(stack.map((node) => node.callFrame.functionName));
  if (names.has('parserOnIncoming') || names.has('onParserExecute')) return 'HTTP server: requests';
  if (names.has('onconnection') || names.has('connectionListener')) return 'HTTP server: connections';
  if (names.has('parserOnMessageComplete') || names.has('socketOnData')) return 'HTTP messages';
  if (names.has('processTimers') || names.has('listOnTimeout')) return 'timers';
  if (names.has('onStreamRead')) return 'socket reads';
  if (names.has('processTicksAndRejections')) return 'promises and ticks';
  return 'other';
}

/** The stack of each node of the profile's tree, outermost frame first. */
function stacksOf(profile: SampledProfile): Map<number, ProfileNode[]> {
  const byId = new Map(profile.nodes.map((node) => [node.id, node]));
  const stacks = new Map<number, ProfileNode[]>();
  const visit = (node: ProfileNode, callers: ProfileNode[]): void => {
    const stack = [...callers, node];
    stacks.set(node.id, stack);
    for (const child of node.children ?? []) visit(byId.get(child)!, stack);
  };
  const root = profile.nodes[0];
  if (root) visit(root, []);
  return stacks;
}

function sorted(totals: ReadonlyMap<string, number>): PartTime[] {
  return [...totals]
    .map(([part, microseconds]) => ({ part, milliseconds: microseconds / 1000 }))
    .sort((a, b) => b.milliseconds - a.milliseconds);
}

/** Sampled time by part of the service, the largest first. */
export function timeByPart(profile: SampledProfile): PartTime[] {
  const stacks = stacksOf(profile);
  const totals = new Map<string, number>();
  profile.samples.forEach((id, index) => {
    const part = partOf(stacks.get(id) ?? []);
    totals.set(part, (totals.get(part) ?? 0) + (profile.timeDeltas[index] ?? 0));
  });
  return sorted(totals);
}

/** Sampled time by the innermost function of each stack, the largest first. */
export function timeByFunction(profile: SampledProfile): PartTime[] {
  const byId = new Map(profile.nodes.map((node) => [node.id, node]));
  const totals = new Map<string, number>();
  profile.samples.forEach((id, index) => {
    const frame = byId.get(id)?.callFrame;
    const name = `${frame?.functionName || '(anonymous)'} ${frame?.url.split('/').pop() ?? ''}`;
    totals.set(name, (totals.get(name) ?? 0) + (profile.timeDeltas[index] ?? 0));
  });
  return sorted(totals);
}
