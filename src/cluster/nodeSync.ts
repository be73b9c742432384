/**
 * This node's side of its reports to the leader: what it reports, and the state
 * that it takes from the replies. It makes no calls.
 */

import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import {NO_SITE_VERSION} from '../control/state/siteState';
import type {TargetAnnouncement} from '../site/announcement';
import type {DecodedSite, Site} from '../site/site';
import {ActiveSite} from './activeSite';
import type {ClusterView} from './clusterView';
import {LocalAnnouncements} from './localAnnouncements';
import type {
  CommittedPosition,
  CommittedState,
  NodeInfo,
  ProposedCommand,
  ReadCommittedParams,
  ReadCommittedReply,
  ServiceLoad,
  StateAfterChange,
  SyncParams,
  SyncState,
} from './messages';
import type {CommittedStateHolder} from './peerCatchUp';
import type {NodeQuarantine} from './nodeQuarantine';
import type {TargetBoot} from './nodeRateLimits';
import {SiteConfirmation} from './siteConfirmation';
import {SyncCursor} from './syncCursor';
import type {TargetPushback} from './targetPushback';
import type {TargetTable} from './targetTable';

/**
 * Proof of a leader of an older version, which states none: after this time it
 * notices that no quorum follows it.
 */
const DEFAULT_PROVEN_AGE_MS = 700;

/** The nodes that this node knows. */
export interface KnownNodes {
  readonly self: NodeInfo;
  markSeen(infos: readonly NodeInfo[]): void;
}

/** Dependencies of the reports. */
export interface NodeSyncParts {
  readonly nodes: KnownNodes;
  readonly table: TargetTable;
  readonly pushback: TargetPushback;
  readonly quarantine: NodeQuarantine;
  readonly logger: Logger;
  /** Age of a confirmation after which a newer document may be in force, ms. */
  readonly maxSiteAgeMs: number;
  decodeSite(text: string): DecodedSite;
  /** Loads by service; arrivals are counted since the last call. */
  takeLoads(): readonly ServiceLoad[];
}

/** A report that was sent. */
export interface SentReport {
  readonly params: SyncParams;
  readonly sentAtMs: number;
  /** Whether this node is the leader that replied. */
  readonly isLeader: boolean;
}

/** What this node reports, and its view of the cluster. */
export class NodeSync implements CommittedStateHolder {
  private current: ClusterView = {
    index: undefined,
    zonesOut: new Set(),
    grants: new Map(),
    activeNodes: 1,
  };
  private readonly bootId = newBootId();
  private readonly activeSite: ActiveSite;
  private readonly heard = new LocalAnnouncements();
  private readonly cursor = new SyncCursor();
  private readonly confirmation: SiteConfirmation;
  private position: CommittedPosition | undefined;
  private loadsTakenAtMs: number | undefined;

  constructor(private readonly parts: NodeSyncParts) {
    const {decodeSite, logger, maxSiteAgeMs} = parts;
    this.activeSite = new ActiveSite(decodeSite, logger);
    this.confirmation = new SiteConfirmation(maxSiteAgeMs, logger);
  }

  get view(): ClusterView {
    return this.current;
  }

  /** The active site, which the leader's decisions are based on. */
  get site(): Site | undefined {
    return this.current.index?.site;
  }

  get siteVersion(): number {
    return this.site?.version ?? NO_SITE_VERSION;
  }

  /** The active site document as sent between nodes; empty before the first. */
  get packedSite(): string {
    return this.activeSite.packed;
  }

  /** Logs when the document has not been confirmed for too long. */
  checkConfirmation(knowsLeader: boolean, nowMs: number): void {
    this.confirmation.check(this.siteVersion, knowsLeader, nowMs);
  }

  /** Merges an announcement of a target; false when it is outdated. */
  handleAnnouncement(announcement: TargetAnnouncement, nowMs: number): boolean {
    const isNew = this.parts.table.merge(announcement, nowMs);
    if (isNew) this.heard.add(announcement, nowMs);
    return isNew;
  }

  /** Marks a boot that announced its departure as gone, unless a later one is known. */
  handleLeave({id, bornMs}: TargetBoot, nowMs: number): void {
    const {table} = this.parts;
    if (table.find(id)?.bornMs !== bornMs) return;
    const record = table.leave(id, nowMs);
    if (record !== undefined) this.heard.add(record, nowMs);
  }

  /** The next report; `requeue` it if no reply to it arrives. */
  takeReport(nowMs: number): SyncParams {
    return {
      from: this.parts.nodes.self,
      bootId: this.bootId,
      siteVersion: this.siteVersion,
      ...this.cursor.reportParams(nowMs),
      records: [...this.heard.takeUnsent()],
      readsPacked: true,
      ...this.takeLoads(nowMs),
      limits: unlessEmpty(this.parts.pushback.takeReports(nowMs)),
      closed: unlessEmpty(this.parts.pushback.closedIds(nowMs)),
      quarantine: this.parts.quarantine.takeReport(nowMs),
    };
  }

