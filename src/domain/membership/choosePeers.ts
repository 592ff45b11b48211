import { createHash } from 'node:crypto';

/** A host and the address of its peers listener. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
}

/** Inputs of a host's choice of its peers. */
export interface PeerChoice {
  readonly ownHost: string;
  readonly live: readonly PeerAddress[];
  /** Hosts that are not live but may come back, such as configured control hosts. */
  readonly missing: readonly PeerAddress[];
  readonly count: number;
  /** Selects which missing host is tried; consecutive numbers rotate through all of them. */
  readonly rotation: number;
}

function computeScore(ownHost: string, peer: string): string {
  return createHash('sha256').update(`${ownHost}\n${peer}`).digest('hex');
}

/**
 * The fixed offset of a host's exchanges with a peer within the exchange interval, as a share of
 * the interval from 0 up to, but not including, 1. The offsets of hosts and links are spread
 * evenly, so that a record received from one peer is not requested from the others too.
 */
export function computePhase(ownHost: string, peer: string): number {
  const hash = createHash('sha256').update(`phase\n${ownHost}\n${peer}`).digest();
  return hash.readUInt32BE() / 2 ** 32;
}

/**
 * Chooses the live hosts with the highest rendezvous scores. One missing host is added, in
 * rotation, so that the two sides of a fleet that was partitioned for longer than the leases find
 * each other again. When fewer than `count` peers are live, up to `count` missing hosts are added.
 */
export default function choosePeers(choice: PeerChoice): readonly PeerAddress[] {
  const { ownHost, live, missing, count, rotation } = choice;
  const chosen = live
    .filter(({ host }) => host !== ownHost)
    .map((peer) => ({ peer, score: computeScore(ownHost, peer.host) }))
    .sort((left, right) => (left.score > right.score ? -1 : 1))
    .slice(0, count)
    .map(({ peer }) => peer);
  const others = missing.filter(({ host }) => host !== ownHost);
  if (chosen.length < count) return [...chosen, ...others.slice(0, count)];
  const rotated = others[rotation % others.length];
  return rotated ? [...chosen, rotated] : chosen;
}
