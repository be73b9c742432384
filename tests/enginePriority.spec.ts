import {enginePriority} from '../src/policy/enginePriority';

describe('engine priority', () => {
  it('should put new prompts before resumed ones, and credit first', () => {
    // A zone is lost and a third of all streams resume at the same moment.
    // Their long prompts must not hold up the first token of new requests.
    const order = [
      enginePriority({inCredit: true, resumed: false}),
      enginePriority({inCredit: false, resumed: false}),
      enginePriority({inCredit: true, resumed: true}),
    ];
    expect(order).toEqual([...order].sort((a, b) => b - a));
    expect(new Set(order).size).toBe(3);
  });
});
