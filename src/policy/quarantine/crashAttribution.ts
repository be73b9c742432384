/**
 * Finds the part of prompts that crashes targets.
 *
 * With each crash go all requests that the target held, and each of them has several
 * parts. A part that crashes targets is in each of these crashes and is never served;
 * any other part is served sooner or later, by a target that goes on.
 */

import {sum} from '../../core/sum';

/** The end of one boot of a target, and the parts that may have caused it. */
export interface BootCrash {
  /** Unique for each boot of each target. */
  readonly boot: string;
  readonly atMs: number;
  readonly parts: readonly string[];
}

/** A part that was not served since the last crash that it may have caused. */
export interface SuspectPart {
  readonly part: string;
  /** Crashes that it may have caused, without those of one moment. */
  readonly crashes: number;
  readonly lastAtMs: number;
}

/** Service of requests with a part. */
export interface ServedPart {
  readonly part: string;
  /** Time of the last one. */
  readonly atMs: number;
  /** How many there were. */
  readonly count: number;
}

interface KnownCrash {
  readonly atMs: number;
  /** When the first report of it came. */
  readonly knownAtMs: number;
  readonly parts: Set<string>;
  /** Whether a part was found to have caused it. */
  isExplained: boolean;
}

/** Crashes that may have one cause. */
interface Moment {
  readonly atMs: number;
  /** How many there were, and how many of them the part may have caused. */
  readonly crashes: number;
  readonly suspectCrashes: number;
  /** Whether the part may have caused any. */
  readonly isSuspect: boolean;
  /** Whether a part was found to have caused all of them that had this part. */
  readonly isExplained: boolean;
}

/** Crashes within this time may have one cause: a lost zone, rack or group. */
const SAME_CAUSE_MS = 500;
/** Crashes under one part from which it is the culprit. */
const MIN_CRASHES = 3;
/** The same for a part that was served before. */
const MIN_CRASHES_IF_SERVED = 4;
/** The same for a part that was in no more than `OTHERS_RATIO` of the crashes meanwhile. */
const MIN_CRASHES_IF_OTHERS = 5;
/** With a lower ratio, some of the crashes have another cause. */
const OTHERS_RATIO = 0.75;
/** Crashes that no other part explains. */
const MIN_UNEXPLAINED = 2;
/** Time for which a crash is evidence. */
const KEEP_MS = 600_000;
const MAX_CRASHES = 64;
const MAX_PARTS_OF_CRASH = 512;

/** Evidence of one service. */
export class CrashAttribution {
  private readonly crashes = new Map<string, KnownCrash>();
  private readonly served = new Map<string, ServedPart>();
  /** Parts that crash targets again after one crash. */
  private readonly confirmed = new Set<string>();

  /** Whether there is no evidence, old or new. */
  get isEmpty(): boolean {
    return this.crashes.size === 0 && this.confirmed.size === 0;
  }

  /** Adds what one node saw of a crash; others may see other requests. */
  addCrash({boot, atMs, parts}: BootCrash, nowMs = atMs): void {
    const known = this.crashes.get(boot) ?? {
      atMs,
      knownAtMs: nowMs,
      parts: new Set<string>(),
      isExplained: false,
    };
    for (const part of parts)
      if (known.parts.size < MAX_PARTS_OF_CRASH) known.parts.add(part);
    this.crashes.set(boot, known);
    const [oldest] = this.crashes.keys();
    if (this.crashes.size > MAX_CRASHES && oldest !== undefined)
      this.crashes.delete(oldest);
  }

  /** Notes that requests with a part were served. */
  noteServed(served: ServedPart): void {
    const known = this.served.get(served.part);
    this.served.set(served.part, {
      part: served.part,
      atMs: Math.max(served.atMs, known?.atMs ?? -Infinity),
      count: Math.max(served.count, known?.count ?? 0),
    });
  }

  /** Parts that may have caused crashes known at `untilMs`, the likeliest first. */
  suspects(untilMs = Infinity): readonly SuspectPart[] {
    const parts = new Set(
      [...this.crashes.values()].flatMap(({parts}) => [...parts])
    );
    return [...parts]
      .map(part => this.suspicionOf(part, untilMs))
      .filter(({crashes}) => crashes > 0)
      .sort((a, b) => this.compare(a, b));
  }

