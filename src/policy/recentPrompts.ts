/**
 * Estimates how many of the prompt tokens that an entry sent to a target are still
 * waiting for prefill. A target prefills one prompt after the other, and no report
 * is fast enough to show those that wait, but the entry knows its own.
 */

/** Pending tokens at a point in time; they decay exponentially from then on. */
export interface RecentPrompts {
  readonly tokens: number;
  readonly atMs: number;
}

/** State of a target to which no prompt was sent. */
export const NO_PROMPTS: RecentPrompts = {tokens: 0, atMs: 0};

/** Approximate time in which a target under load prefills a prompt. */
const HALF_LIFE_MS = 150;

/** Estimated tokens that still wait for prefill. */
export function pendingPromptTokens(
  recent: RecentPrompts,
  nowMs: number
): number {
  if (recent.tokens === 0) return 0;
  const ageMs = Math.max(0, nowMs - recent.atMs);
  return recent.tokens * Math.pow(0.5, ageMs / HALF_LIFE_MS);
}

/** Returns the state after one more prompt, sent now. */
export function addPrompt(
  recent: RecentPrompts,
  tokens: number,
  nowMs: number
): RecentPrompts {
  return {tokens: pendingPromptTokens(recent, nowMs) + tokens, atMs: nowMs};
}
