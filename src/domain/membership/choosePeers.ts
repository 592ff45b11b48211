import { createHash } from 'node:crypto';

/** A host and the address of its peers listener. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
}

/** What a host knows when it chooses its peers. */
export interface PeerChoice {
  readonly ownHost: string;
  readonly live: readonly PeerAddress[];
  /** Hosts that are not live but may come back, such as configured control hosts. */
  readonly missing: readonly PeerAddress[];
  readonly count: number;
  /** Turns the choice among the missing hosts. */
  readonly turn: number;
}

function computeScore(ownHost: string, peer: string): string {
  return createHash('sha256').update(`${ownHost}\n${peer}`).digest('hex');
}

/**
 * A fixed share, from 0 up to 1, of an interval at which a host exchanges with a peer. Hosts and
 * links are spread evenly, so that a record from one peer is not requested from the others too.
 */
export function computePhase(ownHost: string, peer: string): number {
  const hash = createHash('sha256').update(`phase\n${ownHost}\n${peer}`).digest();
  return hash.readUInt32BE() / 2 ** 32;
}

/**
 * The peers with the highest rendezvous scores among the live hosts. One missing host is added, in
 * turns, so that the two sides of a fleet that was split for longer than the leases find each
 * other again. All missing hosts are added while fewer than `count` hosts are live.
 */
export default function choosePeers(choice: PeerChoice): readonly PeerAddress[] {
  const { ownHost, live, missing, count, turn } = choice;
  const chosen = live
    .filter(({ host }) => host !== ownHost)
    .map((peer) => ({ peer, score: computeScore(ownHost, peer.host) }))
    .sort((left, right) => (left.score > right.score ? -1 : 1))
    .slice(0, count)
    .map(({ peer }) => peer);
  const others = missing.filter(({ host }) => host !== ownHost);
  if (chosen.length < count) return [...chosen, ...others.slice(0, count)];
  const turned = others[turn % others.length];
  return turned ? [...chosen, turned] : chosen;
}
