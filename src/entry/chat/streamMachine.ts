/**
 * Decides what a caller gets of a stream that several targets may produce one
 * after the other: every token once and in order, or an error. It does no I/O.
 */

import * as z from 'zod';
import {tokenIndex} from './chatRequest';
import {SseEvent, SseParser} from '../../core/sseParser';

const DONE = '[DONE]';

/** Why a target cannot continue the stream. */
export type LossCause =
  | 'connection lost'
  | 'ended early'
  | 'stalled'
  | 'token skipped'
  | 'target error'
  | 'event too large';

/** Why a stream cannot be resumed at any target. */
export type CutCause =
  | LossCause
  | 'model version differs'
  | 'model version unknown'
  | 'answer differs'
  | 'tokens without ids'
  | 'no other target'
  | 'too many losses'
  | 'deadline passed';

/** What to do after a chunk of bytes. */
export type StreamNext =
  | {readonly kind: 'continue'}
  | {readonly kind: 'done'}
  | {readonly kind: 'lost'; readonly cause: LossCause}
  | {readonly kind: 'cut'; readonly cause: CutCause};

/** The result of a chunk of bytes. */
export interface StreamStep {
  /** Text to send to the caller. */
  readonly text: string;
  /** Number of tokens in the text. */
  readonly tokens: number;
  readonly next: StreamNext;
}

/** Where another target must resume the stream. */
export interface ResumePoint {
  /** Number of tokens that the caller already has. */
  readonly fromToken: number;
  readonly modelVersion: string;
  readonly cause: LossCause;
}

/** What to do after a loss. */
export type LossDecision =
  | {readonly kind: 'reopen'; readonly point: ResumePoint}
  | {readonly kind: 'cut'; readonly cause: CutCause};

/** Start and limits of a stream. */
export interface StreamLimits {
  /** Number of tokens that the caller already has; 0 for a new stream. */
  readonly fromToken: number;
  /** Model version that produced them. */
  readonly modelVersion?: string;
  /** Consecutive losses without a new token that are tolerated. */
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

/** State of one stream to one caller. */
export class StreamMachine {
  private parser = new SseParser();
  private nextToken: number;
  private modelVersion: string | undefined;
  private announcedVersion: string | undefined;
  private versionChecked = false;
  /** Highest token index received from the current target. */
  private highestToken: number | undefined;
  private losses = 0;
  private sourceCount = 0;
  private hasTokensWithoutIds = false;
  private hasUsage = false;
  private hasFinishReason = false;
  private lastTokenData: string | undefined;

  constructor(private readonly limits: StreamLimits) {
    this.nextToken = limits.fromToken;
    this.modelVersion = limits.modelVersion;
  }

  /** Number of tokens that the caller has. */
  get delivered(): number {
    return this.nextToken;
  }

  /** Starts the stream of another target; the version is the announced one. */
  opened(announcedVersion: string | undefined): void {
    this.parser = new SseParser();
    this.announcedVersion = announcedVersion;
    this.versionChecked = false;
    this.highestToken = undefined;
    this.sourceCount++;
  }

