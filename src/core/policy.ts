/** Decisions on renting and returning machines that operators may override with a policy file. */
import type { JobSpec, MachineType } from './types.js';

export interface Policy {
  /** Seconds without tasks after which a machine is returned. */
  idleTimeoutS(machine: { zone: string; spot: boolean; type: MachineType | undefined }): number;
  /** Whether spot machines are rented for a job that allows them. */
  rentSpot(spec: JobSpec): boolean;
  /** Seconds without a report after which a machine is returned. */
  silenceTimeoutS(machine: { zone: string; spot: boolean; type: MachineType | undefined }): number;
}

/** The policy where no policy file sets another value. */
export const defaultPolicy: Policy = {
  idleTimeoutS: (machine) => (machine.spot ? 40 : 15),
  rentSpot: () => true,
  silenceTimeoutS: () => 11,
};
