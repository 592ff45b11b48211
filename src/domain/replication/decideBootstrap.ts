import type { Member, ReplicaGroup } from './ReplicaConfiguration.ts';

/** What a host reports about its replica and the group that the replica belongs to. */
export interface ReplicaStatus {
  readonly host: string;
  readonly replicaId: string;
  readonly group: ReplicaGroup | undefined;
}

/** What a host without a group does next. */
export type BootstrapDecision =
  | { readonly kind: 'wait' }
  | { readonly kind: 'join'; readonly group: ReplicaGroup }
  | { readonly kind: 'form'; readonly founders: readonly Member[] }
  | { readonly kind: 'conflict'; readonly groupIds: readonly string[] };

/**
 * Decides what a host without a group does. It joins a group that exists. Only the first configured
 * host forms a group, and only when every configured host reported that it has none.
 */
export default function decideBootstrap(options: {
  readonly ownMember: Member;
  /** All configured hosts in the order of the settings, this one included. */
  readonly hosts: readonly string[];
  /** Reports of the other hosts that answered. */
  readonly statuses: readonly ReplicaStatus[];
}): BootstrapDecision {
  const { ownMember, hosts, statuses } = options;
  const groups = statuses.flatMap(({ group }) => (group ? [group] : []));
  const groupIds = [...new Set(groups.map(({ groupId }) => groupId))];
  if (groupIds.length > 1) return { kind: 'conflict', groupIds };
  if (groups[0]) return { kind: 'join', group: groups[0] };
  const known = [ownMember, ...statuses.map(({ host, replicaId }) => ({ host, replicaId }))];
  const founders = hosts.flatMap((host) => known.find((member) => member.host === host) ?? []);
  const mayForm = hosts[0] === ownMember.host && founders.length === hosts.length;
  return mayForm ? { kind: 'form', founders } : { kind: 'wait' };
}
