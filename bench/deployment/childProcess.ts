/** A process of a deployment under test or measurement. */

import {ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {once} from 'node:events';
import readline from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {PortTakenError} from './freePorts';

const START_TIMEOUT_MS = 15_000;
const MAX_PORT_ATTEMPTS = 20;
const PORT_RETRY_INTERVAL_MS = 250;

/** A started program whose first line of stdout is a JSON document. */
export class Child {
  private constructor(
    readonly name: string,
    readonly process: ChildProcess,
    /** The first line of stdout. */
    readonly hello: {readonly port: number; readonly ports?: readonly number[]}
  ) {}

  /**
   * Starts `node ARGS` with stderr appended to `logFile`. Retries while the port
   * is taken: since it was chosen, or since the process last used it, the kernel
   * may have given it to an outgoing connection, which frees it when it closes.
   */
  static async start(
    name: string,
    args: readonly string[],
    logFile: string,
    env: Readonly<Record<string, string>> = {}
  ): Promise<Child> {
    for (let attempt = 1; ; attempt++) {
      try {
        return await Child.startOnce(name, args, logFile, env);
      } catch (err) {
        const canRetry =
          err instanceof PortTakenError && attempt < MAX_PORT_ATTEMPTS;
        if (!canRetry) throw err;
      }
      await delay(PORT_RETRY_INTERVAL_MS);
    }
  }

  private static async startOnce(
    name: string,
    args: readonly string[],
    logFile: string,
    env: Readonly<Record<string, string>>
  ): Promise<Child> {
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...env},
    });
    child.stderr.pipe(createWriteStream(logFile, {flags: 'a'}));
    let portTaken = false;
    child.stderr.on('data', (chunk: Buffer) => {
      portTaken ||= chunk.includes('EADDRINUSE');
    });
    const lines = readline.createInterface({input: child.stdout});
    const timeout = AbortSignal.timeout(START_TIMEOUT_MS);
    const exit = once(child, 'close', {signal: timeout}).then(([code]) => {
      const detail = `${name} exited with code ${code} before it was ready`;
      if (portTaken) throw new PortTakenError(detail);
      throw new Error(`${detail}; see ${logFile}`);
    });
    exit.catch(() => undefined);
    const [line] = (await Promise.race([
      once(lines, 'line', {signal: timeout}),
      exit,
    ])) as [string];
    return new Child(name, child, JSON.parse(line));
  }

  get pid(): number {
    return this.process.pid ?? 0;
  }

  get running(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /** Sends a signal; resolves with the exit code when the process has ended. */
  async end(signal: NodeJS.Signals): Promise<number | null> {
    if (!this.running) return this.process.exitCode;
    const ended = once(this.process, 'exit');
    this.process.kill(signal);
    // A process stopped by SIGSTOP handles other signals only after SIGCONT.
    if (signal !== 'SIGKILL') this.process.kill('SIGCONT');
    await ended;
    return this.process.exitCode;
  }
}
