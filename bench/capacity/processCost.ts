/** Processor time and memory of a process that the bench started. */

import {readFileSync, readdirSync} from 'node:fs';

const PAGE_BYTES = 4_096;
const MS_PER_NS = 1e-6;

/** Processor time used so far by all threads of a process, in milliseconds. */
export function processorMs(pid: number): number {
  const threads = readdirSync(`/proc/${pid}/task`);
  const ns = threads.map(thread => runNanoseconds(pid, thread));
  return ns.reduce((sum, one) => sum + one, 0) * MS_PER_NS;
}

/** Reads the first field of `schedstat`, since `stat` counts whole ticks of 10 ms. */
function runNanoseconds(pid: number, thread: string): number {
  try {
    const text = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8');
    return Number(text.split(' ')[0]);
  } catch {
    // The thread has ended since the directory was read.
    return 0;
  }
}

/** Current resident memory in bytes. */
export function residentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/statm`, 'utf8');
  return Number(text.split(' ')[1]) * PAGE_BYTES;
}