  private takeLoads(nowMs: number): Pick<SyncParams, 'loads' | 'loadsMs'> {
    const loads = [...this.parts.takeLoads()];
    const earlierMs = this.loadsTakenAtMs;
    this.loadsTakenAtMs = nowMs;
    const hasDemand = loads.some(({demand}) => demand !== undefined);
    if (!hasDemand || earlierMs === undefined) return {loads};
    return {loads, loadsMs: nowMs - earlierMs};
  }

  /** Repeats the announcements of a report that the leader may not have received. */
  requeue({records}: SyncParams): void {
    this.heard.requeue(records);
  }

  /**
   * Takes the leader's reply to a report. The leader's own table is the source of
   * the records.
   */
  applyReply(
    reply: SyncState,
    {params, sentAtMs, isLeader}: SentReport,
    nowMs: number
  ): void {
    if (this.cursor.isStale(reply)) return;
    const {nodes, table, pushback, quarantine} = this.parts;
    // The leader's own list must not renew itself: lost nodes would never expire.
    if (!isLeader) nodes.markSeen(reply.nodes);
    const isNewLeader = this.cursor.advance(reply, nowMs);
    if (isNewLeader) this.heard.requeueRecent(nowMs);
    if (isNewLeader) pushback.reportLimitsMissingIn(reply.records);
    if (!isLeader)
      for (const record of reply.records) table.mergeShared(record, nowMs);
    if (!isLeader) table.evictAbsent(nowMs);
    for (const departure of reply.departures ?? [])
      table.depart(departure, nowMs);
    const {provenAgeMs = DEFAULT_PROVEN_AGE_MS} = reply;
    const index = this.activeSite.update(reply.siteVersion, reply.packedSite);
    const version = index?.site.version ?? NO_SITE_VERSION;
    // A document that could not be decoded leaves an older one in force.
    const isWhole = version >= reply.siteVersion;
    if (isWhole)
      this.confirmation.confirm(sentAtMs - provenAgeMs, version, nowMs);
    this.position = isWhole
      ? {index: reply.index, siteVersion: version}
      : undefined;
    this.current = {
      index,
      confirmedAtMs: this.confirmation.atMs,
      zonesOut: new Set(reply.zonesOut),
      zoneRevisions: reply.zoneRevisions,
      grants: new Map(reply.grants.map(grant => [grant.service, grant])),
      grantedAtMs: nowMs,
      activeNodes: Math.max(1, reply.activeNodes),
    };
    pushback.applyReply(reply, params.limits ?? [], sentAtMs, nowMs);
    const {activeNodes} = this.current;
    const leader = {isNewLeader, activeNodes};
    quarantine.applyReply(reply.quarantine, params.quarantine, leader, nowMs);
  }

  /** Position of the state for other nodes; undefined before the first. */
  get committed(): CommittedPosition | undefined {
    return this.position;
  }

  /** The state for a node that has this version of the document. */
  readCommitted({heldVersion}: ReadCommittedParams): ReadCommittedReply {
    const {position} = this;
    if (position === undefined) return {kind: 'none'};
    const isHeld = position.siteVersion <= heldVersion;
    return {
      kind: 'state',
      ...position,
      packedSite: isHeld ? undefined : this.packedSite,
      zonesOut: [...this.current.zonesOut],
      zoneRevisions: this.current.zoneRevisions,
    };
  }

  /**
   * Whether another node's state is newer. A node that no leader has replied to has
   * no targets and no grants; it stays not ready.
   */
  wants({index, siteVersion}: CommittedPosition): boolean {
    return (
      this.current.grantedAtMs !== undefined &&
      index > this.cursor.commitIndex &&
      siteVersion >= this.siteVersion
    );
  }

  /**
   * Applies a change that this node is about to acknowledge. The leader may be lost
   * before the next report, and no other node would have the change.
   */
  applyChange(command: ProposedCommand, state: StateAfterChange): void {
    const packedSite = command.kind === 'site' ? command.packed : undefined;
    this.adopt({kind: 'state', ...state, packedSite});
  }

  /**
   * Takes newer state from another node. Only committed state is in a leader's reply,
   * so that no later leader takes it back; it confirms nothing and grants nothing.
   */
  adopt(state: CommittedState): boolean {
    if (!this.wants(state)) return false;
    const index = this.activeSite.update(state.siteVersion, state.packedSite);
    const version = index?.site.version ?? NO_SITE_VERSION;
    if (version !== state.siteVersion) return false;
    this.cursor.advanceIndex(state.index);
    this.position = {index: state.index, siteVersion: version};
    this.current = {
      ...this.current,
      index,
      zonesOut: new Set(state.zonesOut),
      zoneRevisions: state.zoneRevisions,
    };
    return true;
  }
}

/** Leaves a list out of a message that is sent all the time. */
function unlessEmpty<T>(items: readonly T[]): T[] | undefined {
  return items.length === 0 ? undefined : [...items];
}
