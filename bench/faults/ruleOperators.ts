/** Operators that submit rule files and record which of them were accepted. */

import {setTimeout as delay} from 'node:timers/promises';
import type {ControlClient} from '../../src/cli/controlClient';
import {rulesText} from '../deployment/rulesText';
import type {FaultEvent} from './history';

const RETRY_INTERVAL_MS = 100;
const SUBMIT_TIMEOUT_MS = 30_000;

/** Submits revisions in order: the outcome of one is known before the next is sent. */
export class Operators {
  revision = 0;
  zonesOut: readonly string[] = [];
  private last: Promise<void> = Promise.resolve();

  constructor(
    private readonly client: ControlClient,
    private readonly record: (event: FaultEvent) => void
  ) {}

  /** One operator submits a revision, and resends it as documented if the response is lost. */
  submit(zonesOut: readonly string[] = this.zonesOut): Promise<void> {
    return this.enqueue(async () => {
      await this.submitUntilDecided(++this.revision, zonesOut, 'Aoife');
      this.zonesOut = zonesOut;
    });
  }

  /** Two operators submit different files with the same revision. */
  race(): Promise<void> {
    return this.enqueue(async () => {
      const revision = ++this.revision;
      await Promise.all(
        ['Aoife', 'Bram'].map(who =>
          this.submitUntilDecided(revision, this.zonesOut, who)
        )
      );
    });
  }

  private enqueue(work: () => Promise<void>): Promise<void> {
    this.last = this.last.then(work);
    return this.last;
  }

  private async submitUntilDecided(
    revision: number,
    zonesOut: readonly string[],
    askedBy: string
  ): Promise<void> {
    const text = rulesText({revision, zonesOut, askedBy});
    const sentAtMs = Date.now();
    while (Date.now() - sentAtMs < SUBMIT_TIMEOUT_MS) {
      const answer = await this.client.submit(text).catch(() => undefined);
      if (answer === undefined) {
        await delay(RETRY_INTERVAL_MS);
        continue;
      }
      if (answer.kind !== 'accepted') return;
      const atMs = Date.now();
      this.record({kind: 'accepted', sentAtMs, atMs, revision, text, zonesOut});
      return;
    }
    throw new Error(`revision ${revision} was not settled`);
  }
}
