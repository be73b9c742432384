/**
 * `node`: runs a gateway that discovers its cluster; see
 * docs/DESIGN-platform.md.
 */

import {watchFile} from 'node:fs';
import {CALLER_CODEC} from '../../platform/callerHeaders';
import {CONTROL_CODEC} from '../../platform/controlCalls';
import {RANK_CODEC} from '../../platform/rankCalls';
import {TARGET_CODEC} from '../../platform/targetHeaders';
import {BoundedOutput} from '../core/boundedOutput';
import {ConfigError} from '../core/errors';
import type {Logger} from '../core/logger';
import {createLineLogger} from '../core/logger';
import {NodeProcess} from '../node/nodeProcess';
import {loadNodeSettings} from '../settings/loadSettings';
import {checkSettings} from './checkSettings';
import {EXIT_CODES} from './exitCodes';
import {UsageError, runReportingErrors} from './runCommand';

const STDOUT_FD = 1;
/**
 * Interval at which the settings file is checked, so that edits apply without
 * SIGHUP.
 */
const SETTINGS_WATCH_INTERVAL_MS = 1_000;
const HELP = `
  Usage
    $ marlpulley node --settings FILE [--check-settings]

  Runs until SIGTERM or SIGINT and then drains. SIGHUP, or a change of the
  file, reads the settings again. Log lines go to standard output.
`;

/** Runs a node until it has drained; resolves with the exit code. */
export function runNode(argv: readonly string[]): Promise<number> {
  return runReportingErrors(async () => {
    if (argv.includes('--help')) {
      process.stdout.write(HELP);
      return EXIT_CODES.ok;
    }
    const [flag, file, check] = argv;
    if (flag !== '--settings' || file === undefined)
      throw new UsageError('--settings FILE is needed');
    if (check === '--check-settings') return checkSettings('node', file);
    return runUntilDrained(file);
  });
}

async function runUntilDrained(settingsFile: string): Promise<number> {
  const settings = loadNodeSettings(settingsFile);
  const {id, logLevel} = settings.process;
  const output = new BoundedOutput(STDOUT_FD);
  const logger = createLineLogger('node', id, logLevel, output);
  const node = await NodeProcess.start({
    settings,
    logger,
    droppedLines: () => output.dropped,
    codecs: {
      callers: CALLER_CODEC,
      targets: TARGET_CODEC,
      control: CONTROL_CODEC,
      ranks: RANK_CODEC,
    },
  });
  logger.info({event: 'process.started', settings}, 'started');
  const reload = () => reloadSettings(settingsFile, node, logger);
  process.on('SIGHUP', reload);
  watchFile(settingsFile, {interval: SETTINGS_WATCH_INTERVAL_MS}, reload);
  const signal = await firstSignal();
  logger.info({event: 'process.stopping', signal}, 'draining');
  await node.drain();
  logger.info({event: 'process.stopped'}, 'drained');
  // Idle keep-alive connections of callers would keep the process running.
  setTimeout(() => process.exit(EXIT_CODES.ok), LOG_FLUSH_MS);
  return EXIT_CODES.ok;
}

/** Time for the last log lines to be written before the process exits. */
const LOG_FLUSH_MS = 50;

function firstSignal(): Promise<string> {
  return new Promise(resolve => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}

/**
 * Applies the settings file; if it is invalid, the current settings stay
 * active.
 */
function reloadSettings(
  settingsFile: string,
  node: NodeProcess,
  logger: Logger
): void {
  try {
    node.reload(loadNodeSettings(settingsFile));
    logger.info({event: 'settings.read'}, 'settings reloaded');
  } catch (err) {
    const problems = err instanceof ConfigError ? err.problems : [String(err)];
    logger.error(
      {event: 'settings.refused', problems},
      'settings file is invalid, the current settings stay active'
    );
  }
}
