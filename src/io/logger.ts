import type { Logger as Pino } from 'pino';

/** The methods of the logger that the controller uses. */
export type Logger = Pick<Pino, 'info' | 'debug' | 'error' | 'warn'>;
