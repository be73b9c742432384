/**
 * Recent rule files that processes may still hold. With them, the reply to a
 * poll contains only the lines that changed instead of the whole file.
 */

import type {RuleDiff} from '../core/wire';
import {RuleFileRevision, diffRules} from '../rules/ruleDiff';

/** A process that is more revisions behind than this gets the whole file. */
const MAX_KEPT_FILES = 64;

/** The newest rule files that this instance has applied, in memory only. */
export class RecentRules {
  private readonly texts = new Map<number, string>();
  /** Cached differences to `current`, by the revision they apply to. */
  private readonly diffs = new Map<number, RuleDiff>();
  private current: RuleFileRevision = {revision: 0, text: ''};

  /** Records the file that is applied now. */
  setCurrent(file: RuleFileRevision): void {
    if (file.revision === this.current.revision) return;
    this.current = file;
    this.texts.set(file.revision, file.text);
    this.diffs.clear();
    for (const revision of this.texts.keys()) {
      if (this.texts.size <= MAX_KEPT_FILES) break;
      this.texts.delete(revision);
    }
  }

  /**
   * The difference from a revision to the current file. Undefined when the
   * revision is no longer kept or the difference is not shorter than the file.
   */
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
