/**
 * Requests under which targets crashed, as all nodes know them. A node that sees a crash
 * notifies the others before it answers the callers: a retry may reach any of them within
 * milliseconds. No leader takes part.
 */

import {Subject} from 'rxjs';
import type {Logger} from '../core/logger';
import {PeerError} from '../core/errors';
import {settledWithin} from '../core/settledWithin';
import {sum} from '../core/sum';
import type {
  RequestEvidence,
  RequestTry,
} from '../policy/quarantine/crashCounts';
import {CrashCounts} from '../policy/quarantine/crashCounts';
import {ServedParts} from '../policy/quarantine/servedParts';
import {planFanOut} from '../policy/noticeFanOut';
import type {
  CrashNotices,
  CrashNoticesReply,
  RequestNotice,
} from './crashNotices';
import {fromNotice, toNotice} from './crashNotices';
import type {Delivery, NoticeCall} from './noticeOutbox';
import {NoticeOutbox} from './noticeOutbox';
import {UnresponsiveNodes} from './unresponsiveNodes';

/** Longest time for which a caller is kept waiting for nodes that do not reply. */
const MAX_WAIT_MS = 120;
/** The same for the nodes that a relay forwards to. */
const MAX_FORWARD_MS = 40;
/** Without a reply for so long, the nodes behind a relay are notified directly. */
const SLOW_RELAY_MS = 60;
const MAX_NOTICES_IN_REPLY = 1_024;
/** Nodes that are asked for what they know. */
const CATCH_UP_NODES = 3;
/** Of the nodes that run, from which a crash counts as known to all. */
export const MIN_INFORMED_RATIO = 0.9;
/** Without contact for so long, and for several reports, a node may have missed notices. */
const CATCH_UP_AFTER_MS = 1_000;
const CATCH_UP_PERIODS = 3;

/** Dependencies. */
export interface CrashedRequestsParts {
  readonly logger: Logger;
  nowMs(): number;
  /** Returns 0 up to but excluding 1. */
  random(): number;
  /** Addresses of all other nodes. */
  peers(): readonly string[];
  /** Rejects without a reply, with a `PeerError` where the cause is known. */
  send(ip: string, notices: CrashNotices): Promise<CrashNoticesReply>;
}

/** A crash of a target under requests of this node. */
export interface CrashUnderRequests {
  readonly service: string;
  /** Unique for each boot of each target. */
  readonly boot: string;
  readonly atMs: number;
  readonly requests: readonly RequestTry[];
}

/** What this node knows, shared with the other nodes. */
export class CrashedRequests {
  /** Emits when what is known of a request changes. */
  readonly changed$ = new Subject<void>();
  private readonly counts = new CrashCounts();
  private readonly outboxes = new Map<string, NoticeOutbox>();
  /** Nodes that callers do not wait for. */
  private readonly unresponsive = new UnresponsiveNodes();
  /** Nodes whose process has ended: they refuse calls at once, and can't relay. */
  private readonly ended = new UnresponsiveNodes();
  /** Digests of requests that this node served lately. */
  private readonly served = new ServedParts();
  private contactAtMs = -Infinity;

  constructor(private readonly parts: CrashedRequestsParts) {}

  /** Whether no target may get the request. */
  isExhausted(request: RequestTry): boolean {
    if (!this.counts.isSuspect(request.digest)) return false;
    const nowMs = this.parts.nowMs();
    const wasServed = this.served.find(request.digest, nowMs) !== undefined;
    return this.counts.isExhausted(request, wasServed, nowMs);
  }

  /** Targets that crashed under the request since it was last served. */
  crashCount(digest: string): number {
    return this.counts.crashCount(digest);
  }

  /** What is known of requests that were not served since a crash. */
  list(): readonly RequestNotice[] {
    const nowMs = this.parts.nowMs();
    return this.counts
      .all()
      .filter(({crashes}) => crashes.length > 0)
      .map(evidence => toNotice(evidence, nowMs));
  }

