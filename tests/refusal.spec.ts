import {REFUSALS, refuse} from '../src/core/refusal';

describe('refusals', () => {
  it('should never call a refusal "not run" and repeat it elsewhere unless both hold', () => {
    for (const [reason, kind] of Object.entries(REFUSALS)) {
      const safe = !kind.tryElsewhere || kind.outcome === 'not run';
      expect({reason, safe}).toEqual({reason, safe: true});
    }
  });

  it('should carry the step and the peer', () => {
    const err = refuse('zone-out', 'gate', 'agent-1', 'zone-b is out');
    expect(err.message).toBe('zone-out at gate (agent-1): zone-b is out');
  });
});
