import {PortTakenError, onFreshPort} from '../bench/deployment/freePorts';

describe('start on a fresh port', () => {
  // Beside load an agent takes a second to start, and the port that was chosen for
  // it was given to another process: all tests of the deployment failed.
  it('should choose another port when somebody else listens on it', async () => {
    let tries = 0;
    const started = onFreshPort(async () => {
      if (++tries < 3) throw new PortTakenError('taken');
      return tries;
    });
    await expect(started).resolves.toBe(3);
  });

  it('should give up when each port is taken', async () => {
    let tries = 0;
    const started = onFreshPort(async () => {
      tries++;
      throw new PortTakenError('taken');
    });
    await expect(started).rejects.toThrow('taken');
    expect(tries).toBe(3);
  });

  it('should not try again after another fault', async () => {
    let tries = 0;
    const started = onFreshPort(async () => {
      tries++;
      throw new Error('another fault');
    });
    await expect(started).rejects.toThrow('another fault');
    expect(tries).toBe(1);
  });
});
