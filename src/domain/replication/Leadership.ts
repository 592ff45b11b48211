import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';
import computeMajorityValue from './computeMajorityValue.ts';

/** The leader's view of the replication progress of the replica on one host. */
export interface PeerProgress {
  readonly replicaId: string;
  nextIndex: number;
  /** Last entry that the replica is known to have synced to its disk. */
  matchIndex: number;
  /** When the newest message that the replica answered was sent. */
  contactAt: number;
  /** Newest read round in which the replica answered a message. */
  confirmedReadRound: number;
}

/** One replica's leadership in one term, and the decisions that depend on its peers. */
export default class Leadership {
  readonly term: number;

  readonly ownId: string;

  /** Index of the `term_start` entry of this term. */
  readonly startIndex: number;

  readonly startedAt: number;

  /** False once the leader has stepped down. */
  isActive = true;

  /**
   * Number of the newest read round. A round in which a majority answers confirms that this replica
   * still leads, so that it may serve reads.
   */
  readRound = 0;

  private readonly progress = new Map<string, PeerProgress>();

  constructor(options: {
    readonly term: number;
    readonly ownId: string;
    readonly startIndex: number;
    readonly now: number;
  }) {
    this.term = options.term;
    this.ownId = options.ownId;
    this.startIndex = options.startIndex;
    this.startedAt = options.now;
  }

  findProgress(host: string): PeerProgress | undefined {
    return this.progress.get(host);
  }

  /** Starts to track the replica on a host, in place of the one that was tracked before. */
  setPeer(member: Member): PeerProgress {
    const progress: PeerProgress = {
      replicaId: member.replicaId,
      nextIndex: this.startIndex,
      matchIndex: 0,
      contactAt: this.startedAt,
      confirmedReadRound: 0,
    };
    this.progress.set(member.host, progress);
    return progress;
  }

  /** The last index that a majority of the voters has synced to disk. */
  computeMajorityIndex(configuration: ReplicaConfiguration, ownSyncedIndex: number): number {
    return this.computeMajority(configuration, ownSyncedIndex, ({ matchIndex }) => matchIndex, 0);
  }

  /** Instant at which the leader has to step down unless more voters answer before then. */
  computeQuorumDeadline(configuration: ReplicaConfiguration, timeoutMs: number): number {
    const contactAt = this.computeMajority(
      configuration,
      Infinity,
      (progress) => progress.contactAt,
      this.startedAt,
    );
    return contactAt + timeoutMs;
  }

  /** Whether a majority of the voters answered this leader after the read round began. */
  hasConfirmed(readRound: number, configuration: ReplicaConfiguration): boolean {
    const confirmed = this.computeMajority(
      configuration,
      Infinity,
      ({ confirmedReadRound }) => confirmedReadRound,
      0,
    );
    return confirmed >= readRound;
  }

  /**
   * Learners and voters that have synced every entry up to the index and answered a message that
   * was sent at `since` or later.
   */
  listCaughtUp(index: number, since: number): readonly Member[] {
    return [...this.progress.entries()]
      .filter(([, { matchIndex, contactAt }]) => matchIndex >= index && contactAt >= since)
      .map(([host, { replicaId }]) => ({ host, replicaId }));
  }

  /** Voters that have not answered any message that was sent at `since` or later. */
  listUnresponsive({ voters }: ReplicaConfiguration, since: number): readonly Member[] {
    return voters.filter(({ replicaId, host }) => {
      if (replicaId === this.ownId) return false;
      const progress = this.progress.get(host);
      const isSameReplica = progress?.replicaId === replicaId;
      return (isSameReplica ? progress.contactAt : this.startedAt) < since;
    });
  }

  private computeMajority(
    configuration: ReplicaConfiguration,
    ownValue: number,
    readValue: (progress: PeerProgress) => number,
    missingValue: number,
  ): number {
    return computeMajorityValue(configuration, ({ host, replicaId }) => {
      if (replicaId === this.ownId) return ownValue;
      const progress = this.progress.get(host);
      return progress?.replicaId === replicaId ? readValue(progress) : missingValue;
    });
  }
}
