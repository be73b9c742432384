/**
 * Decides what a caller gets of a stream that several targets carry one after
 * the other: every token once and in order, or an error. No I/O.
 */

import * as z from 'zod';
import {tokenIndex} from './chatRequest';
import {SseEvent, SseParser} from '../../core/sseParser';

const DONE = '[DONE]';

/** Why a target no longer carries the stream. */
export type LossCause =
  | 'connection lost'
  | 'ended early'
  | 'stalled'
  | 'token skipped'
  | 'target error'
  | 'event too large';

/** Why a stream cannot go on at all. */
export type CutCause =
  | LossCause
  | 'model version differs'
  | 'model version unknown'
  | 'answer differs'
  | 'tokens without ids'
  | 'no other target'
  | 'too many losses'
  | 'deadline passed';

/** What to do after some bytes of the stream. */
export type StreamNext =
  | {readonly kind: 'continue'}
  | {readonly kind: 'done'}
  | {readonly kind: 'lost'; readonly cause: LossCause}
  | {readonly kind: 'cut'; readonly cause: CutCause};

/** What some bytes of the stream come to. */
export interface StreamStep {
  /** For the caller. */
  readonly text: string;
  /** Tokens in the text. */
  readonly tokens: number;
  readonly next: StreamNext;
}

/** Where another target must go on. */
export interface ResumePoint {
  /** Tokens that the caller has. */
  readonly fromToken: number;
  readonly modelVersion: string;
  readonly cause: LossCause;
}

/** What to do after a loss. */
export type LossDecision =
  | {readonly kind: 'reopen'; readonly point: ResumePoint}
  | {readonly kind: 'cut'; readonly cause: CutCause};

/** Bounds and start of a stream. */
export interface StreamLimits {
  /** Tokens that the caller already has; 0 for a new stream. */
  readonly fromToken: number;
  /** Version that those came from. */
  readonly modelVersion?: string;
  /** Losses without a new token in between that end the stream. */
  readonly maxLosses: number;
  readonly maxEventChars: number;
}

const CHUNK = z.looseObject({
  system_fingerprint: z.string().nullish(),
  usage: z.unknown().optional(),
  choices: z
    .array(
      z.looseObject({
        finish_reason: z.string().nullish(),
        delta: z.looseObject({content: z.string().nullish()}).nullish(),
      })
    )
    .nullish(),
});

type Chunk = z.infer<typeof CHUNK>;

const CONTINUE: StreamNext = {kind: 'continue'};

/** One stream towards one caller. */
export class StreamMachine {
  private parser = new SseParser();
  private nextToken: number;
  private modelVersion: string | undefined;
  private claimedVersion: string | undefined;
  private identified = false;
  /** Highest token seen from the current target. */
  private lastSeen: number | undefined;
  private losses = 0;
  private upstreams = 0;
  private hasUntracked = false;
  private hasUsage = false;
  private hasFinishReason = false;
  private lastTokenData: string | undefined;

  constructor(private readonly limits: StreamLimits) {
    this.nextToken = limits.fromToken;
    this.modelVersion = limits.modelVersion;
  }

  /** Tokens that the caller has. */
  get delivered(): number {
    return this.nextToken;
  }

  /** Another target carries the stream from here; its version as announced. */
  opened(claimedVersion: string | undefined): void {
    this.parser = new SseParser();
    this.claimedVersion = claimedVersion;
    this.identified = false;
    this.lastSeen = undefined;
    this.upstreams++;
  }

  /** Takes bytes of the current target. */
  chunk(bytes: Buffer): StreamStep {
    let text = '';
    const before = this.nextToken;
    let next = CONTINUE;
    for (const event of this.parser.push(bytes)) {
      const taken = this.take(event);
      if (taken === 'drop') continue;
      if (taken === 'deliver' || taken.kind === 'done') text += event.raw;
      if (taken === 'deliver') continue;
      next = taken;
      break;
    }
    if (
      next === CONTINUE &&
      this.parser.pendingChars > this.limits.maxEventChars
    )
      next = {kind: 'lost', cause: 'event too large'};
    const tokens = this.nextToken - before;
    if (tokens > 0) this.losses = 0;
    return {text, tokens, next};
  }

