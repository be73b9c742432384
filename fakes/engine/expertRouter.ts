/** Deterministic routing of tokens to experts, with a skewed popularity. */

import {createHash} from 'node:crypto';

const POPULARITY_SKEW = 3;

/** Counts tokens by expert since boot. */
export class ExpertRouter {
  readonly counts: number[];

  constructor(private readonly experts: number) {
    this.counts = new Array<number>(experts).fill(0);
  }

  route(token: string): void {
    if (this.experts === 0) return;
    const hash = createHash('sha256').update(token).digest().readUInt32BE(0);
    const share = (hash / 2 ** 32) ** POPULARITY_SKEW;
    const expert = Math.floor(share * this.experts);
    this.counts[expert] = (this.counts[expert] ?? 0) + 1;
  }
}

/** The token at an index, which depends only on prompt digest and model version. */
export function tokenAt(
  promptDigest: string,
  modelVersion: string,
  index: number
): string {
  const hash = createHash('sha256')
    .update(`${promptDigest}\0${modelVersion}\0${index}`)
    .digest('hex');
  return ` ${hash.slice(0, 6)}`;
}
