/** Node settings, filled in from the template in `deploy/` as the platform does it. */

import {readFileSync} from 'node:fs';
import path from 'node:path';

const TEMPLATE = path.join(__dirname, '..', '..', 'deploy', 'node.ini');

/** Example values, by the variable names that the platform's documentation gives. */
export const EXAMPLE_VALUES = {
  node: 'front-ie-south-a-1',
  zone: 'ie-south-a',
  ip: '10.1.0.40',
  'listen.front': '10.1.0.40:8227',
  'listen.ready': '10.1.0.40:8220',
  'listen.control': '10.1.0.40:8229',
  'internalPorts.0': '7340',
  seeds: '10.1.0.40:8229,10.2.0.29:8229,10.3.0.19:8229',
  bootstrap: 'true',
  dataDir: '/data/my-front',
  heartbeatMs: '1200',
  'faultTolerance.machines': '1',
  'limits.memoryMb': '350',
  'limits.maxFds': '4100',
  'bounds.configApplyMs': '2000',
  'bounds.graceS': '8',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.retryWindowS': '10',
  'bounds.retrySlack': '96',
  'bounds.coldMultiplier': '1.5',
  'bounds.coldSlack': '5',
};

/** Fills in the template; variables without a value become empty. */
export function renderTemplate(
  values: Readonly<Record<string, string>>
): string {
  const template = readFileSync(TEMPLATE, 'utf8');
  return template.replace(
    /\{\{([^}]+)\}\}/g,
    (_, name: string) => values[name] ?? ''
  );
}
