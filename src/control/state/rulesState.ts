/**
 * The accepted rule files. A submission is a compare-and-set on the revision
 * number and its result is recorded. A submission that is repeated after a lost
 * reply gets the result of the first and never causes a second change.
 */

import type {SubmitResult} from '../../core/operatorMessages';
import type {SubmitCommand} from './command';

interface AcceptedFile {
  readonly digest: string;
  readonly submittedBy: string;
}

/** Accepted submissions that are kept to recognize repeated ones. */
const MAX_HISTORY_LENGTH = 20_000;

/** The replicated state of the rules, as stored in snapshots. */
export interface RulesSnapshot {
  readonly revision: number;
  readonly text: string;
  readonly history: readonly (readonly [number, AcceptedFile])[];
}

/** Applies submissions in log order. */
export class RulesState {
  private history = new Map<number, AcceptedFile>();
  revision = 0;
  text = '';

  apply(command: SubmitCommand): SubmitResult {
    const {revision} = command;
    if (this.isNextRevision(revision)) return this.accept(command);
    const current = this.revision;
    if (revision > current) return {kind: 'gap', revision, current};
    const accepted = this.history.get(revision);
    if (accepted === undefined) return {kind: 'superseded', revision, current};
    if (accepted.digest !== command.digest) {
      return {
        kind: 'conflict',
        revision,
        current,
        winner: accepted.submittedBy,
      };
    }
    if (revision < current) return {kind: 'superseded', revision, current};
    return {kind: 'accepted', revision, resent: true};
  }

  snapshot(): RulesSnapshot {
    return {
      revision: this.revision,
      text: this.text,
      history: [...this.history],
    };
  }

  restore(snapshot: RulesSnapshot): void {
    this.revision = snapshot.revision;
    this.text = snapshot.text;
    this.history = new Map(snapshot.history);
  }

  /**
   * The first file may have any revision number. After control has lost all its
   * disks, processes still hold the last revision and reject lower ones: files
   * numbered from 1 again would be accepted here but never applied there.
   */
  private isNextRevision(revision: number): boolean {
    return this.revision === 0 || revision === this.revision + 1;
  }

  private accept(command: SubmitCommand): SubmitResult {
    const {revision, digest, submittedBy} = command;
    this.revision = revision;
    this.text = command.text;
    this.history.set(revision, {digest, submittedBy});
    this.history.delete(revision - MAX_HISTORY_LENGTH);
    return {kind: 'accepted', revision, resent: false};
  }
}
