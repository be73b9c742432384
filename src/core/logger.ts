/** JSON-line logs by bunyan, one logger a process. */

import bunyan from 'bunyan';

/** What modules need of a logger. */
export type Logger = Pick<
  bunyan,
  'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal' | 'child'
>;

/** Creates the logger of a process; lines go to stderr. */
export function createLogger(
  role: string,
  processId: string,
  level: string
): Logger {
  return bunyan.createLogger({
    name: 'marlpulley',
    role,
    processId,
    streams: [{stream: process.stderr, level: level as bunyan.LogLevel}],
  });
}
