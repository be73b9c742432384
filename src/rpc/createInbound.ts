/** Creates what the servers of an entry, an agent or a control instance share. */

import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {Inbound} from '../inbound/inbound';
import type {MachineSettings} from '../inbound/machine';
import {machineOf} from '../inbound/machine';

/** Limits of the machine, and how many requests of a connection are in progress. */
export interface InboundSettings extends MachineSettings {
  readonly requestsPerConnection: number;
}

/** Limits that take effect are logged and counted as `client.limited`. */
export function createInbound(
  settings: InboundSettings,
  logger: Logger,
  metrics: Metrics
): Inbound {
  return new Inbound({
    machine: machineOf(settings),
    requestsPerConnection: settings.requestsPerConnection,
    logger,
    countLimited: (port, reason) =>
      metrics.count('client.limited', {port, reason}),
  });
}
