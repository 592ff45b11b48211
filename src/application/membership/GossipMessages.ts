import type GossipTopic from '../../domain/membership/GossipTopic.ts';
import type { GossipDigest, GossipTopicName } from '../../domain/membership/GossipTopic.ts';
import { listLacking, readVersions } from '../../domain/membership/compareVersions.ts';
import type Clock from '../../ports/Clock.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import type { LinkPosition } from './GossipPeerTask.ts';

type TopicDigest = readonly [GossipTopicName, GossipDigest];
type TopicRecords = readonly [GossipTopicName, readonly unknown[]];

/** What a host returns for a peer's message. */
export interface PreparedAnswer {
  readonly message: GossipMessage;
  /** Whether this host lacks nothing that the peer named. */
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

/** Composes the messages of exchanges from the records of all topics, and merges those of peers. */
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
   * The first message of an exchange. It names the changes since the last exchange on the link and
   * the records sent in it, which the peer would otherwise return as changes of its own.
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

  /** The answer to a peer's message; undefined when the peer must begin with a full exchange. */
  createAnswer({ since, digests: peerDigests }: GossipMessage): PreparedAnswer | undefined {
    const now = this.clock.now();
    // The peer counts on what it told an earlier process of this host.
    if (since !== undefined && (since < this.startedAt || since > now)) return undefined;
    const compared = this.topics.flatMap((topic) => {
      const digest = peerDigests[topic.name];
      return digest ? [{ topic, digest }] : [];
    });
    const lacking = compared
      .map(
        ({ topic, digest }) => [topic.name, listLacking(topic.listVersions(now), digest)] as const,
      )
      .filter(([, versions]) => Object.keys(versions).length > 0);
    const message = createMessage(
      lacking,
      compared.map(({ topic, digest }) => [topic.name, topic.listNewer(digest, now, since)]),
    );
    return {
      message: compared.length > 0 ? { ...message, preparedAt: now } : message,
      isComplete: lacking.length === 0,
    };
  }

  /** The records that the peer asked for in its answer; undefined when it asked for none. */
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

  /** True when a record of the message should be passed on at once. */
  mergeMessage({ records }: GossipMessage): boolean {
    const now = this.clock.now();
    return this.topics
      .map((topic) => topic.mergeRecords(records[topic.name] ?? [], now))
      .includes(true);
  }
}
