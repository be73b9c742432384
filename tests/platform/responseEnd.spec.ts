import type {RawResponse} from '../fixtures/rawResponses';
import {writeRaw} from '../fixtures/rawResponses';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const EVENT = 'id: 1\ndata: x\n\n';

function raw(response: RawResponse): Handler {
  return req => writeRaw(req, response);
}

describe('log and metrics of the end of a response', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  async function attemptOf(response: RawResponse, path: string) {
    fixture = await GatewayFixture.start([raw(response)], {maxAttempts: 1});
    await fixture.call(path);
    return fixture.log.events('request.attempt')[0];
  }

  it('should name the framing, the events and the reason', async () => {
    const isStream = true;
    const attempt = await attemptOf(
      {framing: 'chunked', end: 'early', body: EVENT, isStream},
      '/stream/x'
    );
    expect(attempt).toMatchObject({
      end: 'lost',
      framing: 'chunked',
      events: 1,
      reason: expect.stringContaining('aborted') as string,
    });
    expect(await fixture.metricsText()).toContain(
      'marlpulley_responses_total{service="s",framing="chunked",end="lost"} 1'
    );
  });

  it.each(['reset', 'resetAtOnce'] as const)(
    'should tell a connection that was reset from one that was closed: %s',
    async end => {
      const attempt = await attemptOf(
        {framing: 'close', end, body: 'text'},
        '/once/x'
      );
      expect(attempt).toMatchObject({framing: 'close'});
      expect(attempt?.['connectionError']).toMatch(/ECONNRESET|reset/);
    }
  );

  it('should name no connection error after a close in order', async () => {
    const attempt = await attemptOf(
      {framing: 'close', end: 'fin', body: 'text'},
      '/once/x'
    );
    expect(attempt).toMatchObject({framing: 'close', end: 'answered'});
    expect(attempt?.['connectionError']).toBeUndefined();
  });
});
