/** `control`: an instance with a disk that keeps the agreed state. */

import {ControlProcess} from '../control/controlProcess';
import {runRole} from './roleCommand';

const DISK_FAILED = 1;

/** Runs a control instance. */
export function runControl(argv: readonly string[]): Promise<number> {
  return runRole('control', argv, async ({settings, logger, metrics}) => {
    const {process: own, internal, control, data} = settings;
    const running = await ControlProcess.start({
      id: own.id,
      host: own.host,
      port: internal.port,
      secret: internal.key,
      acceptSecret: internal.acceptKey,
      instances: control.instances,
      dataDir: data.folder,
      logger,
      metrics,
      // What the disk holds is no longer known, so neither is the vote: the
      // process ends rather than answer from memory.
      onFatal: err => {
        logger.fatal({err: String(err)}, 'durable state failed');
        process.exit(DISK_FAILED);
      },
    });
    return {port: running.port, drain: () => running.stop()};
  });
}
