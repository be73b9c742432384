/** What the machine gives this process, and what clients may take of it. */

import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';

const BYTES_PER_MIB = 1 << 20;
/** Where the limit can't be read. */
const DEFAULT_DESCRIPTORS = 1_024;
const DESCRIPTOR_LIMIT = /^Max open files\s+(\d+)/m;

/** Limits of a machine as its settings state them; for 0, those of the kernel apply. */
export interface MachineSettings {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Limits of this process. */
export interface Machine {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** The limits that the settings state, or else those of the kernel. */
export function machineOf({memoryMb, descriptors}: MachineSettings): Machine {
  return {
    memoryBytes: memoryMb > 0 ? memoryMb * BYTES_PER_MIB : kernelMemory(),
    descriptors: descriptors > 0 ? descriptors : kernelDescriptors(),
  };
}

function kernelMemory(): number {
  const constrained = process.constrainedMemory();
  // 0 without a control group, and close to 2^64 in one without a limit.
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
}

function kernelDescriptors(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    return Number(DESCRIPTOR_LIMIT.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
