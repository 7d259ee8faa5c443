import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { defaultPolicy, type Policy } from '../core/policy.js';
import type { JobSpec } from '../core/types.js';

const result = z.strictObject({
  idle_s: z.number().min(0).max(3600).optional(),
  rent_spot: z.boolean().optional(),
  silence_s: z.number().min(7).max(60).optional(),
});

const variables = {
  machine_type: 'string',
  machine_zone: 'string',
  machine_spot: 'bool',
  machine_cpus: 'double',
  machine_price: 'double',
  job_class: 'string',
  job_team: 'string',
  job_priority: 'string',
  job_checkpoint_s: 'double',
} as const;

type Vars = Record<keyof typeof variables, string | boolean | number>;

const none: Vars = {
  machine_type: '',
  machine_zone: '',
  machine_spot: false,
  machine_cpus: 0,
  machine_price: 0,
  job_class: '',
  job_team: '',
  job_priority: '',
  job_checkpoint_s: 0,
};

interface Fault {
  message: string;
  summary?: string;
  range?: { start: number };
}

function where(file: string, text: string, e: Fault): Error {
  const before = text.slice(0, e.range?.start ?? 0).split('\n');
  const line = before.length;
  const column = before[before.length - 1]!.length + 1;
  return new Error(`${file}:${line}:${column}: ${e.summary ?? e.message.split('\n')[0]}`);
}

/** Reads a policy: one CEL expression whose value is a map of settings. */
export async function readPolicy(file: string, text = readFileSync(file, 'utf8')): Promise<Policy> {
  // Most nodes have no policy file, and starting costs them enough without this library.
  const { Environment } = await import('@marcbachmann/cel-js');
  const env = new Environment({ homogeneousAggregateLiterals: false });
  for (const [name, type] of Object.entries(variables)) env.registerVariable(name, type);
  const checked = env.check(text);
  if (!checked.valid) throw where(file, text, checked.error as unknown as Fault);
  const run = env.parse(text);
  const seen = new Map<string, z.infer<typeof result>>();
  const value = (vars: Vars): z.infer<typeof result> => {
    const key = JSON.stringify(vars);
    const known = seen.get(key);
    if (known) return known;
    const r = result.safeParse(run(vars));
    if (!r.success) {
      const i = r.error.issues[0]!;
      throw new Error(`${file}: ${i.path.join('.') || 'policy'}: ${i.message}`);
    }
    seen.set(key, r.data);
    return r.data;
  };
  // A wrong name or type shows with any values; better at the start than in the night.
  value(none);
  value({ ...none, machine_spot: true });
  const ofMachine = (m: Parameters<Policy['idleTimeoutS']>[0]): Vars => ({
    ...none,
    machine_type: m.type?.name ?? '',
    machine_zone: m.zone,
    machine_spot: m.spot,
    machine_cpus: m.type?.cpus ?? 0,
    machine_price: m.type ? (m.spot ? m.type.spotPrice : m.type.price) : 0,
  });
  const ofJob = (s: JobSpec): Vars => ({
    ...none,
    job_class: s.class,
    job_team: s.team,
    job_priority: s.priority,
    job_checkpoint_s: s.checkpoint,
  });
  return {
    idleTimeoutS: (m) => value(ofMachine(m)).idle_s ?? defaultPolicy.idleTimeoutS(m),
    rentSpot: (s) => value(ofJob(s)).rent_spot ?? defaultPolicy.rentSpot(s),
    silenceTimeoutS: (m) => value(ofMachine(m)).silence_s ?? defaultPolicy.silenceTimeoutS(m),
  };
}
