import TrpcFleetLink from '../adapters/trpc/TrpcFleetLink.ts';
import type TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import FeedSubscriber from '../application/fleet/FeedSubscriber.ts';
import type { FeedSubscriberOptions } from '../application/fleet/FeedSubscriber.ts';
import type { FleetEntrySettings } from '../domain/settings/FleetSettings.ts';
import formatAddress from './formatAddress.ts';
import listSeedPeers from './listSeedPeers.ts';

/** Parts of an entry host that its subscriber to the feed uses. */
export interface FeedSubscriberParts extends Pick<FeedSubscriberOptions, 'clock' | 'log' | 'view'> {
  readonly settings: FleetEntrySettings;
  /** Returns the settings as last read from the file. */
  readonly readSettings: () => Pick<FleetEntrySettings, 'seeds'>;
  readonly dialer: TrpcPeerDialer;
}

/** Creates the subscriber of an entry host to the feed of a control host. */
export default function createFeedSubscriber(parts: FeedSubscriberParts): FeedSubscriber {
  const { settings, clock, log, view, readSettings, dialer } = parts;
  const { host, failureDomain, listen } = settings;
  return new FeedSubscriber({
    ...{ clock, log, view },
    ownHost: { host, address: formatAddress(listen.peers), failureDomain },
    readSeeds: () => listSeedPeers({ listen, seeds: readSettings().seeds }),
    openLink: (address) =>
      new TrpcFleetLink(dialer.takeConnection({ host: address, address }), clock),
  });
}