  /**
   * Notes a crash and notifies all nodes; resolves once they know, or don't reply in time.
   */
  async noteCrash(crash: CrashUnderRequests): Promise<void> {
    const {service, boot, atMs} = crash;
    const {logger, nowMs} = this.parts;
    const evidence = crash.requests.map(({digest, endsAtMs}) => ({
      digest,
      service,
      crashes: [{boot, atMs, endsAtMs}],
      servedAtMs: -Infinity,
    }));
    const updates = evidence.filter(one => this.merge(one));
    if (updates.length === 0) return;
    this.counts.evict(nowMs());
    const startedAtMs = nowMs();
    const {nodes, informed, ended} = await this.share(updates);
    if (informed < (nodes - ended) * MIN_INFORMED_RATIO)
      for (const {digest} of updates) this.counts.markUnconfirmed(digest, boot);
    const mostCrashes = Math.max(
      ...updates.map(({digest}) => this.counts.crashCount(digest))
    );
    const tookMs = Math.round(nowMs() - startedAtMs);
    logger.info(
      {
        event: 'crash.shared',
        service,
        boot,
        requests: updates.length,
        mostCrashes,
        nodes,
        informed,
        ended,
        tookMs,
      },
      `notified ${informed} of ${nodes} nodes of a crash under ${updates.length} requests`
    );
  }

  /** Notes that a target served the request; notifies the other nodes if it was suspect. */
  noteServed(digest: string): void {
    const nowMs = this.parts.nowMs();
    this.served.note(digest, nowMs);
    const evidence = this.counts.find(digest);
    if (evidence === undefined || !this.counts.isSuspect(digest)) return;
    const served = {...evidence, servedAtMs: nowMs};
    if (this.merge(served)) void this.share([served]);
  }

  /** Whether a target crashed under the request later than at `atMs`. */
  hasCrashedSince(digest: string, atMs: number): boolean {
    const crashes = this.counts.find(digest)?.crashes ?? [];
    return crashes.some(crash => crash.atMs > atMs);
  }

  /** Lets targets get the request again, at all nodes; false for an unknown one. */
  async lift(digest: string): Promise<boolean> {
    const evidence = this.counts.find(digest);
    if (evidence === undefined) return false;
    const lifted = {...evidence, servedAtMs: this.parts.nowMs()};
    this.merge(lifted);
    await this.share([lifted]);
    return true;
  }

  /** Takes notices of another node, and forwards them if it asks for that. */
  async handle({
    notices,
    forwardTo = [],
    wantsAll = false,
  }: CrashNotices): Promise<CrashNoticesReply> {
    const {nowMs} = this.parts;
    const receivedAtMs = nowMs();
    const evidence = notices.map(notice => fromNotice(notice, receivedAtMs));
    for (const one of evidence) this.merge(one);
    await settledWithin(
      [this.notifyNodes(evidence, forwardTo)],
      MAX_FORWARD_MS
    );
    const known = wantsAll
      ? this.counts.all().slice(-MAX_NOTICES_IN_REPLY)
      : notices.flatMap(({digest}) => this.counts.find(digest) ?? []);
    const sent = new Map(notices.map(notice => [notice.digest, notice]));
    const beyond = known.filter(one => !isWithin(one, sent.get(one.digest)));
    return {notices: beyond.map(one => toNotice(one, nowMs()))};
  }

  /**
   * Notes a report to the leader, one of which is due each `periodMs`. After a time
   * without, as after a start, some nodes are asked for what was missed.
   */
  async noteContact(periodMs: number): Promise<void> {
    const {nowMs, peers, send, random} = this.parts;
    const limitMs = Math.max(CATCH_UP_AFTER_MS, CATCH_UP_PERIODS * periodMs);
    const hasMissed = nowMs() - this.contactAtMs > limitMs;
    this.contactAtMs = nowMs();
    if (!hasMissed) return;
    const known = peers();
    const first = Math.floor(random() * known.length);
    const asked = [...known, ...known].slice(first, first + CATCH_UP_NODES);
    await Promise.allSettled(
      asked.map(async ip => {
        const reply = await send(ip, {notices: [], wantsAll: true});
        this.take(reply.notices);
      })
    );
  }

  /** Takes what this node knew before it started, so long ago. */
  restore(notices: readonly RequestNotice[], downMs: number): void {
    const savedAtMs = this.parts.nowMs() - downMs;
    for (const notice of notices) this.merge(fromNotice(notice, savedAtMs));
  }

  private take(notices: readonly RequestNotice[]): void {
    const nowMs = this.parts.nowMs();
    for (const notice of notices) this.merge(fromNotice(notice, nowMs));
  }

  private merge(evidence: RequestEvidence): boolean {
    const hasChanged = this.counts.merge(evidence);
    if (hasChanged) this.changed$.next();
    return hasChanged;
  }

