/**
 * Handles what only the leader can: reports of all nodes, proposals, and reads
 * that a quorum confirms. Other nodes reply with the leader that they know.
 */

import {unreachable} from '../core/errors';
import type {Logger} from '../core/logger';
import type {Site} from '../site/site';
import {LeadershipProof} from './leadershipProof';
import type {CommandResult} from '../control/state/command';
import type {ControlState} from '../control/state/controlState';
import type {LogReplica, OpenLog} from './logReplica';
import type {Coordinator} from './coordinator';
import type {
  ProposedCommand,
  ProposalEnd,
  SyncParams,
  SyncReply,
} from './messages';
import type {NodeDirectory} from './nodeDirectory';
import type {QuarantineChange, QuarantineChangeEnd} from './quarantineMessages';

/** Dependencies of the leader service. */
export interface LeaderServiceParts {
  replica(): LogReplica | undefined;
  readonly directory: NodeDirectory;
  readonly coordinator: Coordinator;
  site(): Site | undefined;
  /** The leader that this node knows, if any. */
  leader(): string | undefined;
  readonly logger: Logger;
  nowMs(): number;
}

interface NotLeader {
  readonly kind: 'notLeader';
  readonly leader?: string;
}

/** Calls that need the leader. */
export class LeaderService {
  private coordinatorTerm = -1;
  private caughtUpTerm = -1;
  private readonly proof: LeadershipProof;

  constructor(private readonly parts: LeaderServiceParts) {
    this.proof = new LeadershipProof(parts.nowMs);
  }

  get term(): number {
    return this.parts.replica()?.current?.log.status().term ?? 0;
  }

  /** Whether this node leads and has applied all earlier commits. */
  get isCaughtUp(): boolean {
    const leads = this.parts.replica()?.leads === true;
    return leads && this.caughtUpTerm === this.term;
  }

  /**
   * Resolves once the command is durable on a quorum: with the state, unless another
   * document than the proposed one is in force. An order that was overtaken is
   * `outdated`.
   */
  async propose(command: ProposedCommand): Promise<ProposalEnd> {
    const {log, state} = this.open();
    const {kind} = command;
    // What changes nothing is not copied to the log. The reply still needs a quorum to
    // confirm that what holds is committed.
    if (isHeld(command, state)) await log.readBarrier();
    else if (isOutdated(await log.propose(command))) {
      this.parts.logger.warn({event: 'change.outdated', command}, kind);
      return {kind: 'outdated'};
    }
    this.parts.logger.info(
      {event: 'change.agreed', kind},
      `change of kind ${kind} is committed`
    );
    if (command.kind === 'departure')
      this.parts.coordinator.applyDeparture(command.targetId);
    const {version, packed, zonesOut, zoneRevisions} = state.site;
    if (command.kind === 'site' && command.packed !== packed)
      return {kind: 'committed'};
    const index = log.status().commitIndex;
    return {
      kind: 'committed',
      state: {
        index,
        siteVersion: version,
        zonesOut: [...zonesOut],
        zoneRevisions,
      },
    };
  }

  /** Handles a proposal of another node. */
  async handleProposal(
    command: ProposedCommand
  ): Promise<NotLeader | ProposalEnd> {
    return this.leads ? this.propose(command) : this.notLeader();
  }

  /** The newest site document, confirmed by a quorum. */
  async readSite(heldVersion: number) {
    const {log, state} = this.open();
    await log.readBarrier();
    const {version, packed} = state.site;
    const held = version === heldVersion;
    return {kind: 'site' as const, version, packed: held ? undefined : packed};
  }

  /** Handles a read of another node. */
  async handleReadSite(heldVersion: number) {
    return this.leads ? this.readSite(heldVersion) : this.notLeader();
  }

  /** Handles a change of the quarantine by another node. */
  changeQuarantine(change: QuarantineChange): NotLeader | QuarantineChangeEnd {
    return this.isCaughtUp
      ? this.parts.coordinator.changeQuarantine(change)
      : this.notLeader();
  }

  /** Handles a report of any node, including this one. */
  async sync(params: SyncParams): Promise<SyncReply> {
    const {directory, coordinator, site} = this.parts;
    // Recorded first: commits, and so the barrier below, may wait for contact.
    directory.noteContact(params.from);
    if (!this.leads) return this.notLeader();
    const opened = this.open();
    const {term} = this;
    if (this.coordinatorTerm !== term) {
      this.coordinatorTerm = term;
      coordinator.reset();
    }
    if (this.caughtUpTerm !== term) {
      // Commits of earlier leaders may not be applied here yet.
      await this.proof.renew(opened.log);
      this.caughtUpTerm = term;
      coordinator.applyDepartures();
    }
    this.proof.renewIfDue(opened.log);
    const {version, packed, zonesOut, zoneRevisions} = opened.state.site;
    const replicated = {
      term,
      index: opened.log.status().commitIndex,
      siteVersion: version,
      packedSite: packed,
      zonesOut,
      zoneRevisions,
    };
    const reply = coordinator.sync(params, replicated, site(), directory);
    const provenAgeMs = this.proof.ageMs;
    if (params.tableTerm === term) return {...reply, provenAgeMs};
    // A leader that has restarted has no records by which to tell of them.
    const departures = opened.state.departures
      .snapshot()
      .filter(({targetId}) => !coordinator.hasRecord(targetId));
    return {...reply, provenAgeMs, departures};
  }

  private get leads(): boolean {
    return this.parts.replica()?.leads === true;
  }

  private open(): OpenLog {
    const opened = this.parts.replica()?.current;
    if (opened === undefined) throw new Error('no log here');
    return opened;
  }

  private notLeader(): NotLeader {
    const leader = this.parts.leader();
    const isOther = leader !== this.parts.directory.self.ip;
    return {kind: 'notLeader', leader: isOther ? leader : undefined};
  }
}

/** Whether the command would change nothing. */
function isHeld(command: ProposedCommand, state: ControlState): boolean {
  switch (command.kind) {
    case 'site':
      return command.version <= state.site.version;
    case 'departure':
      return state.departures.holds(command);
    case 'zone':
      return false;
    default:
      return unreachable(command);
  }
}

function isOutdated(result: CommandResult): boolean {
  return result.command === 'zone' && result.result.kind === 'outdated';
}
