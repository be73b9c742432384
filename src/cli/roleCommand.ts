/** What the roles entry, agent and control share on the command line. */

import {createLogger} from '../core/logger';
import type {Logger} from '../core/logger';
import {Metrics} from '../core/metrics';
import {loadSettings} from '../settings/loadSettings';
import type {SettingsRole} from '../settings/sections';
import type {SettingsOf} from '../settings/settings';
import {checkSettings} from './checkSettings';
import {EXIT_CODES} from './exitCodes';
import {UsageError, runBody, runCommand} from './runCommand';

/** Roles that run until they are told to end. */
export type ServerRole = Exclude<SettingsRole, 'client'>;

/** A started role. */
export interface RunningRole {
  /** Port that others are told of, on the first line of stdout. */
  readonly port: number;
  /** Ends without cutting off a request. */
  drain(): Promise<void>;
}

/** What a role is started with. */
export interface RoleContext<R extends ServerRole> {
  readonly settings: SettingsOf<R>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const FORCED_EXIT = 1;

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

/** Runs a role until it has drained. */
export function runRole<R extends ServerRole>(
  role: R,
  argv: readonly string[],
  start: (context: RoleContext<R>) => Promise<RunningRole>
): Promise<number> {
  const flags = {
    settings: {type: 'string'},
    checkSettings: {type: 'boolean', default: false},
  } as const;
  const usual = usualFile(argv);
  if (usual !== undefined) return runBody(() => runWith(role, usual, start));
  return runCommand({help: help(role), flags, inputs: []}, argv, async args => {
    const file = args.flags.settings;
    if (file === undefined) throw new UsageError('--settings FILE is needed');
    if (args.flags.checkSettings) return checkSettings(role, file);
    return runWith(role, file, start);
  });
}

/**
 * The file, where the arguments are as a running role has them. The parser of
 * all others would stay in memory with each agent for nothing.
 */
function usualFile([flag, file, ...rest]: readonly string[]):
  string | undefined {
  const isUsual = flag === '--settings' && rest.length === 0;
  return isUsual && file !== undefined && !file.startsWith('-')
    ? file
    : undefined;
}

async function runWith<R extends ServerRole>(
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

/** Resolves on the first signal; the second one ends the process. */
function firstSignal(logger: Logger): Promise<void> {
  return new Promise(resolve => {
    let signalled = false;
    const onSignal = (signal: string) => {
      logger.info(
        {signal, signalled},
        signalled ? 'ending at once' : 'draining'
      );
      if (signalled) process.exit(FORCED_EXIT);
      signalled = true;
      resolve();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}
