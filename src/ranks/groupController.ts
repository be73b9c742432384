/**
 * Runs the expert maps of one group in one life: reads what is in demand,
 * plans, and carries switches out. Only the leader runs one.
 */

import type {Logger} from '../core/logger';
import type {
  MapLists,
  OrderScope,
  RankCall,
  RankCodec,
} from '../ports/rankPort';
import type {EngineProfile} from '../site/site';
import {planSpread, spreadSkew} from '../policy/expertSpread';
import {ExpertDemand} from './expertDemand';
import {callRank} from './rankClient';
import type {SentOrder} from './rankSwitch';
import {RankSwitch} from './rankSwitch';

/**
 * Ranks whose counts are read. Requests choose by their content, so that a
 * quarter of them shows what is in demand as a whole.
 */
const SAMPLED_PART = 0.25;
const LEAST_SAMPLED = 3;
/** Between two readings. A shift shows in the second one after it. */
const READ_PERIOD_MS = 800;
/** Weight of older demand falls to a third in this time. */
const MEMORY_MS = 2_500;
/** Choices that must have been seen before a plan is made. */
const LEAST_WEIGHT = 2_000;
/** Reports are read this often while a switch goes on. */
const REPORT_PERIOD_MS = 150;
/** And this often otherwise, to find holds that came late. */
const IDLE_REPORT_PERIOD_MS = 2_000;
/** Fall of the mean skew of the sets that a switch must bring. */
const LEAST_GAIN = 0.08;
/** The same for one copy of an expert; see `planSpread`. */
const GAIN_PER_COPY = 0.01;
/** A plan for one set copies no more than this part of all places. */
const MOST_COPIED_PART = 0.3;

/** One rank of the group. */
export interface GroupRank {
  readonly id: string;
  /** HOST:PORT */
  readonly address: string;
}

/** What the controller of a group needs. */
export interface GroupParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly GroupRank[];
  readonly codec: RankCodec;
  readonly logger: Logger;
}

/** Versions of one orderer are apart from those of all others. */
const VERSIONS_PER_FENCE = 100_000;

/** One group in one epoch, under one leader. */
export class GroupController {
  private readonly demand = new ExpertDemand(MEMORY_MS);
  private readonly machine: RankSwitch;
  private lastReadMs = -Infinity;
  private lastReportsMs = -Infinity;
  private nextVersionSeen = '';
  private isPlanning = false;

  constructor(
    private readonly parts: GroupParts,
    nowMs: number
  ) {
    const {ranks, engine, scope} = parts;
    this.machine = new RankSwitch(
      ranks.length,
      dealtInTurn(engine, ranks.length),
      scope.fence * VERSIONS_PER_FENCE + 1,
      nowMs
    );
  }

  /** Whether another orderer took over. */
  get isFenced(): boolean {
    return this.machine.isFenced;
  }

  /** Regular work, every few tens of milliseconds. */
  tick(nowMs: number): void {
    this.send(this.machine.step({kind: 'tick'}, nowMs));
    const {kind} = this.machine.state;
    const isBusy = kind !== 'idle';
    const periodMs = isBusy ? REPORT_PERIOD_MS : IDLE_REPORT_PERIOD_MS;
    if (nowMs - this.lastReportsMs >= periodMs) {
      this.lastReportsMs = nowMs;
      this.readReports();
    }
    if (nowMs - this.lastReadMs < READ_PERIOD_MS) return;
    this.lastReadMs = nowMs;
    void this.readAndPlan();
  }

  private async readAndPlan(): Promise<void> {
    const {ranks} = this.parts;
    const sampled = Math.max(
      LEAST_SAMPLED,
      Math.ceil(ranks.length * SAMPLED_PART)
    );
    const step = Math.max(1, Math.floor(ranks.length / sampled));
    const chosen = ranks.filter((_, rank) => rank % step === 0);
    await Promise.all(chosen.slice(0, sampled).map(rank => this.read(rank)));
    await this.plan();
  }

  private async read({id, address}: GroupRank): Promise<void> {
    const {codec, logger, scope} = this.parts;
    const answer = await callRank(address, codec.countsCall());
    const counts =
      answer?.status === OK ? codec.readCounts(answer.text) : undefined;
    if (counts === undefined || counts.epoch !== scope.epoch) {
      logger.debug({event: 'ranks.unread', id}, 'counts not read');
      return;
    }
    this.demand.note(id, counts, performance.now());
  }

