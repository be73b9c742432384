/** Logs the limits of services, which are renewed all the time, as they change. */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import {sum} from '../core/sum';
import type {ServiceLoad} from './messages';
import {inFlightOf} from './nodeReports';
import type {ServiceConcurrency} from './serviceGroups';

/** Change of the concurrency of a service that is logged, in parts of it. */
const MIN_LOGGED_CHANGE_RATIO = 0.1;

interface LoggedLimit {
  readonly total: number;
  readonly reasons: string;
}

/** Limits by service, as they were logged last. */
export class LimitChangeLogger {
  private readonly logged = new Map<string, LoggedLimit>();

  constructor(private readonly logger: Logger) {}

  logIfChanged(
    service: string,
    {total, groups}: ServiceConcurrency,
    loads: readonly ServiceLoad[]
  ): void {
    const reasons = groups.map(({name, reason}) => `${name} ${reason}`).join();
    const last = this.logged.get(service);
    const isUnchanged =
      last?.reasons === reasons &&
      Math.abs(total - last.total) <= last.total * MIN_LOGGED_CHANGE_RATIO;
    if (isUnchanged) return;
    this.logged.set(service, {total, reasons});
    const running = inFlightOf(loads);
    const waiting = sum(loads.map(load => load.waiting));
    this.logger.info(
      {
        event: 'places.changed',
        service,
        ...rounded({places: total, running, waiting}),
        groups: groups.map(({name, reason, outlook, ...numbers}) => ({
          name,
          reason,
          ...rounded(numbers),
          ...outlook,
        })),
      },
      'places of a service changed'
    );
  }
}
