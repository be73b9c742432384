/** Table of subcommands. */

/** A subcommand; its module is loaded only when it runs. */
export interface Subcommand {
  readonly summary: string;
  /** Runs the subcommand; resolves with the exit code. */
  run(argv: readonly string[]): Promise<number>;
}

/** Subcommands by name. */
export const SUBCOMMANDS: Readonly<Record<string, Subcommand>> = {
  entry: {
    summary: 'run an entry, which callers reach',
    run: async argv => (await import('./entryCommand')).runEntry(argv),
  },
  agent: {
    summary: 'run the agent beside a target',
    run: async argv => (await import('./agentCommand')).runAgent(argv),
  },
  control: {
    summary: 'run a control instance, which has a disk',
    run: async argv => (await import('./controlCommand')).runControl(argv),
  },
  node: {
    summary: 'run a gateway that finds its cluster and targets by itself',
    run: async argv => (await import('./nodeCommand')).runNode(argv),
  },
  check: {
    summary: 'read a rule file and print its faults',
    run: async argv => (await import('./checkCommand')).runCheck(argv),
  },
  submit: {
    summary: 'put a rule file in force',
    run: async argv => (await import('./submitCommand')).runSubmit(argv),
  },
  status: {
    summary: 'show instances, processes and targets',
    run: async argv => (await import('./statusCommand')).runStatus(argv),
  },
  explain: {
    summary: 'show where a request would go, and why',
    run: async argv => (await import('./explainCommand')).runExplain(argv),
  },
  trace: {
    summary: 'show what collected logs say about one request',
    run: async argv => (await import('./traceCommand')).runTrace(argv),
  },
  summary: {
    summary: 'count the requests in collected logs by outcome and cause',
    run: async argv => (await import('./summaryCommand')).runSummary(argv),
  },
  quarantine: {
    summary: 'show, add and lift parts of prompts that crash targets',
    run: async argv =>
      (await import('./quarantineCommand')).runQuarantine(argv),
  },
  usage: {
    summary: 'show use by customer',
    run: async argv => (await import('./usageCommand')).runUsage(argv),
  },
};
