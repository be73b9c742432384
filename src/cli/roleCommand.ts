/** Command line shared by the roles entry, agent and control. */

import {createLogger} from '../core/logger';
import type {Logger} from '../core/logger';
import {Metrics} from '../core/metrics';
import {loadSettings} from '../settings/loadSettings';
import type {SettingsRole} from '../settings/sections';
import type {SettingsOf} from '../settings/settings';
import {checkSettings} from './checkSettings';
import {EXIT_CODES} from './exitCodes';
import {UsageError, runReportingErrors, runCommand} from './runCommand';

/** Roles that run until they receive a signal. */
export type ServerRole = Exclude<SettingsRole, 'client'>;

/** A role that is running. */
export interface RunningRole {
  /** Listening port, which the first line of stdout reports. */
  readonly port: number;
  /**
   * Stops gracefully. Each role decides how long it waits for the requests in
   * progress.
   */
  drain(): Promise<void>;
}

/** Dependencies passed to the start function of a role. */
export interface RoleContext<R extends ServerRole> {
  readonly settings: SettingsOf<R>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const FORCED_EXIT_CODE = 1;

function help(role: ServerRole): string {
  return `
  Usage
    $ marlpulley ${role} --settings FILE [--check-settings]

  Runs until SIGTERM or SIGINT and then drains: work in hand is finished. A
  second signal ends the process at once, whatever is in hand.

  Options
    --settings FILE    settings in INI form
    --check-settings   read the settings, print every fault, start nothing

  Exit codes
    0  drained, or the settings are good
    1  ended by a second signal, or a fault at run time
    2  wrong arguments or settings
`;
}

/** Runs a role until it has drained; resolves with the exit code. */
export function runRole<R extends ServerRole>(
  role: R,
  argv: readonly string[],
  start: (context: RoleContext<R>) => Promise<RunningRole>
): Promise<number> {
  const flags = {
    settings: {type: 'string'},
    checkSettings: {type: 'boolean', default: false},
  } as const;
  const settingsFile = settingsFileOnly(argv);
  if (settingsFile !== undefined)
    return runReportingErrors(() => runUntilDrained(role, settingsFile, start));
  return runCommand({help: help(role), flags, inputs: []}, argv, async args => {
    const file = args.flags.settings;
    if (file === undefined) throw new UsageError('--settings FILE is needed');
    if (args.flags.checkSettings) return checkSettings(role, file);
    return runUntilDrained(role, file, start);
  });
}

/**
 * Returns the settings file if the arguments are exactly `--settings FILE`, the
 * usual command of a deployed role. Loading the full argument parser for it
 * would only cost memory in each agent.
 */
function settingsFileOnly([flag, file, ...rest]: readonly string[]):
  string | undefined {
  const isSettingsOnly = flag === '--settings' && rest.length === 0;
  return isSettingsOnly && file !== undefined && !file.startsWith('-')
    ? file
    : undefined;
}

async function runUntilDrained<R extends ServerRole>(
  role: R,
  file: string,
  start: (context: RoleContext<R>) => Promise<RunningRole>
): Promise<number> {
  const settings = loadSettings(role, file);
  const {id, logLevel, metricsHost, metricsPort} = settings.process;
  const logger = createLogger(role, id, logLevel);
  const statsd =
    metricsHost === undefined || metricsPort === undefined
      ? undefined
      : {host: metricsHost, port: metricsPort};
  const metrics = new Metrics(id, statsd);
  const running = await start({settings, logger, metrics});
  process.stdout.write(
    `${JSON.stringify({ready: true, port: running.port})}\n`
  );
  logger.info({port: running.port}, 'started');
  await firstSignal(logger);
  await running.drain();
  logger.info('drained');
  return EXIT_CODES.ok;
}

/**
 * Resolves on the first signal; the second one exits the process immediately.
 */
function firstSignal(logger: Logger): Promise<void> {
  return new Promise(resolve => {
    let signalled = false;
    const onSignal = (signal: string) => {
      logger.info(
        {signal, signalled},
        signalled ? 'second signal, exiting without draining' : 'draining'
      );
      if (signalled) process.exit(FORCED_EXIT_CODE);
      signalled = true;
      resolve();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}