  /**
   * Parts that are found to crash targets. Crashes that were not known at `settledMs` do
   * not count yet: nodes may have served a part since and not said so. `moreCrashes` are
   * needed if only a part of the nodes is heard.
   */
  findCulprits(settledMs: number, moreCrashes = 0): readonly SuspectPart[] {
    const culprits: SuspectPart[] = [];
    for (;;) {
      const culprit = this.suspects(settledMs).find(suspect =>
        this.isCulprit(suspect, settledMs, moreCrashes)
      );
      if (culprit === undefined) return culprits;
      this.explain(culprit.part);
      culprits.push(culprit);
    }
  }

  /** Treats all crashes under this part, so far, as caused by it. */
  explain(part: string): void {
    this.confirmed.add(part);
    for (const crash of this.crashes.values())
      if (crash.parts.has(part)) crash.isExplained = true;
  }

  /** Drops the evidence against a part. */
  clearSuspicion(part: string): void {
    this.confirmed.delete(part);
    for (const {parts} of this.crashes.values()) parts.delete(part);
  }

  /** Evicts outdated evidence. */
  evict(nowMs: number): void {
    const oldestMs = nowMs - KEEP_MS;
    for (const [boot, {atMs}] of this.crashes)
      if (atMs < oldestMs) this.crashes.delete(boot);
    for (const [part, {atMs}] of this.served)
      if (atMs < oldestMs) this.served.delete(part);
  }

  private isCulprit(
    {part, crashes}: SuspectPart,
    settledMs: number,
    moreCrashes: number
  ): boolean {
    const moments = this.momentsOf(part, settledMs);
    const unexplained = moments.filter(
      ({isSuspect, isExplained}) => isSuspect && !isExplained
    ).length;
    if (this.confirmed.has(part)) return unexplained > 0;
    const required = this.requiredCrashes(part, moments);
    return crashes >= required + moreCrashes && unexplained >= MIN_UNEXPLAINED;
  }

  private requiredCrashes(part: string, moments: readonly Moment[]): number {
    const suspect = moments.map(({isSuspect}) => isSuspect);
    const first = suspect.indexOf(true);
    const meanwhile = moments.slice(first, suspect.lastIndexOf(true) + 1);
    const crashes = sum(meanwhile.map(moment => moment.crashes));
    const own = sum(meanwhile.map(moment => moment.suspectCrashes));
    if (own <= crashes * OTHERS_RATIO) return MIN_CRASHES_IF_OTHERS;
    return this.served.has(part) ? MIN_CRASHES_IF_SERVED : MIN_CRASHES;
  }

  /** The crashes that the part, or none, explains; those of one moment together. */
  private momentsOf(part: string, untilMs: number): readonly Moment[] {
    const servedAtMs = this.served.get(part)?.atMs ?? -Infinity;
    const crashes = [...this.crashes.values()]
      .filter(
        ({knownAtMs, parts, isExplained}) =>
          knownAtMs <= untilMs && (parts.has(part) || !isExplained)
      )
      .sort((a, b) => a.atMs - b.atMs);
    const groups: KnownCrash[][] = [];
    for (const crash of crashes) {
      const current = groups.at(-1);
      const startMs = current?.[0]?.atMs ?? -Infinity;
      if (crash.atMs - startMs < SAME_CAUSE_MS) current?.push(crash);
      else groups.push([crash]);
    }
    return groups.map(group => {
      const own = group.filter(
        ({atMs, parts}) => parts.has(part) && atMs > servedAtMs
      );
      return {
        atMs: group[0]?.atMs ?? 0,
        crashes: group.length,
        suspectCrashes: own.length,
        isSuspect: own.length > 0,
        isExplained: own.every(({isExplained}) => isExplained),
      };
    });
  }

  private suspicionOf(part: string, untilMs: number): SuspectPart {
    const suspect = this.momentsOf(part, untilMs).filter(
      ({isSuspect}) => isSuspect
    );
    const lastAtMs = suspect.at(-1)?.atMs ?? -Infinity;
    return {part, crashes: suspect.length, lastAtMs};
  }

  private compare(a: SuspectPart, b: SuspectPart): number {
    const servedCount = ({part}: SuspectPart) =>
      this.served.get(part)?.count ?? 0;
    // A common part may be in the crashes of several culprits.
    const isServed = (suspect: SuspectPart) => Number(servedCount(suspect) > 0);
    return (
      isServed(a) - isServed(b) ||
      b.crashes - a.crashes ||
      servedCount(a) - servedCount(b) ||
      a.part.localeCompare(b.part)
    );
  }
}
