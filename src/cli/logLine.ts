/** One line of a node's log, read back. */

/** One log line, as far as it is read. */
export interface LogLine {
  readonly atMs: number;
  readonly process: string;
  readonly event: string;
  readonly attemptId?: string;
  /** What the event says beside its name and place. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** Fields that every line has, or that only repeat the event. */
const FRAME = new Set(
  'name role processId hostname pid level event attemptId msg time v'.split(' ')
);

/** Other text among the lines, such as a crash report, is passed over. */
export function readLine(text: string): LogLine | undefined {
  const begin = text.indexOf('{');
  if (begin < 0) return undefined;
  try {
    const fields = JSON.parse(text.slice(begin)) as Record<string, unknown>;
    return {
      atMs: Date.parse(String(fields['time'])),
      process: String(fields['processId'] ?? ''),
      event: String(fields['event'] ?? ''),
      attemptId: fields['attemptId'] as string | undefined,
      details: Object.fromEntries(
        Object.entries(fields).filter(([name]) => !FRAME.has(name))
      ),
    };
  } catch {
    // Not a line of ours.
    return undefined;
  }
}

/** When the step that a line reports began. */
export function startOf({atMs, details}: LogLine): number {
  const lasted = Number(details['tookMs'] ?? details['ageMs'] ?? 0);
  return atMs - lasted;
}
