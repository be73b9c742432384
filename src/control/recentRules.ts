/**
 * Rule files that processes may still hold, so that a poll is answered with
 * the lines that changed and not with the whole file.
 */

import type {RuleDiff} from '../core/wire';
import {RevisedText, diffRules} from '../rules/ruleDiff';

/** A process that is further behind gets the whole file. */
const MAX_KEPT_FILES = 64;

/** The newest files that this instance has had in force, in memory only. */
export class RecentRules {
  private readonly texts = new Map<number, string>();
  /** Differences to `current`, by the revision they start from. */
  private readonly diffs = new Map<number, RuleDiff>();
  private current: RevisedText = {revision: 0, text: ''};

  /** Notes the file in force now. */
  note(file: RevisedText): void {
    if (file.revision === this.current.revision) return;
    this.current = file;
    this.texts.set(file.revision, file.text);
    this.diffs.clear();
    for (const revision of this.texts.keys()) {
      if (this.texts.size <= MAX_KEPT_FILES) break;
      this.texts.delete(revision);
    }
  }

  /** The way from a revision to the file in force, where it is the shorter. */
  diffFrom(revision: number): RuleDiff | undefined {
    const known = this.diffs.get(revision);
    if (known !== undefined) return known;
    const text = this.texts.get(revision);
    if (text === undefined) return undefined;
    const diff = diffRules({revision, text}, this.current);
    if (JSON.stringify(diff).length >= this.current.text.length)
      return undefined;
    this.diffs.set(revision, diff);
    return diff;
  }
}
