/** Faults of the soak: a series of signals to nodes, whose effects may overlap. */

import {setTimeout as delay} from 'node:timers/promises';
import type {SoakNodes} from './soakNodes';

type Fault = 'kill' | 'term' | 'freeze' | 'reload' | 'killAll';

/** Each fault occurs as often as its share of these ten entries. */
const FAULTS: readonly Fault[] = [
  'kill',
  'kill',
  'kill',
  'term',
  'term',
  'freeze',
  'freeze',
  'freeze',
  'reload',
  'killAll',
];
const MAX_PAUSE_MS = 1_200;
const MAX_FREEZE_MS = 2_500;

/** Injects random faults. */
export class SoakFaults {
  count = 0;

  constructor(
    private readonly nodes: SoakNodes,
    private readonly random: () => number
  ) {}

  /** Injects faults for `ms`; resolves when all frozen processes have been thawed. */
  async run(ms: number): Promise<void> {
    const endMs = performance.now() + ms;
    const thaws: Promise<void>[] = [];
    while (performance.now() < endMs) {
      await delay(this.random() * MAX_PAUSE_MS);
      const fault = FAULTS[Math.floor(this.random() * FAULTS.length)] ?? 'kill';
      thaws.push(this.inject(fault));
      this.count++;
    }
    await Promise.all(thaws);
  }

  private async inject(fault: Fault): Promise<void> {
    const {nodes, random} = this;
    const ip = nodes.ips[Math.floor(random() * nodes.ips.length)] ?? '';
    switch (fault) {
      case 'kill':
        nodes.signal(ip, 'SIGKILL');
        return;
      case 'term':
        nodes.signal(ip, 'SIGTERM');
        return;
      case 'reload':
        nodes.signal(ip, 'SIGHUP');
        return;
      case 'killAll':
        for (const one of nodes.ips) nodes.signal(one, 'SIGKILL');
        return;
      case 'freeze': {
        const awakeInMs = random() * MAX_FREEZE_MS;
        nodes.signal(ip, 'SIGSTOP');
        await delay(awakeInMs);
        nodes.signal(ip, 'SIGCONT');
      }
    }
  }
}
