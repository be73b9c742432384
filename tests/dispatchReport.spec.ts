import {readDispatchReport} from '../src/entry/dispatchReport';

const REPORT = {
  targetId: 'ledger-0',
  agentBootId: 'boot',
  revision: 1,
  temperature: 'warm',
  limit: 8,
  outstanding: 1,
  queued: 0,
  queuedMs: 3,
};
const REFUSAL = {reason: 'zone-out', step: 'gate', peer: 'p', detail: 'd'};

describe('report of an agent', () => {
  it('should be read with its refusal', () => {
    const report = {...REPORT, refusal: {...REFUSAL, retryAfterMs: 20}};
    expect(readDispatchReport(JSON.stringify(report))).toEqual(report);
  });

  // An exception here left the load of the target raised for good, and a refusal that
  // is not understood proves nothing.
  it.each([
    ['no report', undefined],
    ['two reports', ['{}', '{}']],
    ['broken JSON', '{"targetId":'],
    ['a missing field', JSON.stringify({...REPORT, limit: undefined})],
    [
      'an unknown refusal',
      JSON.stringify({...REPORT, refusal: {...REFUSAL, reason: 'zone-oux'}}),
    ],
  ])('should prove nothing with %s', (_name, header) => {
    expect(readDispatchReport(header)).toBeUndefined();
  });
});