  /** Notifies all nodes; those that did not reply lately are not waited for. */
  private async share(
    evidence: readonly RequestEvidence[]
  ): Promise<Reach & {nodes: number}> {
    const peers = this.parts.peers();
    this.retainOutboxes(peers);
    let reach: Reach = {informed: 0, ended: 0};
    const awaited: Promise<void>[] = [];
    for (const branch of planFanOut(peers)) {
      const [relay = '', ...others] = this.responsiveFirst(branch);
      const isAwaited = !this.isUnresponsive(relay);
      const call = this.notifyBranch(relay, others, evidence).then(branch => {
        reach = sumOf([reach, branch]);
      });
      if (isAwaited) awaited.push(call);
    }
    await settledWithin(awaited, MAX_WAIT_MS);
    return {nodes: peers.length, ...reach};
  }

  /** Notifies nodes through the first of them. */
  private async notifyBranch(
    relay: string,
    others: readonly string[],
    evidence: readonly RequestEvidence[]
  ): Promise<Reach> {
    const call = this.outboxFor(relay).add({evidence, forwardTo: others});
    const isInTime =
      others.length === 0 || (await settledWithin([call], SLOW_RELAY_MS));
    const delivery = isInTime ? await call : 'failed';
    if (delivery === 'delivered')
      return {informed: 1 + others.length, ended: 0};
    const reach = await this.notifyNodes(evidence, others);
    return sumOf([reachOf(delivery), reach]);
  }

  private async notifyNodes(
    evidence: readonly RequestEvidence[],
    nodes: readonly string[]
  ): Promise<Reach> {
    const deliveries = await Promise.all(
      nodes.map(ip => this.outboxFor(ip).add({evidence, forwardTo: []}))
    );
    return sumOf(deliveries.map(reachOf));
  }

  private responsiveFirst(nodes: readonly string[]): readonly string[] {
    const nowMs = this.parts.nowMs();
    const canRelay = (ip: string) =>
      !this.isUnresponsive(ip) && !this.ended.has(ip, nowMs);
    return [...nodes.filter(canRelay), ...nodes.filter(ip => !canRelay(ip))];
  }

  private isUnresponsive(ip: string): boolean {
    return this.unresponsive.has(ip, this.parts.nowMs());
  }

  /** Drops the outboxes of nodes that are gone. */
  private retainOutboxes(peers: readonly string[]): void {
    const present = new Set(peers);
    for (const ip of this.outboxes.keys())
      if (!present.has(ip)) this.outboxes.delete(ip);
  }

  private outboxFor(ip: string): NoticeOutbox {
    const known = this.outboxes.get(ip);
    if (known !== undefined) return known;
    const outbox = new NoticeOutbox(call => this.call(ip, call));
    this.outboxes.set(ip, outbox);
    return outbox;
  }

  private async call(
    ip: string,
    {evidence, forwardTo}: NoticeCall
  ): Promise<Delivery> {
    const {nowMs, send} = this.parts;
    const sentAtMs = nowMs();
    try {
      const reply = await send(ip, {
        notices: evidence.map(one => toNotice(one, sentAtMs)),
        ...(forwardTo.length === 0 ? {} : {forwardTo: [...forwardTo]}),
      });
      this.unresponsive.delete(ip);
      this.ended.delete(ip);
      this.take(reply.notices);
      return 'delivered';
    } catch (err) {
      const isEnded = hasEnded(err);
      const failed = isEnded ? this.ended : this.unresponsive;
      failed.add(ip, nowMs());
      return isEnded ? 'ended' : 'failed';
    }
  }
}

/** Number of nodes that know, and of those whose process has ended. */
interface Reach {
  readonly informed: number;
  readonly ended: number;
}

function reachOf(delivery: Delivery): Reach {
  return {
    informed: delivery === 'delivered' ? 1 : 0,
    ended: delivery === 'ended' ? 1 : 0,
  };
}

function sumOf(reaches: readonly Reach[]): Reach {
  return {
    informed: sum(reaches.map(({informed}) => informed)),
    ended: sum(reaches.map(({ended}) => ended)),
  };
}

function hasEnded(err: unknown): boolean {
  if (!(err instanceof PeerError)) return false;
  const {fault} = err;
  return fault.kind === 'unreachable' && fault.refusedByHost;
}

/** Whether a notice has all that is known. */
function isWithin(
  {crashes, servedAtMs}: RequestEvidence,
  notice: RequestNotice | undefined
): boolean {
  if (notice === undefined) return false;
  const sent = new Set(notice.crashes.map(({boot}) => boot));
  const isServedSent =
    servedAtMs === -Infinity || notice.servedAgeMs !== undefined;
  return isServedSent && crashes.every(({boot}) => sent.has(boot));
}
