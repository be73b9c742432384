import {HedgeOutcome, HedgedAttempt, runHedged} from '../src/entry/hedge';

interface End extends HedgeOutcome {
  readonly by: string;
}

describe('hedged attempts', () => {
  let cancelled: string[];

  const leg = (
    by: string,
    afterMs: number,
    kind: End['kind'] = 'answered'
  ): HedgedAttempt<End> => ({
    outcome: new Promise(resolve =>
      setTimeout(() => resolve({kind, by}), afterMs)
    ),
    cancel: () => cancelled.push(by),
  });

  const run = async (
    first: HedgedAttempt<End>,
    second: () => HedgedAttempt<End> | undefined
  ) => {
    const outcome = runHedged(first, 100, second);
    await jest.advanceTimersByTimeAsync(2_000);
    return outcome;
  };

  beforeEach(() => {
    jest.useFakeTimers();
    cancelled = [];
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('should start no second attempt when the first responds in time', async () => {
    const second = jest.fn();
    expect((await run(leg('first', 50), second)).by).toBe('first');
    expect(second).not.toHaveBeenCalled();
  });

  it('should use the faster response and cancel the slower attempt', async () => {
    const end = await run(leg('first', 500), () => leg('second', 100));
    expect(end.by).toBe('second');
    expect(cancelled).toEqual(['first']);
  });

  it('should wait for the other attempt when one is refused', async () => {
    const end = await run(leg('first', 500), () =>
      leg('second', 10, 'refused')
    );
    expect(end).toEqual({kind: 'answered', by: 'first'});
    expect(cancelled).toEqual([]);
  });

  it('should wait for the first attempt when a second one cannot start', async () => {
    expect((await run(leg('first', 500), () => undefined)).by).toBe('first');
  });
});
