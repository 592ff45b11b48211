import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import type { ReplicaRole } from '../application/replication/ReplicaContext.ts';

/** What the gauges read of a replica. */
export interface GaugedReplica {
  readonly role: ReplicaRole;
  readonly isVoter: boolean;
  readonly term: number;
}

/** Gauges of the part that a host has in the control group. */
export default function listControlGauges(replica: GaugedReplica): readonly GaugeSource[] {
  return [
    {
      name: 'control_leading',
      help: '1 when this host leads the control group.',
      readValue: () => (replica.role === 'leader' ? 1 : 0),
    },
    {
      name: 'control_voting',
      help: '1 when this host has a vote in the control group.',
      readValue: () => (replica.isVoter ? 1 : 0),
    },
    {
      name: 'control_term',
      help: 'Term that this host knows.',
      readValue: () => replica.term,
    },
  ];
}
