import type Result from '../domain/errors/Result.ts';
import type { GossipDigest, GossipTopicName } from '../domain/membership/GossipTopic.ts';

/** A gossip message from one host to a peer. */
export interface GossipMessage {
  /**
   * Versions of the sender's records, by topic; an absent topic is not compared. With `since`, only
   * the versions that changed.
   */
  readonly digests: Readonly<Partial<Record<GossipTopicName, GossipDigest>>>;
  /** Records that the peer is known to lack, by topic. */
  readonly records: Readonly<Partial<Record<GossipTopicName, readonly unknown[]>>>;
  /**
   * `preparedAt` of the peer's last answer on this link: the digests list what changed at the
   * sender since that exchange, and the answer has to list what changed at the peer. Absent in a
   * full exchange.
   */
  readonly since?: number;
  /** In answers, the time by the answering host's clock up to which the records are complete. */
  readonly preparedAt?: number;
  /** In answers, set when the answering host started after `since` and needs a full exchange. */
  readonly mustRestart?: boolean;
}

/** Exchanges gossip over the connection to one peer. */
export default interface GossipLink {
  /**
   * Sends digests and records. The answer contains the records that the sender lacks, and the
   * versions of the records that the peer lacks.
   */
  exchangeRecords(message: GossipMessage, deadline: number): Promise<Result<GossipMessage>>;
  close(): void;
}
