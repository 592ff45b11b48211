/** Largest number of open connections of each listener of an entry host. */
export interface EntryConnections {
  readonly callers: number;
  readonly platform: number;
  readonly metrics: number;
}

/** Largest number of open connections of each listener of a control host. */
export interface ControlConnections {
  readonly operators: number;
  readonly peers: number;
  /** Connections of the peers listener that have not shown the peer key yet; part of `peers`. */
  readonly unprovenPeers: number;
  readonly metrics: number;
}

// The platform's need for files outside the data folder, with the log and the program's own files.
const reservedDescriptors = 200;
// A process that may open fewer than twice the reserve keeps half for files.
const maxReservedShare = 0.5;
// Probes and scrapers of a few hosts, each with a new connection for each call.
const minConnections = 8;

// A caller needs a second descriptor, for the connection to an upstream, only while it has a
// request open.
const callersShare = 0.6;
// The two listeners of the platform, which calls each about once a second.
const platformShare = 0.05;
// All upstreams of a fleet may announce themselves to one control host.
const operatorsShare = 0.45;
// All hosts of a fleet may follow one control host, which dials the other control hosts only.
const peersShare = 0.4;
// A host shows the key in its first message, but while it starts or lacks processor time, that
// message is late; all hosts of a fleet may connect at once.
const unprovenPeersShare = 0.5;

function computePart(maxDescriptors: number, share: number): number {
  const reserved = Math.min(reservedDescriptors, maxDescriptors * maxReservedShare);
  return Math.max(minConnections, Math.floor((maxDescriptors - reserved) * share));
}

/** Splits the descriptors of an entry host; the rest is for connections to upstreams and peers. */
export function splitEntryDescriptors(maxDescriptors: number): EntryConnections {
  return {
    callers: computePart(maxDescriptors, callersShare),
    platform: computePart(maxDescriptors, platformShare),
    metrics: computePart(maxDescriptors, platformShare),
  };
}

/** Splits the descriptors of a control host; the rest is for peers that it dials and its disk. */
export function splitControlDescriptors(maxDescriptors: number): ControlConnections {
  const peers = computePart(maxDescriptors, peersShare);
  return {
    operators: computePart(maxDescriptors, operatorsShare),
    peers,
    unprovenPeers: Math.floor(peers * unprovenPeersShare),
    metrics: computePart(maxDescriptors, platformShare),
  };
}
