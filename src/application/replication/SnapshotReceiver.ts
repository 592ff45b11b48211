import type ReplicaSnapshot from '../../domain/replication/ReplicaSnapshot.ts';
import type { SnapshotRequest } from '../../ports/ReplicationLink.ts';
import type ReplicaContext from './ReplicaContext.ts';
import { receivedSnapshotName } from './ReplicaStore.ts';

interface ReceivingSnapshot {
  readonly from: string;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly size: number;
  receivedBytes: number;
}

/** Collects the pieces of a snapshot on the disk and installs it. */
export default class SnapshotReceiver<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  private receiving: ReceivingSnapshot | undefined;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Returns the offset of the piece that is expected next; within `serial`. */
  async acceptPiece(request: SnapshotRequest): Promise<number> {
    const { disk } = this.context.options;
    if (request.snapshotIndex <= this.context.commitIndex) return request.size;
    const receiving = this.findReceiving(request);
    if (request.offset !== receiving.receivedBytes) return receiving.receivedBytes;
    const piece = Buffer.from(request.piece, 'base64');
    if (request.offset === 0) await disk.write(receivedSnapshotName, piece);
    else await disk.append(receivedSnapshotName, piece);
    receiving.receivedBytes += piece.byteLength;
    if (receiving.receivedBytes < request.size) return receiving.receivedBytes;
    this.receiving = undefined;
    return (await this.installReceived()) ? request.size : 0;
  }

  /** A piece of another snapshot than the last one begins a new file. */
  private findReceiving(request: SnapshotRequest): ReceivingSnapshot {
    const { from, snapshotIndex, snapshotTerm, size } = request;
    const { receiving } = this;
    const isSame =
      receiving?.from === from &&
      receiving.snapshotIndex === snapshotIndex &&
      receiving.snapshotTerm === snapshotTerm &&
      receiving.size === size;
    if (receiving && isSame) return receiving;
    this.receiving = { from, snapshotIndex, snapshotTerm, size, receivedBytes: 0 };
    return this.receiving;
  }

  /** False when the pieces don't make a whole snapshot; the sender then starts again. */
  private async installReceived(): Promise<boolean> {
    const { context } = this;
    const { store, applier, options } = context;
    await options.disk.sync(receivedSnapshotName);
    const content = await options.disk.read(receivedSnapshotName);
    const snapshot = this.parseSnapshot(content ?? new Uint8Array());
    if (!snapshot) return false;
    await store.installSnapshot(snapshot);
    applier.restoreSnapshot(snapshot);
    context.commitIndex = snapshot.index;
    options.log.info('replication: snapshot installed', { index: snapshot.index });
    context.changes.announceChange();
    return true;
  }

  private parseSnapshot(content: Uint8Array): ReplicaSnapshot | undefined {
    const { store, options } = this.context;
    try {
      return store.snapshotFile.parseDocument(content);
    } catch (error) {
      options.log.warn('replication: received snapshot refused', {
        error: (error as Error).message,
      });
      return undefined;
    }
  }
}