  /** Handles bytes from the current target. */
  chunk(bytes: Buffer): StreamStep {
    let text = '';
    const before = this.nextToken;
    let next = CONTINUE;
    for (const event of this.parser.push(bytes)) {
      const result = this.handleEvent(event);
      if (result === 'drop') continue;
      if (result === 'deliver' || result.kind === 'done') text += event.raw;
      if (result === 'deliver') continue;
      next = result;
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

  /** Handles the loss of the current target: whether another one may resume. */
  lost(cause: LossCause): LossDecision {
    this.losses++;
    if (this.hasTokensWithoutIds)
      return {kind: 'cut', cause: 'tokens without ids'};
    if (this.losses > this.limits.maxLosses)
      return {kind: 'cut', cause: 'too many losses'};
    const modelVersion = this.modelVersion ?? this.announcedVersion;
    if (modelVersion === undefined)
      return {kind: 'cut', cause: 'model version unknown'};
    const point = {fromToken: this.nextToken, modelVersion, cause};
    return {kind: 'reopen', point};
  }

  private handleEvent(event: SseEvent): 'deliver' | 'drop' | StreamNext {
    if (event.data === DONE) return this.finish();
    if (event.event === 'error') return {kind: 'lost', cause: 'target error'};
    if (event.data === '') return event.id === undefined ? 'deliver' : 'drop';
    const index = event.id === undefined ? undefined : tokenIndex(event.id);
    if (index === undefined) return this.handleEventWithoutToken(event);
    const mismatch = this.versionChecked
      ? undefined
      : this.checkTokenVersion(event);
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    this.highestToken = Math.max(index, this.highestToken ?? 0);
    if (index < this.nextToken) return 'drop';
    if (index > this.nextToken) return {kind: 'lost', cause: 'token skipped'};
    this.nextToken++;
    this.lastTokenData = event.data;
    return 'deliver';
  }

  private checkTokenVersion(event: SseEvent): CutCause | undefined {
    const fingerprint = parseChunk(event.data)?.system_fingerprint;
    return this.checkVersion(fingerprint ?? this.announcedVersion);
  }

  /**
   * Compares a model version with that of the stream; the first one is adopted.
   * Callers pass the version in the stream where it states one: the announced
   * version is outdated if the target switched after its announcement.
   */
  private checkVersion(version: string | undefined): CutCause | undefined {
    this.versionChecked = true;
    if (this.modelVersion === undefined) {
      this.modelVersion = version;
      return undefined;
    }
    if (version === undefined) return 'model version unknown';
    // Tokens of another version would not fit the text that the caller has.
    return version === this.modelVersion ? undefined : 'model version differs';
  }

  /** Events without a token id: a role at the start, the usage at the end. */
  private handleEventWithoutToken(
    event: SseEvent
  ): 'deliver' | 'drop' | StreamNext {
    if (this.hasTokensWithoutIds) return 'deliver';
    const chunk = parseChunk(event.data);
    const isStreamStart = this.sourceCount === 1 && this.limits.fromToken === 0;
    if (chunk === undefined || chunk.choices?.some(c => c.delta?.content)) {
      // Without ids it is unknown which of these tokens the caller already has.
      if (!isStreamStart) return {kind: 'cut', cause: 'tokens without ids'};
      this.hasTokensWithoutIds = true;
      return 'deliver';
    }
    const fingerprint = chunk.system_fingerprint;
    const mismatch =
      fingerprint && !this.versionChecked
        ? this.checkVersion(fingerprint)
        : undefined;
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    return this.recordEndMetadata(chunk) || isStreamStart ? 'deliver' : 'drop';
  }

  /**
   * Records a finish reason or usage; returns whether it is new to the caller.
   */
  private recordEndMetadata(chunk: Chunk): boolean {
    const isNewFinishReason =
      finishStateOf(chunk) === 'finished' && !this.hasFinishReason;
    const isNewUsage = Boolean(chunk.usage) && !this.hasUsage;
    this.hasFinishReason ||= isNewFinishReason;
    this.hasUsage ||= isNewUsage;
    return isNewFinishReason || isNewUsage;
  }

  private finish(): StreamNext {
    const mismatch = this.versionChecked
      ? undefined
      : this.checkVersion(this.announcedVersion);
    if (mismatch !== undefined) return {kind: 'cut', cause: mismatch};
    // The target restarted from the first token and ended before the resume
    // point, so its text differs, and its end is not the end of this stream.
    if (
      this.highestToken !== undefined &&
      this.highestToken + 1 < this.nextToken
    )
      return {kind: 'cut', cause: 'answer differs'};
    if (!this.isComplete()) return {kind: 'lost', cause: 'ended early'};
    return {kind: 'done'};
  }

  /**
   * A target that shuts down may send a well-formed end although tokens are
   * missing. The finish reason of the last token is then null.
   */
  private isComplete(): boolean {
    if (this.hasFinishReason || this.hasTokensWithoutIds) return true;
    if (this.lastTokenData !== undefined)
      return finishStateOf(parseChunk(this.lastTokenData)) !== 'open';
    return this.limits.fromToken > 0;
  }
}

/**
 * Whether a chunk has a finish reason, has it as null, or does not state it.
 */
function finishStateOf(
  chunk: Chunk | undefined
): 'finished' | 'open' | 'unstated' {
  const reasons = chunk?.choices?.map(choice => choice.finish_reason) ?? [];
  if (reasons.some(reason => typeof reason === 'string')) return 'finished';
  return reasons.includes(null) ? 'open' : 'unstated';
}

function parseChunk(data: string): Chunk | undefined {
  try {
    const parsed = CHUNK.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
