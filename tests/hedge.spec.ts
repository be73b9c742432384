import {HedgeEnd, HedgeLeg, hedged} from '../src/entry/hedge';

interface End extends HedgeEnd {
  readonly by: string;
}

describe('hedged attempts', () => {
  let cancelled: string[];

  const leg = (
    by: string,
    afterMs: number,
    kind: End['kind'] = 'answered'
  ): HedgeLeg<End> => ({
    outcome: new Promise(resolve =>
      setTimeout(() => resolve({kind, by}), afterMs)
    ),
    cancel: () => cancelled.push(by),
  });

  const run = async (
    first: HedgeLeg<End>,
    second: () => HedgeLeg<End> | undefined
  ) => {
    const end = hedged(first, 100, second);
    await jest.advanceTimersByTimeAsync(2_000);
    return end;
  };

  beforeEach(() => {
    jest.useFakeTimers();
    cancelled = [];
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('should send no second attempt when the first answers in time', async () => {
    const second = jest.fn();
    expect((await run(leg('first', 50), second)).by).toBe('first');
    expect(second).not.toHaveBeenCalled();
  });

  it('should take the faster answer and cancel the slower attempt', async () => {
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

  it('should keep to the first attempt when no second one can be afforded', async () => {
    expect((await run(leg('first', 500), () => undefined)).by).toBe('first');
  });
});
