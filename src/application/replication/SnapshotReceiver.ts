import type { SnapshotRestore } from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type { SnapshotRequest } from '../../ports/ReplicationLink.ts';
import type ReplicaContext from './ReplicaContext.ts';
import { receivedSnapshotName } from './ReplicaStore.ts';

interface ReceivingSnapshot {
  readonly from: string;
  readonly term: number;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly size: number;
  receivedBytes: number;
}

/** Collects the chunks of a received snapshot in a file and installs the snapshot. */
export default class SnapshotReceiver<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  private receiving: ReceivingSnapshot | undefined;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Stores the chunk if its offset is the next expected one. Within `serial`. */
  async acceptChunk(request: SnapshotRequest): Promise<void> {
    const { context } = this;
    const { disk } = context.options;
    if (request.snapshotIndex <= context.commitIndex) return;
    const receiving = this.findReceiving(request);
    if (request.offset !== receiving.receivedBytes) return;
    const chunk = Buffer.from(request.piece, 'base64');
    if (request.offset === 0) await disk.write(receivedSnapshotName, chunk);
    else await disk.append(receivedSnapshotName, chunk);
    receiving.receivedBytes += chunk.byteLength;
    if (this.isWhole) context.changes.announceChange();
  }

  /**
   * Returns the next expected offset, or the size once the snapshot is installed. Installing a
   * large snapshot takes longer than an election timeout. Until it is installed, this replica
   * requests the last byte again in each heartbeat interval, so that leader and follower stay in
   * contact.
   */
  async waitInstalled(request: SnapshotRequest): Promise<number> {
    const { context } = this;
    const isFinished = (): boolean => context.isStopped || !this.isWhole;
    await context.changes.waitUntil(isFinished, context.now + context.times.heartbeatMs);
    if (request.snapshotIndex <= context.commitIndex) return request.size;
    if (!this.receiving || !this.isSame(this.receiving, request)) return 0;
    return Math.min(this.receiving.receivedBytes, Math.max(0, request.size - 1));
  }

  /** Installs each snapshot that was received completely; runs until the replica stops. */
  async runInstallations(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      await context.changes.waitUntil(() => context.isStopped || this.isWhole, Infinity);
      if (!context.isStopped && this.receiving) await this.installReceived(this.receiving);
    }
  }

  private get isWhole(): boolean {
    return this.receiving !== undefined && this.receiving.receivedBytes >= this.receiving.size;
  }

  private isSame(receiving: ReceivingSnapshot, request: SnapshotRequest): boolean {
    return (
      receiving.from === request.from &&
      receiving.term === request.term &&
      receiving.snapshotIndex === request.snapshotIndex &&
      receiving.snapshotTerm === request.snapshotTerm &&
      receiving.size === request.size
    );
  }

  /** A chunk of a different snapshot starts a new file. */
  private findReceiving(request: SnapshotRequest): ReceivingSnapshot {
    if (this.receiving && this.isSame(this.receiving, request)) return this.receiving;
    const { from, term, snapshotIndex, snapshotTerm, size } = request;
    this.receiving = { from, term, snapshotIndex, snapshotTerm, size, receivedBytes: 0 };
    return this.receiving;
  }

  /**
   * Restores the received file separately from the running state, then replaces the stored snapshot
   * and the running state in one step of `serial`.
   */
  private async installReceived(receiving: ReceivingSnapshot): Promise<void> {
    const { context } = this;
    const { store, applier, options } = context;
    await options.disk.sync(receivedSnapshotName);
    const restore = options.state.startRestore();
    const metadata = await this.readReceived(restore);
    await context.runSerial(async () => {
      // In the meantime, chunks of another snapshot may have started to replace the file.
      if (this.receiving !== receiving) return;
      this.receiving = undefined;
      // A leader of a newer term may already have counted entries of this log towards a majority,
      // so the log must stay.
      const isCurrent = context.term === receiving.term;
      if (isCurrent && metadata && metadata.index > context.commitIndex) {
        await store.installSnapshot(metadata);
        restore.commitRestore();
        applier.resetToSnapshot(metadata);
        context.commitIndex = metadata.index;
        options.log.info('replication: snapshot installed', { index: metadata.index });
      }
      context.changes.announceChange();
    });
  }

  /**
   * Returns undefined when the received file is not a valid snapshot; the sender then starts over.
   */
  private async readReceived(restore: SnapshotRestore): Promise<SnapshotMetadata | undefined> {
    const { store, options } = this.context;
    try {
      return await store.snapshotFile.readParts(restore, receivedSnapshotName);
    } catch (error) {
      options.log.warn('replication: received snapshot refused', {
        error: (error as Error).message,
      });
      return undefined;
    }
  }
}
