/** Tracks which announcement each control instance has accepted. */

import type {Announcement, PollAnswer, PollRequest} from '../core/wire';

/** The announcement sent with one poll, whole or by number. */
export interface SentAnnouncement {
  /** Fields for the poll request. */
  readonly part: Pick<PollRequest, 'announcement' | 'unchanged'>;
  /** What the instance holds once it has accepted the poll. */
  readonly content: string;
  readonly seq: number;
}

/** State for one control instance. */
export class AnnouncementTracker {
  /** Last content that a reply confirmed; undefined when not known. */
  private confirmedContent: string | undefined;
  private instanceBootId: string | undefined;
  private highestRepliedSeq = 0;

  /** Returns the whole announcement, or its number if the rest is unchanged. */
  next(announcement: Announcement): SentAnnouncement {
    const {targetId, agentBootId, seq} = announcement;
    const content = comparableContent(announcement);
    const part =
      content === this.confirmedContent
        ? {unchanged: {targetId, agentBootId, seq}}
        : {announcement};
    return {part, content, seq};
  }

  /**
   * Handles the reply to a poll. Two polls can be in flight at once, as when a
   * target leaves. A reply to the earlier poll that arrives last confirms
   * nothing, since the instance holds the content of the later one.
   */
  handleReply(
    poll: SentAnnouncement,
    {bootId, announceAgain}: PollAnswer
  ): void {
    const hasRestarted =
      bootId !== this.instanceBootId && this.confirmedContent !== undefined;
    this.instanceBootId = bootId;
    const isLate = poll.seq < this.highestRepliedSeq;
    this.highestRepliedSeq = Math.max(this.highestRepliedSeq, poll.seq);
    // An instance that omits the field does not support `unchanged`.
    const isAccepted = announceAgain === false;
    if (!isAccepted || hasRestarted || isLate) return this.invalidate();
    this.confirmedContent = poll.content;
  }

  /** Forces a full announcement next time, as after a poll without a reply. */
  invalidate(): void {
    this.confirmedContent = undefined;
  }
}

/**
 * Content compared between polls. It leaves out the sequence number and the
 * age of the load report, which change even when nothing else does.
 */
function comparableContent(announcement: Announcement): string {
  return JSON.stringify({...announcement, seq: 0, loadAgeMs: 0});
}
