/** `agent`: the process beside one target. */

import {AgentProcess} from '../agent/agentProcess';
import {runRole} from './roleCommand';

/** Runs an agent. */
export function runAgent(argv: readonly string[]): Promise<number> {
  return runRole('agent', argv, ({settings, logger, metrics}) =>
    AgentProcess.start(settings, logger, metrics)
  );
}
