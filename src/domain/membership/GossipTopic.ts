/**
 * Version of each record that a host has, by record key. Two versions of a key are compared
 * number by number.
 */
export type GossipDigest = Readonly<Record<string, readonly number[]>>;

/** Names of the kinds of records that hosts exchange. */
export type GossipTopicName = 'upstreams' | 'hosts' | 'verdicts' | 'preset';

/** Records of one kind that hosts exchange until every host has the newest version of each. */
export default interface GossipTopic {
  readonly name: GossipTopicName;
  /**
   * Versions of the stored records that changed on this host at `since` or later; of all records by
   * default. A topic with few records may list all of them in any case.
   */
  listVersions(now: number, since?: number): GossipDigest;
  /**
   * Records that are newer on this host than in the other side's digest. A record that the digest
   * lacks is listed if it changed on this host at `since` or later; by default it is always listed.
   */
  listNewer(digest: GossipDigest, now: number, since?: number): readonly unknown[];
  /**
   * Stores the records that are newer than the stored ones and ignores malformed ones. Returns true
   * when any of them should be passed on immediately; a renewal that only extends a lease may wait
   * for the next regular exchange.
   */
  mergeRecords(records: readonly unknown[], now: number): boolean;
}
