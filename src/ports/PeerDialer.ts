import type { PeerAddress } from '../domain/membership/choosePeers.ts';

/** Opens links of one kind to peers; the caller closes them. */
export default interface PeerDialer<Link> {
  /** Returns without waiting for the connection; calls on the link wait until it is open. */
  openLink(peer: PeerAddress): Link;
}
