/** JSON-line logs by bunyan, one logger per process. */

import bunyan from 'bunyan';

/** The part of a bunyan logger that modules use. */
export type Logger = Pick<
  bunyan,
  'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal' | 'child'
>;

/** Creates a logger whose lines go to the given output. */
export function createLineLogger(
  role: string,
  processId: string,
  level: string,
  output: {write(line: string): void}
): Logger {
  return bunyan.createLogger({
    name: 'marlpulley',
    role,
    processId,
    streams: [
      {
        stream: output as unknown as NodeJS.WritableStream,
        level: level as bunyan.LogLevel,
      },
    ],
  });
}

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
