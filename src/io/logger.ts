import type { Logger as Pino } from 'pino';

export type Logger = Pick<Pino, 'info' | 'debug' | 'error' | 'warn'>;