  /** Plans set by set, with a pause between them: a large group takes long. */
  private async plan(): Promise<void> {
    if (this.machine.state.kind !== 'idle' || this.isPlanning) return;
    if (this.demand.weight < LEAST_WEIGHT) return;
    this.isPlanning = true;
    const {engine} = this.parts;
    const lists: MapLists[number][] = [];
    let before = 0;
    let after = 0;
    let copies = 0;
    for (let set = 0; set < engine.expertSets; set++) {
      const popularity = this.demand.ofSet(set, engine.experts);
      const current = this.machine.lists[set] ?? [];
      const plan = planSpread(current, popularity, {
        places: engine.placesPerRank,
        newPerRank: engine.sparePlaces,
        minGainPerCopy: GAIN_PER_COPY,
        maxCopies: Math.ceil(
          current.length * engine.placesPerRank * MOST_COPIED_PART
        ),
      });
      lists.push(plan.lists);
      before += plan.skewBefore / engine.expertSets;
      after += plan.skewAfter / engine.expertSets;
      copies += plan.copies;
      await new Promise(resolve => setImmediate(resolve));
    }
    this.isPlanning = false;
    if (before - after < LEAST_GAIN) return;
    this.parts.logger.info(
      {event: 'map.planned', group: this.parts.name, before, after, copies},
      'switching expert maps'
    );
    this.send(this.machine.begin(lists, performance.now()));
  }

  private readReports(): void {
    const {ranks, codec} = this.parts;
    ranks.forEach(({address}, rank) => {
      const askedAtMs = performance.now();
      void callRank(address, codec.reportCall()).then(answer => {
        const report =
          answer?.status === OK ? codec.readReport(answer.text) : undefined;
        if (report === undefined) return;
        const event = {kind: 'report', rank, report, askedAtMs} as const;
        this.send(this.machine.step(event, performance.now()));
      });
    });
  }

  private send(orders: readonly SentOrder[]): void {
    this.logPhase();
    for (const sent of orders) void this.sendOne(sent);
  }

  private async sendOne({rank, order}: SentOrder): Promise<void> {
    const {ranks, codec, scope, logger, name} = this.parts;
    const call: RankCall = codec.orderCall(order, scope);
    const result = await callRank(ranks[rank]?.address ?? '', call);
    const answer =
      result === undefined ? 'unknown' : codec.readOrderStatus(result.status);
    if (answer !== 'done') {
      const {kind} = order;
      const detail = result?.text;
      logger.info(
        {event: 'map.order', group: name, rank, kind, answer, detail},
        'order not taken'
      );
    }
    const event = {kind: 'answer', rank, order, answer} as const;
    this.send(this.machine.step(event, performance.now()));
  }

  private logPhase(): void {
    const {state} = this.machine;
    const pass = 'pass' in state ? state.pass : undefined;
    const version = 'version' in state ? state.version : undefined;
    const text = `${state.kind} ${version} ${pass}`;
    if (text === this.nextVersionSeen) return;
    this.nextVersionSeen = text;
    const {name, scope, logger} = this.parts;
    const skew = this.skew();
    logger.info(
      {event: 'map.phase', group: name, ...scope, phase: text, skew},
      state.kind
    );
  }

  /** Mean over the sets of the highest load over the mean. */
  private skew(): number {
    const {engine} = this.parts;
    const sets = this.machine.lists.map((lists, set) =>
      spreadSkew(lists, this.demand.ofSet(set, engine.experts))
    );
    return sets.reduce((sum, skew) => sum + skew, 0) / Math.max(1, sets.length);
  }
}

const OK = 200;

/** The map that a group starts with: experts dealt out to the ranks in turn. */
function dealtInTurn(engine: EngineProfile, ranks: number): MapLists {
  const lists = Array.from({length: ranks}, (_, rank) =>
    Array.from({length: engine.experts}, (_, expert) => expert).filter(
      expert => expert % ranks === rank
    )
  );
  return Array.from({length: engine.expertSets}, () => lists);
}
