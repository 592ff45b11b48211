import type ReplicaContext from './ReplicaContext.ts';

const defaultSnapshotEntries = 4096;
const defaultSnapshotBytes = 16_777_216;

/** Takes snapshots, which limit the size of the log and the duration of a restart. */
export default class SnapshotTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until the replica stops. */
  async runSnapshots(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      await context.changes.waitUntil(() => context.isStopped || this.isDue(), Infinity);
      if (!context.isStopped) await this.storeSnapshot();
    }
  }

  private isDue(): boolean {
    const { applier, log, options } = this.context;
    const entries = applier.appliedIndex - log.snapshotMetadata.index;
    if (entries <= 0) return false;
    return (
      entries >= (options.snapshotEntries ?? defaultSnapshotEntries) ||
      log.bytesSinceSnapshot >= (options.snapshotBytes ?? defaultSnapshotBytes)
    );
  }

  private async storeSnapshot(): Promise<void> {
    const { context } = this;
    const { snapshotFile } = context.store;
    const snapshot = context.applier.takeSnapshot(context.log);
    const { metadata } = snapshot;
    // The file is written outside of `serial`, so that a large snapshot does not delay log entries.
    const staged = await snapshotFile.writeStaged(snapshot);
    await context.runSerial(async () => {
      if (context.log.snapshotMetadata.index >= metadata.index) return;
      await context.store.useSnapshot(staged, metadata);
      context.options.log.info('replication: snapshot stored', { index: metadata.index });
    });
  }
}
