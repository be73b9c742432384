/**
 * Compares the proof that a process has current rules with the revisions that
 * were really committed. The model has voters that store, commit and lose
 * revisions, and poll replies that are late or lost.
 */

import {FreshnessProof} from '../../src/sync/freshness';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';
import {Timeline} from './timeline';

const VOTERS = ['control-1', 'control-2', 'control-3'];
const MAJORITY = 2;
const MAX_PROOF_AGE_MS = 2_500;
const POLL_MS = 250;
const RUN_MS = 20_000;
const MAX_STEPS = 20_000;

interface Voter {
  readonly id: string;
  revision: number;
  voting: boolean;
  up: boolean;
  /** Partitioned from the other voters, but reachable for the process. */
  isolated: boolean;
}

class FreshnessSimulation {
  private readonly random: SeededRandom;
  private readonly timeline: Timeline;
  private readonly voters: Voter[] = VOTERS.map(id => ({
    id,
    revision: 1,
    voting: true,
    up: true,
    isolated: false,
  }));
  /** Commit time of each revision; the index is the revision. */
  private readonly committedAtMs: number[] = [0, 0];
  private readonly proof = new FreshnessProof(VOTERS.length, MAX_PROOF_AGE_MS);
  private appliedRevision = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.timeline = new Timeline(this.random);
  }

  run(): void {
    this.applyRevision(1);
    for (const voter of this.voters) this.pollLoop(voter);
    for (let i = 0; i < 12; i++)
      this.timeline.within(0, RUN_MS, () => this.commitRevision());
    for (let i = 0; i < 5; i++)
      this.timeline.within(0, RUN_MS, () => this.isolate());
    for (let i = 0; i < 2; i++)
      this.timeline.within(0, RUN_MS, () => this.wipe());
    this.checkLoop();
    this.timeline.runAll(MAX_STEPS);
  }

  private pollLoop(voter: Voter): void {
    if (this.timeline.now > RUN_MS) return;
    const askedAtMs = this.timeline.now;
    const isLost = this.random.chance(0.2);
    if (!isLost) {
      // The instance reads its log some time after the process sent the poll.
      this.timeline.within(0, 400, () => this.replyToPoll(voter, askedAtMs));
    }
    this.timeline.within(POLL_MS - 50, POLL_MS + 50, () =>
      this.pollLoop(voter)
    );
  }

  private replyToPoll(voter: Voter, askedAtMs: number): void {
    if (!voter.up) {
      this.proof.addEvidence(voter.id, {kind: 'not running', askedAtMs});
      return;
    }
    const {revision, voting} = voter;
    this.timeline.within(0, 3_000, () => {
      if (revision > this.appliedRevision && this.random.chance(0.7))
        this.applyRevision(revision);
      this.proof.addEvidence(voter.id, {
        kind: 'answered',
        askedAtMs,
        voter: voting,
        voterCount: VOTERS.length,
        lastRevision: revision,
      });
    });
  }

  private applyRevision(revision: number): void {
    this.appliedRevision = revision;
    this.proof.setAppliedRevision(revision);
  }

  /** A revision is committed once a majority of voters stores it. */
  private commitRevision(): void {
    const available = this.voters.filter(
      one => one.up && one.voting && !one.isolated
    );
    if (available.length < MAJORITY) return;
    const next = this.committedAtMs.length;
    const holders =
      available.length > MAJORITY && this.random.chance(0.5)
        ? available.slice(1)
        : available;
    for (const voter of holders) voter.revision = next;
    this.committedAtMs.push(this.timeline.now);
  }

  private isolate(): void {
    const voter = this.random.pick(this.voters);
    voter.isolated = true;
    this.timeline.within(100, 6_000, () => {
      voter.isolated = false;
      if (voter.up && voter.voting)
        voter.revision = this.committedAtMs.length - 1;
    });
  }

  /** A voter that loses its disk must not vote before it has caught up. */
  private wipe(): void {
    if (this.voters.some(one => !one.voting || one.isolated)) return;
    const voter = this.random.pick(this.voters);
    voter.voting = false;
    voter.revision = 0;
    this.timeline.within(100, 3_000, () => {
      voter.revision = this.committedAtMs.length - 1;
      voter.voting = true;
    });
  }

  private checkLoop(): void {
    if (this.timeline.now > RUN_MS) return;
    this.checkProof();
    this.timeline.within(20, 120, () => this.checkLoop());
  }

  private checkProof(): void {
    const status = this.proof.evaluate(this.timeline.now);
    if (status.kind !== 'proven') return;
    const provenAtMs = this.timeline.now - status.ageMs;
    const newer = this.committedAtMs.findIndex(
      (at, revision) => revision > this.appliedRevision && at < provenAtMs
    );
    if (newer < 0) return;
    throw new Error(
      `revision ${this.appliedRevision} was proven current at ${provenAtMs} ms, but revision ${newer} was committed at ${this.committedAtMs[newer]} ms`
    );
  }
}

/** Checks that replaced rules are never proven current. */
export const FRESHNESS_MODEL: FuzzModel = {
  name: 'freshness',
  run(seed) {
    new FreshnessSimulation(seed).run();
  },
};
