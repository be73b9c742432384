/**
 * The node's side of the quarantine: it reports crashes and what it served, and knows
 * which parts of prompts no node sends to targets. Without a leader it decides by what
 * it saw itself.
 */

import {Subject} from 'rxjs';
import {CrashAttribution} from '../policy/quarantine/crashAttribution';
import {ServedParts} from '../policy/quarantine/servedParts';
import {reportPeriodMs} from '../policy/reportPeriod';
import type {ServicePart} from './partKey';
import {partKey} from './partKey';
import type {
  CrashReport,
  QuarantineChange,
  QuarantineReport,
  QuarantineState,
  QuarantinedPart,
  ServedReport,
} from './quarantineMessages';

/** A crash of a target under requests of this node. */
export interface ObservedCrash {
  readonly service: string;
  /** Unique for each boot of each target. */
  readonly boot: string;
  readonly atMs: number;
  readonly parts: readonly string[];
}

/** The state that a node saves against a loss of all processes. */
export interface QuarantineEvidence {
  readonly parts: readonly QuarantinedPart[];
  /** Crashes that the node saw. */
  readonly crashes: readonly CrashReport[];
  /** What it served of the parts that may have caused them. */
  readonly served: readonly ServedReport[];
}

interface KnownCrash extends ObservedCrash {
  /** Whether the leader has it. */
  isAcknowledged: boolean;
}

interface Entry extends Omit<QuarantinedPart, 'ageMs'> {
  readonly sinceMs: number;
  /** Whether the leader has it. */
  readonly isAcknowledged: boolean;
}

/** Crashes that a new leader is told of. */
const KEEP_CRASHES_MS = 600_000;
const MAX_CRASHES = 64;
/** Crashes from which a suspect is in doubt although it was served before. */
const DOUBT_CRASHES = 2;
/** Time without a reply after which the node decides alone. */
const LEADERLESS_MS = 1_000;
const LEADERLESS_PERIODS = 3;
/** Crashes needed beyond those that a leader needs, who knows what others served. */
const MORE_CRASHES_ALONE = 2;

/** Parts of prompts by service. */
export class NodeQuarantine {
  /** Emits each part whose quarantine begins at this node. */
  readonly began$ = new Subject<ServicePart>();
  /** Emits when a part gets into quarantine or leaves it, and on evidence for that. */
  readonly changed$ = new Subject<void>();
  private readonly entries = new Map<string, Entry>();
  private readonly served = new Map<string, ServedParts>();
  private readonly refused = new Map<string, ServicePart>();
  private crashes: KnownCrash[] = [];
  /** Keys of parts that this node did not serve since a crash that it saw. */
  private readonly unserved = new Set<string>();
  private suspects: QuarantineState['suspects'] = [];
  private seenChange: string | undefined;
  private suspectCrashes = new Map<string, number>();
  private repliedAtMs = -Infinity;
  private activeNodes = 1;

  /** Whether a request with one of these parts must not reach targets. */
  blocks(service: string, parts: readonly string[]): boolean {
    if (this.entries.size === 0) return false;
    const blocked = parts
      .map(part => ({service, part}))
      .filter(part => this.entries.has(partKey(part)));
    for (const part of blocked) this.refused.set(partKey(part), part);
    return blocked.length > 0;
  }

  /**
   * Whether a request with these parts may crash the next target, after it was at one
   * that crashed.
   */
  isInDoubt(service: string, parts: readonly string[], nowMs: number): boolean {
    return parts.some(part => {
      const crashes = this.suspectCrashes.get(partKey({service, part})) ?? 0;
      const served = this.served.get(service)?.find(part, nowMs);
      return served === undefined || crashes >= DOUBT_CRASHES;
    });
  }

  /** Notes that a target served a request with these parts and went on. */
  noteServed(service: string, parts: readonly string[], nowMs: number): void {
    const served = this.servedBy(service);
    for (const part of parts) served.note(part, nowMs);
    if (this.unserved.size === 0) return;
    const cleared = parts.filter(part =>
      this.unserved.delete(partKey({service, part}))
    );
    if (cleared.length > 0) this.changed$.next();
  }

