/** `node dist/capacity.cjs load|proxy|page` runs one helper of the cost measures. */

import {startBareProxy} from './bareProxy';
import {LoadPlan, generateLoad} from './loadGenerator';
import {writePage} from './page';

const print = (value: unknown) =>
  process.stdout.write(`${JSON.stringify(value)}\n`);

async function main([command, argument = '']: readonly string[]) {
  switch (command) {
    case 'load':
      return print(await generateLoad(JSON.parse(argument) as LoadPlan));
    case 'proxy':
      return print({port: await startBareProxy(Number(argument))});
    case 'page':
      return writePage(process.cwd());
    default:
      throw new Error(`no command ${command ?? '(none)'}`);
  }
}

main(process.argv.slice(2)).catch((err: unknown) => {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = 1;
});
