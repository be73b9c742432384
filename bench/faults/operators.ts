/** Operators that submit rule files, and record which were accepted. */

import {setTimeout as delay} from 'node:timers/promises';
import type {ControlClient} from '../../src/cli/controlClient';
import {rulesText} from '../deployment/rulesText';
import type {FaultEvent} from './history';

const RETRY_MS = 100;
const GIVE_UP_MS = 30_000;

/** Submissions go in order: a number is settled before the next is taken. */
export class Operators {
  revision = 0;
  zonesOut: readonly string[] = [];
  private last: Promise<void> = Promise.resolve();

  constructor(
    private readonly client: ControlClient,
    private readonly record: (event: FaultEvent) => void
  ) {}

  /** One operator; resends after a lost answer, as the operators' page says. */
  submit(zonesOut: readonly string[] = this.zonesOut): Promise<void> {
    return this.inTurn(async () => {
      await this.settle(++this.revision, zonesOut, 'Aoife');
      this.zonesOut = zonesOut;
    });
  }

  /** Two operators with different files under one number. */
  race(): Promise<void> {
    return this.inTurn(async () => {
      const revision = ++this.revision;
      await Promise.all(
        ['Aoife', 'Bram'].map(who => this.settle(revision, this.zonesOut, who))
      );
    });
  }

  private inTurn(work: () => Promise<void>): Promise<void> {
    this.last = this.last.then(work);
    return this.last;
  }

  private async settle(
    revision: number,
    zonesOut: readonly string[],
    askedBy: string
  ): Promise<void> {
    const text = rulesText({revision, zonesOut, askedBy});
    const sentAtMs = Date.now();
    while (Date.now() - sentAtMs < GIVE_UP_MS) {
      const answer = await this.client.submit(text).catch(() => undefined);
      if (answer === undefined) {
        await delay(RETRY_MS);
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