  /** Notes a crash of a target. */
  noteCrash(crash: ObservedCrash): void {
    this.crashes.push({...crash, isAcknowledged: false});
    if (this.crashes.length > MAX_CRASHES) this.crashes.shift();
    const {service} = crash;
    for (const part of crash.parts) this.unserved.add(partKey({service, part}));
    this.changed$.next();
  }

  /** See `QUARANTINE_STATE`. */
  get lastChange(): string | undefined {
    return this.seenChange;
  }

  /** All parts in quarantine, and the suspects that the leader listed. */
  list(nowMs: number): QuarantineState {
    const parts = [...this.entries.values()].map(entry => toPart(entry, nowMs));
    return {parts, suspects: this.suspects};
  }

  /** Applies a change that the leader has made. */
  applyChange(
    {kind, service, part}: QuarantineChange,
    nowMs: number,
    lastChange?: string
  ): void {
    this.seenChange = lastChange;
    const key = partKey({service, part});
    if (kind === 'lift') this.drop(key);
    else
      this.put({
        service,
        part,
        cause: 'operator',
        crashes: 0,
        sinceMs: nowMs,
        isAcknowledged: true,
      });
  }

  /** The state to restore after a loss of all processes. */
  evidence(nowMs: number): QuarantineEvidence {
    const crashes = this.crashes.map(crash => toReport(crash, nowMs));
    const suspects = new Map(
      crashes.flatMap(({service, parts}) =>
        parts.map(part => [partKey({service, part}), {service, part}])
      )
    );
    const served = this.servedOf([...suspects.values()], nowMs);
    return {parts: this.list(nowMs).parts, crashes, served};
  }

  /** Takes what this node knew before it started; ages are those at `savedAtMs`. */
  restore(
    {parts, crashes, served}: QuarantineEvidence,
    savedAtMs: number,
    nowMs: number
  ): void {
    // Waits for a leader before deciding alone: it knows what other nodes served.
    this.repliedAtMs = nowMs;
    for (const {ageMs, ...part} of parts)
      this.put({...part, sinceMs: savedAtMs - ageMs, isAcknowledged: false});
    for (const {ageMs, ...crash} of crashes)
      this.noteCrash({...crash, atMs: savedAtMs - ageMs});
    for (const {service, part, ageMs, count} of served)
      this.servedBy(service).put({part, atMs: savedAtMs - ageMs, count});
  }

  /** The part of a report to the leader; undefined if there is nothing to say. */
  takeReport(nowMs: number): QuarantineReport | undefined {
    this.crashes = this.crashes.filter(
      ({atMs}) => nowMs - atMs <= KEEP_CRASHES_MS
    );
    if (this.crashes.length === 0) this.unserved.clear();
    if (this.isLeaderless(nowMs)) this.decideAlone(nowMs);
    const crashes = this.crashes
      .filter(({isAcknowledged}) => !isAcknowledged)
      .map(crash => toReport(crash, nowMs));
    const held = [...this.entries.values()]
      .filter(({isAcknowledged}) => !isAcknowledged)
      .map(entry => toPart(entry, nowMs));
    const served = this.servedOf(this.suspects, nowMs);
    const refused = [...this.refused.values()];
    this.refused.clear();
    const size = crashes.length + held.length + served.length + refused.length;
    if (size === 0) return undefined;
    return {
      ...(crashes.length === 0 ? {} : {crashes}),
      ...(held.length === 0 ? {} : {held}),
      ...(served.length === 0 ? {} : {served: [...served]}),
      ...(refused.length === 0 ? {} : {refused}),
    };
  }

