/**
 * The proof that rules are current, against what was really accepted: a model
 * of voters that hold, accept and lose revisions, and of polls that are late.
 */

import {FreshnessProof} from '../../src/sync/freshness';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';
import {Timeline} from './timeline';

const VOTERS = ['control-1', 'control-2', 'control-3'];
const MAJORITY = 2;
const BOUND_MS = 2_500;
const POLL_MS = 250;
const END_MS = 20_000;
const MAX_STEPS = 20_000;

interface Voter {
  readonly id: string;
  revision: number;
  voting: boolean;
  up: boolean;
  /** Cut off from the other voters, but not from the process. */
  isolated: boolean;
}

class FreshnessWorld {
  private readonly random: SeededRandom;
  private readonly time: Timeline;
  private readonly voters: Voter[] = VOTERS.map(id => ({
    id,
    revision: 1,
    voting: true,
    up: true,
    isolated: false,
  }));
  private readonly acceptedAt: number[] = [0, 0];
  private readonly proof = new FreshnessProof(VOTERS.length, BOUND_MS);
  private held = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.time = new Timeline(this.random);
  }

  run(): void {
    this.hold(1);
    for (const voter of this.voters) this.pollLoop(voter);
    for (let i = 0; i < 12; i++)
      this.time.within(0, END_MS, () => this.accept());
    for (let i = 0; i < 5; i++)
      this.time.within(0, END_MS, () => this.isolate());
    for (let i = 0; i < 2; i++) this.time.within(0, END_MS, () => this.wipe());
    this.judgeLoop();
    this.time.runAll(MAX_STEPS);
  }

  private pollLoop(voter: Voter): void {
    if (this.time.now > END_MS) return;
    const askedAtMs = this.time.now;
    const cut = this.random.chance(0.2);
    if (!cut) {
      // The instance looks at its log at some moment after it was asked.
      this.time.within(0, 400, () => this.answer(voter, askedAtMs));
    }
    this.time.within(POLL_MS - 50, POLL_MS + 50, () => this.pollLoop(voter));
  }

  private answer(voter: Voter, askedAtMs: number): void {
    if (!voter.up) {
      this.proof.add(voter.id, {kind: 'not running', askedAtMs});
      return;
    }
    const {revision, voting} = voter;
    this.time.within(0, 3_000, () => {
      if (revision > this.held && this.random.chance(0.7)) this.hold(revision);
      this.proof.add(voter.id, {
        kind: 'answered',
        askedAtMs,
        voter: voting,
        voterCount: VOTERS.length,
        lastRevision: revision,
      });
    });
  }

  private hold(revision: number): void {
    this.held = revision;
    this.proof.hold(revision);
  }

  /** A change is accepted once a majority of voters has it. */
  private accept(): void {
    const able = this.voters.filter(
      one => one.up && one.voting && !one.isolated
    );
    if (able.length < MAJORITY) return;
    const next = this.acceptedAt.length;
    const copies =
      able.length > MAJORITY && this.random.chance(0.5) ? able.slice(1) : able;
    for (const voter of copies) voter.revision = next;
    this.acceptedAt.push(this.time.now);
  }

  private isolate(): void {
    const voter = this.random.pick(this.voters);
    voter.isolated = true;
    this.time.within(100, 6_000, () => {
      voter.isolated = false;
      if (voter.up && voter.voting) voter.revision = this.acceptedAt.length - 1;
    });
  }

  /** Loses its disk: no vote until it holds all that was accepted. */
  private wipe(): void {
    if (this.voters.some(one => !one.voting || one.isolated)) return;
    const voter = this.random.pick(this.voters);
    voter.voting = false;
    voter.revision = 0;
    this.time.within(100, 3_000, () => {
      voter.revision = this.acceptedAt.length - 1;
      voter.voting = true;
    });
  }

  private judgeLoop(): void {
    if (this.time.now > END_MS) return;
    this.judge();
    this.time.within(20, 120, () => this.judgeLoop());
  }

  private judge(): void {
    const verdict = this.proof.judge(this.time.now);
    if (verdict.kind !== 'proven') return;
    const provenAtMs = this.time.now - verdict.ageMs;
    const newer = this.acceptedAt.findIndex(
      (at, revision) => revision > this.held && at < provenAtMs
    );
    if (newer < 0) return;
    throw new Error(
      `revision ${this.held} was proven current at ${provenAtMs} ms, but ${newer} was accepted at ${this.acceptedAt[newer]} ms`
    );
  }
}

/** A proof is never given for rules that had been replaced. */
export const FRESHNESS_MODEL: FuzzModel = {
  name: 'freshness',
  run(seed) {
    new FreshnessWorld(seed).run();
  },
};
