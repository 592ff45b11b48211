import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type PeerDialer from '../../ports/PeerDialer.ts';
import TrpcPeerConnection from './TrpcPeerConnection.ts';

/** A connection that several links share; it closes when the last link has released it. */
export interface SharedPeerConnection {
  readonly connection: TrpcPeerConnection;
  readonly release: () => void;
}

/** Options of the connections to all peers. */
export interface TrpcPeerDialerOptions {
  readonly peerKey: string;
  readonly ownHost: string;
  readonly clock: Clock;
  readonly log: Log;
  /** See `TrpcPeerConnectionOptions`. */
  readonly idleCloseMs?: number;
  /** See `TrpcPeerConnectionOptions`. */
  readonly isCompressed?: boolean;
}

interface OpenConnection {
  readonly connection: TrpcPeerConnection;
  userCount: number;
}

/** Opens one connection per peer address and shares it among the links to that peer. */
export default class TrpcPeerDialer {
  private readonly options: TrpcPeerDialerOptions;

  private readonly openConnections = new Map<string, OpenConnection>();

  constructor(options: TrpcPeerDialerOptions) {
    this.options = options;
  }

  /**
   * Creates a dialer for links of one kind, for example `(shared) => new TrpcGossipLink(shared)`.
   */
  createDialer<Link>(buildLink: (shared: SharedPeerConnection) => Link): PeerDialer<Link> {
    return { openLink: (peer) => buildLink(this.takeConnection(peer)) };
  }

  /** Returns the shared connection to the peer; each user must release it once. */
  takeConnection({ address }: PeerAddress): SharedPeerConnection {
    const entry = this.openConnections.get(address) ?? this.openConnection(address);
    entry.userCount += 1;
    let isReleased = false;
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      entry.userCount -= 1;
      if (entry.userCount > 0) return;
      entry.connection.close();
      if (this.openConnections.get(address) === entry) this.openConnections.delete(address);
    };
    return { connection: entry.connection, release };
  }

  /** Closes all connections; later calls on their links fail. */
  close(): void {
    this.openConnections.forEach(({ connection }) => connection.close());
    this.openConnections.clear();
  }

  private openConnection(address: string): OpenConnection {
    const connection = new TrpcPeerConnection({ ...this.options, address });
    const entry = { connection, userCount: 0 };
    this.openConnections.set(address, entry);
    return entry;
  }
}
