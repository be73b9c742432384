/** Logs the limits of services, which are renewed all the time, as they change. */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import {sum} from '../core/sum';
import type {ServiceLoad} from './messages';
import {inFlightOf} from './nodeReports';
import type {ServiceConcurrency} from './serviceGroups';

/** Change of the concurrency of a service that is logged, in parts of it. */
const LOGGED_PART = 0.1;

interface Logged {
  readonly total: number;
  readonly reasons: string;
}

/** Limits by service, as they were logged last. */
export class LimitLog {
  private readonly logged = new Map<string, Logged>();

  constructor(private readonly logger: Logger) {}

  note(
    service: string,
    {total, groups}: ServiceConcurrency,
    loads: readonly ServiceLoad[]
  ): void {
    const reasons = groups.map(({name, reason}) => `${name} ${reason}`).join();
    const last = this.logged.get(service);
    const isAlike =
      last?.reasons === reasons &&
      Math.abs(total - last.total) <= last.total * LOGGED_PART;
    if (isAlike) return;
    this.logged.set(service, {total, reasons});
    const running = inFlightOf(loads);
    const waiting = sum(loads.map(load => load.waiting));
    this.logger.info(
      {
        event: 'places.changed',
        service,
        ...rounded({places: total, running, waiting}),
        groups: groups.map(({name, reason, outlook, ...figures}) => ({
          name,
          reason,
          ...rounded(figures),
          ...outlook,
        })),
      },
      'places of a service changed'
    );
  }
}
