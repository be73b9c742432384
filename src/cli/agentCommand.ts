/** `agent`: runs the process deployed beside each target. */

import {AgentProcess} from '../agent/agentProcess';
import {runRole} from './roleCommand';

/** Runs an agent until it has drained. */
export function runAgent(argv: readonly string[]): Promise<number> {
  return runRole('agent', argv, ({settings, logger, metrics}) =>
    AgentProcess.start(settings, logger, metrics)
  );
}
