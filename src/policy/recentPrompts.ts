/**
 * Prompt tokens that an entry has sent to a target a moment ago. A target takes
 * prompts in one after the other, and no report is quick enough to tell of the
 * ones that wait; the entry knows its own.
 */

/** Tokens as they stood at a time; they fade from then on. */
export interface RecentPrompts {
  readonly tokens: number;
  readonly atMs: number;
}

/** Nothing sent. */
export const NO_PROMPTS: RecentPrompts = {tokens: 0, atMs: 0};

/** About the time in which a target under load takes in a prompt. */
const HALF_LIFE_MS = 150;

/** Tokens that are likely still to be taken in. */
export function promptsLeft(recent: RecentPrompts, nowMs: number): number {
  if (recent.tokens === 0) return 0;
  const ageMs = Math.max(0, nowMs - recent.atMs);
  return recent.tokens * Math.pow(0.5, ageMs / HALF_LIFE_MS);
}

/** The same with one more prompt, sent now. */
export function withPrompt(
  recent: RecentPrompts,
  tokens: number,
  nowMs: number
): RecentPrompts {
  return {tokens: promptsLeft(recent, nowMs) + tokens, atMs: nowMs};
}
