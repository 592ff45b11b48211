import type Result from '../domain/errors/Result.ts';
import type { GossipDigest, GossipTopicName } from '../domain/membership/GossipTopic.ts';

/** What one host tells a peer. */
export interface GossipMessage {
  /** Versions held, by topic; a topic that is absent is not compared. With `since` only changes. */
  readonly digests: Readonly<Partial<Record<GossipTopicName, GossipDigest>>>;
  /** Records that the peer is known to lack, by topic. */
  readonly records: Readonly<Partial<Record<GossipTopicName, readonly unknown[]>>>;
  /**
   * `preparedAt` of the peer's last answer on this link: the digests list what changed here since
   * that exchange, and the answer is to hold what changed there. Absent in a full exchange.
   */
  readonly since?: number;
  /** In answers, the instant by the peer's clock up to which the records are complete. */
  readonly preparedAt?: number;
  /** In answers, set when the peer started after `since` and needs a full exchange. */
  readonly mustRestart?: boolean;
}

/** The connection to one peer as gossip uses it. */
export default interface GossipLink {
  /**
   * Sends digests and records. The answer holds the records that this side lacks, and the versions
   * of the records that the peer lacks.
   */
  exchangeRecords(message: GossipMessage, deadline: number): Promise<Result<GossipMessage>>;
  close(): void;
}
