/**
 * The leader's side of the quarantine: it unites what all nodes saw of crashes and
 * decides which parts of prompts no node sends to targets. Soft state of one term; a
 * new leader rebuilds it from the reports of the nodes.
 */

import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import {CrashAttribution} from '../policy/quarantine/crashAttribution';
import type {QuarantineTerm} from '../policy/quarantine/quarantineTerm';
import {hasTermEnded} from '../policy/quarantine/quarantineTerm';
import type {ServicePart} from './partKey';
import {partKey} from './partKey';
import type {
  QuarantineChange,
  QuarantineChangeEnd,
  QuarantineReport,
  QuarantineState,
  QuarantinedPart,
} from './quarantineMessages';

/** Interval of the decision. */
const DECIDE_INTERVAL_MS = 100;
/** Report periods in which nodes say which suspects they have served. */
const SETTLE_PERIODS = 3;
const MIN_SETTLE_MS = 300;
/** Time in which nodes find a new leader and report to it. */
const COLLECT_MS = 1_500;
const MAX_SUSPECTS = 64;
/** Suspects of a single crash are listed for this long. */
const LIST_SINGLE_MS = 10_000;
const MAX_QUARANTINED = 256;

interface Entry extends QuarantineTerm, ServicePart {
  readonly cause: QuarantinedPart['cause'];
  readonly crashes: number;
}

/** Evidence and decisions by service. */
export class LeaderQuarantine {
  private readonly evidence = new Map<string, CrashAttribution>();
  private readonly entries = new Map<string, Entry>();
  private readonly relapses = new Map<string, number>();
  private readonly liftedAtMs = new Map<string, number>();
  private suspects: QuarantineState['suspects'] = [];
  private decidedAtMs = -Infinity;
  private collectUntilMs = -Infinity;
  /** See `QUARANTINE_STATE`. */
  private lastChange = newBootId();

  constructor(private readonly logger: Logger) {}

  /** Starts a new term. */
  reset(nowMs: number): void {
    this.collectUntilMs = nowMs + COLLECT_MS;
    this.evidence.clear();
    this.entries.clear();
    this.relapses.clear();
    this.liftedAtMs.clear();
    this.suspects = [];
    this.lastChange = newBootId();
  }

  /** Takes the report of a node. */
  handleReport(report: QuarantineReport | undefined, nowMs: number): void {
    const {crashes = [], served = [], refused = [], held = []} = report ?? {};
    for (const {service, boot, ageMs, parts} of crashes) {
      const evidence = this.evidenceOf(service);
      evidence.addCrash({boot, atMs: nowMs - ageMs, parts}, nowMs);
      for (const entry of this.entries.values())
        if (entry.service === service && parts.includes(entry.part))
          evidence.explain(entry.part);
    }
    for (const {service, part, ageMs, count} of served)
      this.evidenceOf(service).noteServed({part, atMs: nowMs - ageMs, count});
    for (const {service, part, cause, crashes, ageMs} of held)
      this.adopt({service, part, cause, crashes}, nowMs - ageMs, nowMs);
    for (const part of refused) {
      const entry = this.entries.get(partKey(part));
      if (entry !== undefined)
        this.entries.set(partKey(part), {...entry, lastArrivalMs: nowMs});
    }
  }

  /** Decides, if it is due; returns what nodes have to know. */
  state(nowMs: number, reportPeriodMs: number): QuarantineState {
    if (nowMs - this.decidedAtMs >= DECIDE_INTERVAL_MS) {
      this.decidedAtMs = nowMs;
      this.decide(nowMs, reportPeriodMs);
    }
    const parts = [...this.entries.values()].map(
      ({service, part, cause, crashes, sinceMs}) => {
        const ageMs = Math.max(0, nowMs - sinceMs);
        return {service, part, cause, crashes, ageMs};
      }
    );
    return {parts, suspects: this.suspects, lastChange: this.lastChange};
  }

  /**
   * Applies a change of an operator, unless another one came first: it may have waited
   * while its sender repeated it elsewhere. One that is in force already only holds.
   */
  change(change: QuarantineChange, nowMs: number): QuarantineChangeEnd {
    const {seenChange = this.lastChange} = change;
    if (seenChange !== this.lastChange && !this.holds(change))
      return {kind: 'outdated'};
    this.apply(change, nowMs);
    this.lastChange = newBootId();
    return {kind: 'changed', lastChange: this.lastChange};
  }