  /** The current target is gone: whether another one may go on. */
  lost(cause: LossCause): LossDecision {
    this.losses++;
    if (this.hasUntracked) return {kind: 'cut', cause: 'tokens without ids'};
    if (this.losses > this.limits.maxLosses)
      return {kind: 'cut', cause: 'too many losses'};
    const modelVersion = this.modelVersion ?? this.claimedVersion;
    if (modelVersion === undefined)
      return {kind: 'cut', cause: 'model version unknown'};
    const point = {fromToken: this.nextToken, modelVersion, cause};
    return {kind: 'reopen', point};
  }

  private take(event: SseEvent): 'deliver' | 'drop' | StreamNext {
    if (event.data === DONE) return this.finish();
    if (event.event === 'error') return {kind: 'lost', cause: 'target error'};
    if (event.data === '') return event.id === undefined ? 'deliver' : 'drop';
    const index = event.id === undefined ? undefined : tokenIndex(event.id);
    if (index === undefined) return this.takeUntracked(event);
    const mismatch = this.identified ? undefined : this.identifyToken(event);
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    this.lastSeen = Math.max(index, this.lastSeen ?? 0);
    if (index < this.nextToken) return 'drop';
    if (index > this.nextToken) return {kind: 'lost', cause: 'token skipped'};
    this.nextToken++;
    this.lastTokenData = event.data;
    return 'deliver';
  }

  private identifyToken(event: SseEvent): CutCause | undefined {
    const stated = parseChunk(event.data)?.system_fingerprint;
    return this.identify(stated ?? this.claimedVersion);
  }

  /**
   * The version stands in the stream itself: an announced one may be older
   * than a switch that came between the announcement and the answer.
   */
  private identify(version: string | undefined): CutCause | undefined {
    this.identified = true;
    if (this.modelVersion === undefined) {
      this.modelVersion = version;
      return undefined;
    }
    if (version === undefined) return 'model version unknown';
    // Tokens of another version do not continue the text that the caller has.
    return version === this.modelVersion ? undefined : 'model version differs';
  }

  /** Events without a token id: a role at the start, the use at the end. */
  private takeUntracked(event: SseEvent): 'deliver' | 'drop' | StreamNext {
    if (this.hasUntracked) return 'deliver';
    const chunk = parseChunk(event.data);
    const opening = this.upstreams === 1 && this.limits.fromToken === 0;
    if (chunk === undefined || chunk.choices?.some(c => c.delta?.content)) {
      // Without ids it cannot be told which of these the caller has.
      if (!opening) return {kind: 'cut', cause: 'tokens without ids'};
      this.hasUntracked = true;
      return 'deliver';
    }
    const stated = chunk.system_fingerprint;
    const mismatch =
      stated && !this.identified ? this.identify(stated) : undefined;
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    return this.takeNote(chunk) || opening ? 'deliver' : 'drop';
  }

  /** Whether the caller is still owed this note on the end of the answer. */
  private takeNote(chunk: Chunk): boolean {
    const finishes = finishOf(chunk) === 'told' && !this.hasFinishReason;
    const counts = Boolean(chunk.usage) && !this.hasUsage;
    this.hasFinishReason ||= finishes;
    this.hasUsage ||= counts;
    return finishes || counts;
  }

  private finish(): StreamNext {
    const mismatch = this.identified
      ? undefined
      : this.identify(this.claimedVersion);
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    // A target that starts anew and ends before the point that the caller has
    // reached gave another answer; its end would pass for the end of ours.
    if (this.lastSeen !== undefined && this.lastSeen + 1 < this.nextToken)
      return {kind: 'cut', cause: 'answer differs'};
    if (!this.mayEnd()) return {kind: 'lost', cause: 'ended early'};
    return {kind: 'done'};
  }

  /**
   * A target that shuts down may end a stream in good form though tokens are
   * missing; the last token then carries no reason for having finished.
   */
  private mayEnd(): boolean {
    if (this.hasFinishReason || this.hasUntracked) return true;
    if (this.lastTokenData !== undefined)
      return finishOf(parseChunk(this.lastTokenData)) !== 'open';
    return this.limits.fromToken > 0;
  }
}

/** Whether a chunk tells that its answer has finished. */
function finishOf(chunk: Chunk | undefined): 'told' | 'open' | 'not told' {
  const reasons = chunk?.choices?.map(choice => choice.finish_reason) ?? [];
  if (reasons.some(reason => typeof reason === 'string')) return 'told';
  return reasons.includes(null) ? 'open' : 'not told';
}

function parseChunk(data: string): Chunk | undefined {
  try {
    const parsed = CHUNK.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
