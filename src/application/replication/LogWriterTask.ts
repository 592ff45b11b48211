import type ReplicaContext from './ReplicaContext.ts';

/** Writes the entries of this leader to the disk. All unsynced entries share one sync. */
export default class LogWriterTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until the replica stops. */
  async runWriter(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      await context.changes.waitUntil(
        () => context.isStopped || context.log.hasUnsyncedRecords,
        Infinity,
      );
      if (context.isStopped) return;
      await context.runSerial(() => context.log.syncEntries());
      context.commitMajority();
    }
  }
}