  /** A lift also drops evidence, so that none is in force already. */
  private holds({kind, service, part}: QuarantineChange): boolean {
    const entry = this.entries.get(partKey({service, part}));
    return kind === 'add' && entry?.cause === 'operator';
  }

  private apply({kind, service, part}: QuarantineChange, nowMs: number): void {
    const key = partKey({service, part});
    switch (kind) {
      case 'add':
        this.liftedAtMs.delete(key);
        this.add({service, part, cause: 'operator', crashes: 0}, nowMs, nowMs);
        break;
      case 'lift':
        this.entries.delete(key);
        this.relapses.delete(key);
        this.liftedAtMs.set(key, nowMs);
        this.evidence.get(service)?.clearSuspicion(part);
        this.logEnd(service, 'operator');
        break;
    }
  }

  private decide(nowMs: number, reportPeriodMs: number): void {
    const settleMs = Math.max(MIN_SETTLE_MS, SETTLE_PERIODS * reportPeriodMs);
    this.endTerms(nowMs);
    if (this.evidence.size === 0) return;
    for (const [service, evidence] of this.evidence) {
      evidence.evict(nowMs);
      if (nowMs >= this.collectUntilMs)
        this.quarantineCulprits(service, evidence, nowMs - settleMs, nowMs);
      if (evidence.isEmpty) this.evidence.delete(service);
    }
    this.suspects = this.listSuspects(nowMs);
  }

  private quarantineCulprits(
    service: string,
    evidence: CrashAttribution,
    settledMs: number,
    nowMs: number
  ): void {
    for (const {part, crashes} of evidence.findCulprits(settledMs))
      this.add({service, part, cause: 'crashes', crashes}, nowMs, nowMs);
  }

  private listSuspects(nowMs: number): QuarantineState['suspects'] {
    return [...this.evidence]
      .flatMap(([service, evidence]) =>
        evidence.suspects().map(suspect => ({service, ...suspect}))
      )
      .filter(
        ({crashes, lastAtMs}) =>
          crashes > 1 || nowMs - lastAtMs < LIST_SINGLE_MS
      )
      .sort((a, b) => b.crashes - a.crashes || b.lastAtMs - a.lastAtMs)
      .slice(0, MAX_SUSPECTS)
      .map(({service, part, crashes}) => ({service, part, crashes}));
  }

  private endTerms(nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.cause === 'operator' || !hasTermEnded(entry, nowMs)) continue;
      this.entries.delete(key);
      this.relapses.set(key, entry.relapses + 1);
      this.logEnd(entry.service, 'term');
    }
  }

  /** Takes a part from the list of a node, unless it was lifted since. */
  private adopt(
    part: Pick<Entry, 'service' | 'part' | 'cause' | 'crashes'>,
    sinceMs: number,
    nowMs: number
  ): void {
    const key = partKey(part);
    if ((this.liftedAtMs.get(key) ?? -Infinity) >= sinceMs) return;
    if (!this.entries.has(key)) this.add(part, sinceMs, nowMs);
  }

  private add(
    part: Pick<Entry, 'service' | 'part' | 'cause' | 'crashes'>,
    sinceMs: number,
    nowMs: number
  ): void {
    const key = partKey(part);
    if (this.entries.size >= MAX_QUARANTINED && !this.entries.has(key)) return;
    const relapses = this.relapses.get(key) ?? 0;
    this.entries.set(key, {...part, sinceMs, lastArrivalMs: nowMs, relapses});
    this.evidenceOf(part.service).explain(part.part);
    const {service, cause, crashes} = part;
    this.logger.warn(
      {event: 'quarantine.began', service, cause, crashes, relapses},
      `requests with a part of prompts that ${crashes} targets crashed under are refused`
    );
  }

  private logEnd(service: string, cause: 'operator' | 'term'): void {
    this.logger.warn(
      {event: 'quarantine.ended', service, cause},
      'a part of prompts is allowed again'
    );
  }

  private evidenceOf(service: string): CrashAttribution {
    const evidence = this.evidence.get(service) ?? new CrashAttribution();
    this.evidence.set(service, evidence);
    return evidence;
  }
}
