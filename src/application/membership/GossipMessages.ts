import type GossipTopic from '../../domain/membership/GossipTopic.ts';
import type { GossipDigest, GossipTopicName } from '../../domain/membership/GossipTopic.ts';
import { listOutdated, readVersions } from '../../domain/membership/compareVersions.ts';
import type Clock from '../../ports/Clock.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import type { LinkPosition } from './GossipPeerTask.ts';

type TopicDigest = readonly [GossipTopicName, GossipDigest];
type TopicRecords = readonly [GossipTopicName, readonly unknown[]];

/** Answer of a host to a peer's message. */
export interface PreparedAnswer {
  readonly message: GossipMessage;
  /** Whether this host already has every record that the peer's digest lists. */
  readonly isComplete: boolean;
}

function createMessage(
  digests: readonly TopicDigest[],
  records: readonly TopicRecords[],
): GossipMessage {
  return {
    digests: Object.fromEntries(digests),
    records: Object.fromEntries(records.filter(([, list]) => list.length > 0)),
  };
}

/**
 * Creates the messages of exchanges from the records of all topics, and merges the records of
 * peers.
 */
export default class GossipMessages {
  private readonly clock: Clock;

  private readonly topics: readonly GossipTopic[];

  private readonly startedAt: number;

  constructor(options: { readonly clock: Clock; readonly topics: readonly GossipTopic[] }) {
    this.clock = options.clock;
    this.topics = options.topics;
    this.startedAt = options.clock.now();
  }

  /**
   * Creates the first message of an exchange. Its digest lists the records that changed since the
   * last exchange on the link. It also lists the records that were sent in that exchange: without
   * them, the peer would return these records as its own changes.
   */
  createRequest(position: LinkPosition | undefined): GossipMessage {
    const now = this.clock.now();
    if (!position) {
      return createMessage(
        this.topics.map((topic) => [topic.name, topic.listVersions(now)]),
        [],
      );
    }
    const digests = this.topics.map((topic) => {
      const changed = topic.listVersions(now, position.sentUntil);
      const requested = readVersions(topic.listVersions(now), position.requested[topic.name]);
      return [topic.name, { ...changed, ...requested }] as const;
    });
    return { ...createMessage(digests, []), since: position.receivedUntil };
  }

  /**
   * Creates the answer to a peer's message; undefined when the peer must start with a full
   * exchange.
   */
  createAnswer({ since, digests: peerDigests }: GossipMessage): PreparedAnswer | undefined {
    const now = this.clock.now();
    // A `since` outside this range comes from an exchange with an earlier process of this host.
    if (since !== undefined && (since < this.startedAt || since > now)) return undefined;
    const compared = this.topics.flatMap((topic) => {
      const digest = peerDigests[topic.name];
      return digest ? [{ topic, digest }] : [];
    });
    const outdated = compared
      .map(
        ({ topic, digest }) => [topic.name, listOutdated(topic.listVersions(now), digest)] as const,
      )
      .filter(([, versions]) => Object.keys(versions).length > 0);
    const message = createMessage(
      outdated,
      compared.map(({ topic, digest }) => [topic.name, topic.listNewer(digest, now, since)]),
    );
    return {
      message: compared.length > 0 ? { ...message, preparedAt: now } : message,
      isComplete: outdated.length === 0,
    };
  }

  /**
   * Creates the message with the records that the peer requested in its answer; undefined when
   * there are none.
   */
  createDelivery(answer: GossipMessage): GossipMessage | undefined {
    const now = this.clock.now();
    const records = this.topics.flatMap((topic): TopicRecords[] => {
      const requested = answer.digests[topic.name];
      if (!requested) return [];
      const known = { ...topic.listVersions(now), ...requested };
      return [[topic.name, topic.listNewer(known, now)]];
    });
    return records.some(([, list]) => list.length > 0) ? createMessage([], records) : undefined;
  }

  /**
   * Merges the records of a message; returns true when any of them should be passed on immediately.
   */
  mergeMessage({ records }: GossipMessage): boolean {
    const now = this.clock.now();
    return this.topics
      .map((topic) => topic.mergeRecords(records[topic.name] ?? [], now))
      .includes(true);
  }
}
