/**
 * `control`: runs a control instance, which stores the replicated state on its
 * disk.
 */

import {ControlProcess} from '../control/controlProcess';
import {createInbound} from '../rpc/createInbound';
import {runRole} from './roleCommand';

const DISK_FAILURE_EXIT_CODE = 1;

/** Runs a control instance until it has drained. */
export function runControl(argv: readonly string[]): Promise<number> {
  return runRole('control', argv, async ({settings, logger, metrics}) => {
    const {process: processSettings, internal, control, data} = settings;
    const inbound = createInbound(settings.machine, logger, metrics);
    const running = await ControlProcess.start({
      id: processSettings.id,
      host: processSettings.host,
      port: internal.port,
      secret: internal.key,
      acceptSecret: internal.acceptKey,
      instances: control.instances,
      dataDir: data.folder,
      logger,
      metrics,
      inbound,
      // After a failed write the durable state, including the recorded vote, is
      // unknown. The process exits instead of serving from memory.
      onFatal: err => {
        logger.fatal({err: String(err)}, 'durable state failed');
        process.exit(DISK_FAILURE_EXIT_CODE);
      },
    });
    return {port: running.port, drain: () => running.stop()};
  });
}
