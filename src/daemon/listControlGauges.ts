import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import type { ReplicaRole } from '../application/replication/ReplicaContext.ts';

/** State of a replica that the gauges report. */
export interface GaugedReplica {
  readonly role: ReplicaRole;
  readonly isVoter: boolean;
  readonly term: number;
}

/** Lists the gauges for the role of a host in the control group. */
export default function listControlGauges(replica: GaugedReplica): readonly GaugeSource[] {
  return [
    {
      name: 'control_leading',
      help: '1 when this host leads the control group.',
      readValue: () => (replica.role === 'leader' ? 1 : 0),
    },
    {
      name: 'control_voting',
      help: '1 when this host is a voter of the control group.',
      readValue: () => (replica.isVoter ? 1 : 0),
    },
    {
      name: 'control_term',
      help: 'Current Raft term of this host.',
      readValue: () => replica.term,
    },
  ];
}
