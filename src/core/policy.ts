import type { JobSpec, MachineType } from './types.js';

/** What operators may set beyond the platform's file. */
export interface Policy {
  /** Seconds that a machine may have nothing to do before it is given back. */
  idleTimeoutS(m: { zone: string; spot: boolean; type: MachineType | undefined }): number;
  /** Whether spot machines are rented for a job that allows them. */
  rentSpot(s: JobSpec): boolean;
  /** Seconds without a report after which a machine is given back. */
  silenceTimeoutS(m: { zone: string; spot: boolean; type: MachineType | undefined }): number;
}

export const defaultPolicy: Policy = {
  idleTimeoutS: (m) => (m.spot ? 40 : 15),
  rentSpot: () => true,
  silenceTimeoutS: () => 11,
};
