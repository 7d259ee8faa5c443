/** Schema of the platform's settings file. */
import * as z from 'zod';
import type { Team } from '../core/types.js';
import { addressProblem } from '../io/address.js';

const hostPort = z.string().superRefine((address, context) => {
  const message = addressProblem(address);
  if (message) context.addIssue({ code: 'custom', message });
});
const positive = z.number().gt(0);

export const settingsSchema = z.object({
  node: z.string().min(1),
  area: z.string(),
  serve_on: hostPort,
  back: hostPort,
  seeds: z.array(z.object({ node: z.string().min(1), area: z.string().nullish(), peer_addr: hostPort })),
  external: z.object({ cloud: hostPort, state: hostPort }),
  cluster: z.object({
    zones: z.array(z.string()),
    teams: z.array(
      z.object({
        name: z.string(),
        cpus: z.number().min(0),
        cpus_max: z.number().min(0),
        gpus: z.number().min(0).default(0),
        gpus_max: z.number().min(0).default(0),
      }),
    ),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().nullish(),
          within_s: z.number().nullish(),
          share: z.number().nullish(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: z.number().int().min(4),
    }),
    cloud: z.object({ rps: positive, list_lag_s: z.number().min(0) }),
    machine_limits: z
      .object({
        sockets: z.number().int().min(50).default(1000),
        cpu_share: z.number().gt(0).max(1024).default(1),
      })
      .default({ sockets: 1000, cpu_share: 1 }),
    time_bound_ms: z.number().min(0).default(1000),
  }),
});

/** In the settings a maximum of 0 means that there is no limit; a guarantee of 0 guarantees nothing. */
const limitOf = (maximum: number): number => (maximum === 0 ? Infinity : maximum);

export const teamsOf = (settings: Settings): Team[] =>
  settings.cluster.teams.map((team) => ({
    name: team.name,
    cpus: team.cpus,
    cpusMax: limitOf(team.cpus_max),
    gpus: team.gpus,
    gpusMax: limitOf(team.gpus_max),
  }));

export type Settings = z.infer<typeof settingsSchema>;

/** Validates the settings; the error names the first field that is wrong. Unknown fields are ignored. */
export function readSettings(raw: unknown): Settings {
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new Error(`settings: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`);
}
