/** What each control instance holds of this process's announcement. */

import type {Announcement, PollAnswer, PollRequest} from '../core/wire';

/** What one poll tells, and what its answer will show the instance to hold. */
export interface AnnouncedPoll {
  readonly part: Pick<PollRequest, 'announcement' | 'unchanged'>;
  readonly content: string;
  readonly seq: number;
}

/** One control instance. */
export class AnnouncedTo {
  /** Content of which an answer has shown that the instance took it in. */
  private held: string | undefined;
  private heldByBoot: string | undefined;
  private answeredSeq = 0;

  /** What to send with the next poll. */
  next(announcement: Announcement): AnnouncedPoll {
    const {targetId, agentBootId, seq} = announcement;
    const content = contentOf(announcement);
    const part =
      content === this.held
        ? {unchanged: {targetId, agentBootId, seq}}
        : {announcement};
    return {part, content, seq};
  }

  /**
   * Two polls can be on the way at once, as when a target leaves. An answer to
   * the earlier one that comes last shows nothing: the instance holds what the
   * later one said.
   */
  answered(poll: AnnouncedPoll, {bootId, announceAgain}: PollAnswer): void {
    const restarted = bootId !== this.heldByBoot && this.held !== undefined;
    this.heldByBoot = bootId;
    const isLate = poll.seq < this.answeredSeq;
    this.answeredSeq = Math.max(this.answeredSeq, poll.seq);
    // One that says nothing about it does not know the short form.
    const takenIn = announceAgain === false;
    if (!takenIn || restarted || isLate) return this.lost();
    this.held = poll.content;
  }

  /** The answer was lost: what arrived is not known. */
  lost(): void {
    this.held = undefined;
  }
}

/** All that matters to others; the age of a report grows by itself. */
function contentOf(announcement: Announcement): string {
  return JSON.stringify({...announcement, seq: 0, loadAgeMs: 0});
}