  /** Takes the leader's reply to a report. */
  applyReply(
    state: QuarantineState | undefined,
    report: QuarantineReport | undefined,
    {isNewLeader, activeNodes}: {isNewLeader: boolean; activeNodes: number},
    nowMs: number
  ): void {
    // A leader of an older version decides nothing.
    if (state === undefined) return;
    this.repliedAtMs = nowMs;
    this.activeNodes = activeNodes;
    const reported = new Set(report?.crashes?.map(({boot}) => boot));
    for (const crash of this.crashes)
      crash.isAcknowledged =
        reported.has(crash.boot) || (crash.isAcknowledged && !isNewLeader);
    const heldKeys = new Set(report?.held?.map(partKey));
    const listed = new Map(state.parts.map(part => [partKey(part), part]));
    for (const [key, entry] of this.entries) {
      if (listed.has(key)) continue;
      // The leader had it and dropped it, unless it is new and was not told.
      const isDropped =
        heldKeys.has(key) || (entry.isAcknowledged && !isNewLeader);
      if (isDropped) this.drop(key);
      else this.put({...entry, isAcknowledged: false});
    }
    for (const {ageMs, ...part} of listed.values())
      this.put({...part, sinceMs: nowMs - ageMs, isAcknowledged: true});
    this.suspects = state.suspects;
    this.seenChange = state.lastChange;
    this.suspectCrashes = new Map(
      state.suspects.map(suspect => [partKey(suspect), suspect.crashes])
    );
  }

  private put(entry: Entry): void {
    const key = partKey(entry);
    const isNew = !this.entries.has(key);
    this.entries.set(key, entry);
    if (!isNew) return;
    this.began$.next(entry);
    this.changed$.next();
  }

  /** Ends a quarantine; what was seen before it is no evidence any more. */
  private drop(key: string): void {
    const entry = this.entries.get(key);
    this.entries.delete(key);
    if (entry === undefined) return;
    this.crashes = this.crashes.map(crash =>
      crash.service === entry.service
        ? {...crash, parts: crash.parts.filter(part => part !== entry.part)}
        : crash
    );
    this.changed$.next();
  }

  private servedBy(service: string): ServedParts {
    const served = this.served.get(service) ?? new ServedParts();
    this.served.set(service, served);
    return served;
  }

  private servedOf(
    parts: readonly ServicePart[],
    nowMs: number
  ): readonly ServedReport[] {
    return parts.flatMap(({service, part}) => {
      const served = this.served.get(service)?.find(part, nowMs);
      if (served === undefined) return [];
      const {atMs, count} = served;
      return [{service, part, ageMs: nowMs - atMs, count}];
    });
  }

  private isLeaderless(nowMs: number): boolean {
    const periodMs = reportPeriodMs(this.activeNodes);
    const limitMs = LEADERLESS_MS + LEADERLESS_PERIODS * periodMs;
    return nowMs - this.repliedAtMs > limitMs;
  }

  private decideAlone(nowMs: number): void {
    for (const service of new Set(this.crashes.map(crash => crash.service))) {
      const evidence = new CrashAttribution();
      for (const crash of this.crashes)
        if (crash.service === service) evidence.addCrash(crash);
      for (const {part} of evidence.suspects()) {
        const served = this.served.get(service)?.find(part, nowMs);
        if (served !== undefined) evidence.noteServed(served);
        if (this.entries.has(partKey({service, part}))) evidence.explain(part);
      }
      for (const {part, crashes} of evidence.findCulprits(
        nowMs,
        MORE_CRASHES_ALONE
      )) {
        if (this.entries.has(partKey({service, part}))) continue;
        this.put({
          service,
          part,
          cause: 'crashes',
          crashes,
          sinceMs: nowMs,
          isAcknowledged: false,
        });
      }
    }
  }
}

function toPart(
  {service, part, cause, crashes, sinceMs}: Entry,
  nowMs: number
): QuarantinedPart {
  const ageMs = Math.max(0, nowMs - sinceMs);
  return {service, part, cause, crashes, ageMs};
}

function toReport(
  {service, boot, atMs, parts}: ObservedCrash,
  nowMs: number
): CrashReport {
  return {service, boot, ageMs: nowMs - atMs, parts: [...parts]};
}
