import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';
import computeMajorityValue from './computeMajorityValue.ts';

/** How far the replica on one host has followed this leader. */
export interface PeerProgress {
  readonly replicaId: string;
  nextIndex: number;
  /** Last entry that is known to be on the replica's synced disk. */
  matchIndex: number;
  /** When the last answered message was sent. */
  contactAt: number;
  /** Newest read round whose message was answered. */
  confirmedRound: number;
}

/** One replica's leadership in one term, and the decisions that depend on its followers. */
export default class Leadership {
  readonly term: number;

  readonly ownId: string;

  /** Index of the entry that starts the term. */
  readonly startIndex: number;

  readonly startedAt: number;

  /** False once the leader has stepped down. */
  isActive = true;

  /** Number of the newest read round. */
  round = 0;

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

  /** Begins to follow the replica that lives on a host, in place of the one known before. */
  setPeer(member: Member): PeerProgress {
    const progress: PeerProgress = {
      replicaId: member.replicaId,
      nextIndex: this.startIndex,
      matchIndex: 0,
      contactAt: this.startedAt,
      confirmedRound: 0,
    };
    this.progress.set(member.host, progress);
    return progress;
  }

  /** The last index that a majority of the voters has on synced disks. */
  computeMajorityIndex(configuration: ReplicaConfiguration, ownSyncedIndex: number): number {
    return this.computeValue(configuration, ownSyncedIndex, ({ matchIndex }) => matchIndex, 0);
  }

  /** When the leader has to step down unless it hears from more voters. */
  computeQuorumDeadline(configuration: ReplicaConfiguration, timeoutMs: number): number {
    const contactAt = this.computeValue(
      configuration,
      Infinity,
      (progress) => progress.contactAt,
      this.startedAt,
    );
    return contactAt + timeoutMs;
  }

  /** Whether a majority followed this leader after the read round began. */
  hasConfirmed(round: number, configuration: ReplicaConfiguration): boolean {
    const confirmed = this.computeValue(
      configuration,
      Infinity,
      ({ confirmedRound }) => confirmedRound,
      0,
    );
    return confirmed >= round;
  }

  /** Learners and voters that have every entry up to the index and answered since the instant. */
  listCaughtUp(index: number, since: number): readonly Member[] {
    return [...this.progress.entries()]
      .filter(([, { matchIndex, contactAt }]) => matchIndex >= index && contactAt >= since)
      .map(([host, { replicaId }]) => ({ host, replicaId }));
  }

  /** Voters that have not answered a message that was sent at the instant or later. */
  listSilent({ voters }: ReplicaConfiguration, since: number): readonly Member[] {
    return voters.filter(({ replicaId, host }) => {
      if (replicaId === this.ownId) return false;
      const progress = this.progress.get(host);
      const isSame = progress?.replicaId === replicaId;
      return (isSame ? progress.contactAt : this.startedAt) < since;
    });
  }

  private computeValue(
    configuration: ReplicaConfiguration,
    own: number,
    readValue: (progress: PeerProgress) => number,
    missing: number,
  ): number {
    return computeMajorityValue(configuration, ({ host, replicaId }) => {
      if (replicaId === this.ownId) return own;
      const progress = this.progress.get(host);
      return progress?.replicaId === replicaId ? readValue(progress) : missing;
    });
  }
}
