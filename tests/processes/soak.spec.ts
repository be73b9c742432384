import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';

const SOAK_PROGRAM = path.join(__dirname, '..', '..', 'dist', 'soak.cjs');

async function runSoak(seed: number, seconds: number): Promise<string> {
  const args = [
    SOAK_PROGRAM,
    '--seed',
    String(seed),
    '--seconds',
    String(seconds),
  ];
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.on('data', chunk => (output += String(chunk)));
  await once(child, 'exit');
  return output;
}

describe('soak of nodes', () => {
  // Nodes are killed, frozen, stopped and all killed at once, one fault after
  // another, while callers and an operator continue. Checks that no at-most-once
  // call ran twice, no refused call ran, no node has a site document older than an
  // acknowledged one, and no target gets more than the rate limit that it states.
  it('should keep its promises under a short series of faults', async () => {
    expect(await runSoak(3, 20)).toMatch(/seed 3: .* 0 violations: held\n$/);
  }, 90_000);
});
