/** Identifies the customer of a request. */

import {refuse} from '../../core/refusal';
import type {CustomerKeys} from '../../settings/settings';
import type {Filter, IdentifiedCall, ReceivedCall} from '../call';

const BEARER = /^Bearer +(.+)$/i;

/** How a request names its customer. */
export interface IdentifyOptions {
  readonly entryId: string;
  /** Header that names the customer, when no keys are set. */
  readonly customerHeader: string;
  readonly customerKeys: CustomerKeys;
}

/** Refuses requests that name no customer, or one that is not in the rules. */
export function identify(
  options: IdentifyOptions
): Filter<ReceivedCall, IdentifiedCall> {
  const {entryId} = options;
  return (call, next) => {
    const customer = customerOf(call, options);
    if (customer === undefined)
      throw refuse(
        'unknown-customer',
        'identify',
        entryId,
        'no customer named'
      );
    if (!call.rules.isKnownCustomer(customer)) {
      throw refuse(
        'unknown-customer',
        'identify',
        entryId,
        `no rule names ${customer}`
      );
    }
    const {req, res, requestId, rules} = call;
    return next({req, res, requestId, rules, customer});
  };
}

function customerOf(
  {req}: ReceivedCall,
  options: IdentifyOptions
): string | undefined {
  if (options.customerKeys.size > 0) {
    const key = BEARER.exec(req.headers.authorization ?? '')?.[1];
    return key === undefined ? undefined : options.customerKeys.get(key);
  }
  const header = req.headers[options.customerHeader];
  return typeof header === 'string' ? header : undefined;
}
