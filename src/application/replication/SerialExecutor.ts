/** Runs asynchronous work one at a time, in the order of the calls. */
export default class SerialExecutor {
  private tail: Promise<unknown> = Promise.resolve();

  runNext<Value>(work: () => Promise<Value>): Promise<Value> {
    const run = this.tail.then(work);
    this.tail = run.catch(() => undefined);
    return run;
  }
}
