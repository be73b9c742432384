/** Timers of the replicated log of nodes. */

import type {LogTiming} from '../control/log/coreEvents';

/**
 * Shorter than the defaults of the log. After the loss of the leader or a
 * restart of all nodes, callers may find no site document and targets no granted
 * slots until a leader is elected: 1.2 s with the defaults, half of it with
 * these values. Heartbeats every 100 ms to a handful of voters cost next to
 * nothing, and three of them fit into the shortest election timeout.
 */
export const LOG_TIMING: LogTiming = {
  heartbeatMs: 100,
  electionMinMs: 350,
  electionMaxMs: 700,
  checkQuorumMs: 700,
  resendMs: 400,
  firstElectionMaxMs: 250,
};
