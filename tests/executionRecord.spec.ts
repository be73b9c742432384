import {ExecutionRecord} from '../src/core/executionRecord';

describe('execution record', () => {
  it('should allow the promise "not run" before any attempt', () => {
    expect(new ExecutionRecord().mayHaveRun).toBe(false);
  });

  // Guards against a promise that holds for the last attempt only.
  it('should need a proof for each attempt', () => {
    const record = new ExecutionRecord();
    const first = record.begin();
    const second = record.begin();
    second.provenNotRun();
    second.provenNotRun();
    expect(record.mayHaveRun).toBe(true);
    first.provenNotRun();
    expect(record.mayHaveRun).toBe(false);
  });
});
