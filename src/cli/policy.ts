/** Policy files: one CEL expression, evaluated for a machine or a job, whose value is a map of settings. */
import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { defaultPolicy, type Policy } from '../core/policy.js';
import type { JobSpec } from '../core/types.js';

const resultSchema = z.strictObject({
  idle_s: z.number().min(0).max(3600).optional(),
  rent_spot: z.boolean().optional(),
  silence_s: z.number().min(7).max(60).optional(),
});

/** Variables of a policy and their CEL types. */
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

type Variables = Record<keyof typeof variables, string | boolean | number>;

/** Values of the variables that do not apply, such as those of a job when a machine is asked about. */
const unset: Variables = {
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

/** The fields used of the CEL library's errors. */
interface CelError {
  message: string;
  summary?: string;
  range?: { start: number };
}

/** Adds file, line and column to an error. */
function withPosition(file: string, text: string, error: CelError): Error {
  const linesBefore = text.slice(0, error.range?.start ?? 0).split('\n');
  const line = linesBefore.length;
  const column = linesBefore[linesBefore.length - 1]!.length + 1;
  return new Error(`${file}:${line}:${column}: ${error.summary ?? error.message.split('\n')[0]}`);
}

/** Reads and checks a policy; settings that its value leaves out have their defaults. */
export async function readPolicy(file: string, text = readFileSync(file, 'utf8')): Promise<Policy> {
  // Loaded on demand: most nodes have no policy file, and the library would slow their start.
  const { Environment } = await import('@marcbachmann/cel-js');
  const environment = new Environment({ homogeneousAggregateLiterals: false });
  for (const [name, type] of Object.entries(variables)) environment.registerVariable(name, type);
  const checked = environment.check(text);
  if (!checked.valid) throw withPosition(file, text, checked.error as unknown as CelError);
  const expression = environment.parse(text);
  const results = new Map<string, z.infer<typeof resultSchema>>();
  const evaluate = (values: Variables): z.infer<typeof resultSchema> => {
    const key = JSON.stringify(values);
    const known = results.get(key);
    if (known) return known;
    const parsed = resultSchema.safeParse(expression(values));
    if (!parsed.success) {
      const issue = parsed.error.issues[0]!;
      throw new Error(`${file}: ${issue.path.join('.') || 'policy'}: ${issue.message}`);
    }
    results.set(key, parsed.data);
    return parsed.data;
  };
  // Evaluated once at the start: a wrong name or type of a setting is found whatever the variables are.
  evaluate(unset);
  evaluate({ ...unset, machine_spot: true });
  const variablesOfMachine = (machine: Parameters<Policy['idleTimeoutS']>[0]): Variables => ({
    ...unset,
    machine_type: machine.type?.name ?? '',
    machine_zone: machine.zone,
    machine_spot: machine.spot,
    machine_cpus: machine.type?.cpus ?? 0,
    machine_price: machine.type ? (machine.spot ? machine.type.spotPrice : machine.type.price) : 0,
  });
  const variablesOfJob = (spec: JobSpec): Variables => ({
    ...unset,
    job_class: spec.class,
    job_team: spec.team,
    job_priority: spec.priority,
    job_checkpoint_s: spec.checkpoint,
  });
  return {
    idleTimeoutS: (machine) =>
      evaluate(variablesOfMachine(machine)).idle_s ?? defaultPolicy.idleTimeoutS(machine),
    rentSpot: (spec) => evaluate(variablesOfJob(spec)).rent_spot ?? defaultPolicy.rentSpot(spec),
    silenceTimeoutS: (machine) =>
      evaluate(variablesOfMachine(machine)).silence_s ?? defaultPolicy.silenceTimeoutS(machine),
  };
}
