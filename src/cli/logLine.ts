/** Parses the JSON log lines of a node. */

/** The fields of a log line that `trace` and `summary` use. */
export interface LogLine {
  readonly atMs: number;
  readonly process: string;
  readonly event: string;
  readonly attemptId?: string;
  /** Fields specific to the event. */
  readonly details: Readonly<Record<string, unknown>>;
}

/**
 * Fields that all lines have in common, or that only repeat the event; left out
 * of `details`.
 */
const ENVELOPE_FIELDS = new Set(
  'name role processId hostname pid level event attemptId msg time v'.split(' ')
);

/**
 * Parses one line; returns undefined for other text, such as a crash report.
 */
export function parseLogLine(text: string): LogLine | undefined {
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
        Object.entries(fields).filter(([name]) => !ENVELOPE_FIELDS.has(name))
      ),
    };
  } catch {
    // Not a JSON log line.
    return undefined;
  }
}

/** When the operation that a line reports began: its time less its duration. */
export function startMsOf({atMs, details}: LogLine): number {
  const durationMs = Number(details['tookMs'] ?? details['ageMs'] ?? 0);
  return atMs - durationMs;
}
