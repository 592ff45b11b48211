import FailureError from '../../domain/errors/FailureError.ts';
import type { Member, ReplicaGroup } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaVote from '../../domain/replication/ReplicaVote.ts';
import type StateMachine from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import DocumentFile from './DocumentFile.ts';
import LogStore from './LogStore.ts';
import SnapshotFile from './SnapshotFile.ts';
import type { SnapshotFileOptions } from './SnapshotFile.ts';

/** The host, replica id and group that a data folder is bound to. */
export interface ReplicaIdentity extends Member {
  /** Undefined until this host has formed or joined a group. */
  readonly group: ReplicaGroup | undefined;
}

/** Options for opening a data folder. */
export interface ReplicaStoreOptions extends SnapshotFileOptions {
  readonly host: string;
  readonly random: RandomSource;
  readonly log: Log;
  /** The state machine that the snapshot in the folder is restored to. */
  readonly state: Pick<StateMachine<never, unknown>, 'startRestore'>;
}

/** Name of the file that collects the chunks of a received snapshot. */
export const receivedSnapshotName = 'snapshot.part';

function createInitialMetadata(identity: ReplicaIdentity): SnapshotMetadata {
  const configuration = { voters: identity.group?.founders ?? [] };
  return { index: 0, term: 0, proposedAt: 0, commandIndex: 0, configuration };
}

/**
 * The files of one replica: identity, vote, snapshot and log. Calls that write must not run
 * concurrently.
 */
export default class ReplicaStore {
  readonly snapshotFile: SnapshotFile;

  private readonly identityFile: DocumentFile<ReplicaIdentity>;

  private readonly voteFile: DocumentFile<ReplicaVote>;

  private readonly disk: Disk;

  private currentIdentity: ReplicaIdentity;

  private currentVote: ReplicaVote = { term: 0, votedFor: undefined };

  private logStore: LogStore;

  private constructor(options: ReplicaStoreOptions, identity: ReplicaIdentity) {
    const { disk } = options;
    this.disk = disk;
    this.identityFile = new DocumentFile(disk, 'identity');
    this.voteFile = new DocumentFile(disk, 'vote');
    this.snapshotFile = new SnapshotFile(options);
    this.currentIdentity = identity;
    this.logStore = new LogStore(disk, createInitialMetadata(identity));
  }

  /**
   * Opens a data folder and restores its snapshot to the state machine, or stores a random replica
   * id in an empty folder. Throws `log_damaged` when a file is not valid, and
   * `data_folder_unusable` when the folder belongs to another host or has files but no identity.
   */
  static async openStore(options: ReplicaStoreOptions): Promise<ReplicaStore> {
    const { host, random } = options;
    const newIdentity = { replicaId: random.createId(), host, group: undefined };
    const store = new ReplicaStore(options, newIdentity);
    const identity = await store.identityFile.readDocument();
    if (identity && identity.host !== host) {
      throw new FailureError({
        kind: 'data_folder_unusable',
        message: `data folder: it belongs to host "${identity.host}": expected host "${host}"`,
      });
    }
    if (identity) await store.loadFiles(identity, options);
    else await store.createIdentity();
    return store;
  }

  get identity(): ReplicaIdentity {
    return this.currentIdentity;
  }

  get vote(): ReplicaVote {
    return this.currentVote;
  }

  get log(): LogStore {
    return this.logStore;
  }

  /** Binds the folder to a group; the founders are the voters at index 0. */
  async saveGroup(group: ReplicaGroup): Promise<void> {
    const identity = { ...this.currentIdentity, group };
    await this.identityFile.writeDocument(identity);
    this.currentIdentity = identity;
    this.logStore = new LogStore(this.disk, createInitialMetadata(identity));
  }

  async saveVote(vote: ReplicaVote): Promise<void> {
    await this.voteFile.writeDocument(vote);
    this.currentVote = vote;
  }

  /** Replaces the snapshot with a staged one of this log and drops old entries that it includes. */
  async useSnapshot(staged: string, metadata: SnapshotMetadata): Promise<void> {
    await this.snapshotFile.useStaged(staged);
    await this.logStore.dropThrough(metadata);
  }

  /** Replaces the snapshot with the received one and removes all log entries. */
  async installSnapshot(metadata: SnapshotMetadata): Promise<void> {
    await this.snapshotFile.useStaged(receivedSnapshotName);
    await this.logStore.resetTo(metadata);
  }

  private async loadFiles(identity: ReplicaIdentity, options: ReplicaStoreOptions): Promise<void> {
    this.currentIdentity = identity;
    this.currentVote = (await this.voteFile.readDocument()) ?? this.currentVote;
    const restore = options.state.startRestore();
    const metadata = await this.snapshotFile.readParts(restore);
    if (metadata) restore.commitRestore();
    this.logStore = new LogStore(this.disk, metadata ?? createInitialMetadata(identity));
    await this.logStore.loadEntries(options.log);
  }

  private async createIdentity(): Promise<void> {
    const names = await this.disk.list();
    const unexpected = names.find((name) => !name.endsWith('.new'));
    if (unexpected !== undefined) {
      throw new FailureError({
        kind: 'data_folder_unusable',
        message: `data folder: it has file "${unexpected}" but no identity file: expected an empty folder`,
      });
    }
    await this.identityFile.writeDocument(this.currentIdentity);
  }
}
