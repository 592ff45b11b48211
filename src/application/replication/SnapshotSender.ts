import type Result from '../../domain/errors/Result.ts';
import type Leadership from '../../domain/replication/Leadership.ts';
import type { PeerProgress } from '../../domain/replication/Leadership.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type ReplicationLink from '../../ports/ReplicationLink.ts';
import type ReplicaContext from './ReplicaContext.ts';

const defaultChunkBytes = 1_048_576;
// Longer than `messageTimeoutMs`, because a peer may have to write the chunk to a slow disk.
const chunkTimeoutMs = 5000;

interface SendingSnapshot {
  readonly metadata: SnapshotMetadata;
  readonly content: Uint8Array;
  readonly replicaId: string;
  offset: number;
}

/** Sends the snapshot of this replica to a peer that needs entries which the log has dropped. */
export default class SnapshotSender<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  private readonly link: ReplicationLink;

  private sending: SendingSnapshot | undefined;

  constructor(context: ReplicaContext<Command, Reply>, link: ReplicationLink) {
    this.context = context;
    this.link = link;
  }

  /**
   * Sends the next chunk. The peer requests the last byte again until it has installed the
   * snapshot; after that it is sent entries.
   */
  async sendChunk(leadership: Leadership, progress: PeerProgress): Promise<Result<void>> {
    const { context, link } = this;
    const sending = await this.loadSnapshot(progress.replicaId);
    const { content, offset, metadata } = sending;
    const sentAt = context.now;
    const end = offset + (context.options.chunkBytes ?? defaultChunkBytes);
    const answer = await link.sendSnapshot(
      {
        ...context.createHeader(progress.replicaId, leadership.term),
        snapshotIndex: metadata.index,
        snapshotTerm: metadata.term,
        offset,
        size: content.byteLength,
        piece: Buffer.from(content.subarray(offset, end)).toString('base64'),
      },
      sentAt + chunkTimeoutMs,
    );
    if (!answer.ok) return answer;
    await context.acceptTerm(answer.value.term);
    if (!leadership.isActive) return { ok: true, value: undefined };
    progress.contactAt = sentAt;
    sending.offset = answer.value.receivedBytes;
    if (sending.offset >= content.byteLength) {
      this.sending = undefined;
      progress.matchIndex = Math.max(progress.matchIndex, metadata.index);
      progress.nextIndex = progress.matchIndex + 1;
    }
    context.changes.announceChange();
    return { ok: true, value: undefined };
  }

  /** Keeps the content in memory until it is sent: a newer snapshot may replace the file. */
  private async loadSnapshot(replicaId: string): Promise<SendingSnapshot> {
    if (this.sending?.replicaId === replicaId) return this.sending;
    const { context } = this;
    return context.runSerial(async () => {
      const content = await context.options.disk.read(context.store.snapshotFile.name);
      if (!content)
        throw new Error(
          'send a snapshot: the log continues from a snapshot but the snapshot file is missing',
        );
      this.sending = { metadata: context.log.snapshotMetadata, content, replicaId, offset: 0 };
      return this.sending;
    });
  }
}
