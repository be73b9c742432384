/** Timers of the replicated log of nodes. */

import type {LogTiming} from '../control/log/coreEvents';

/**
 * Shorter than the defaults of the log: after the loss of the leader or a restart
 * of all nodes, callers may find no site document and targets no granted slots
 * until a leader is elected. Three heartbeats fit into the shortest election
 * timeout, so that a lost one or two start no election.
 */
export const LOG_TIMING: LogTiming = {
  heartbeatMs: 100,
  electionMinMs: 350,
  electionMaxMs: 700,
  checkQuorumMs: 700,
  resendMs: 400,
  firstElectionMaxMs: 250,
};
