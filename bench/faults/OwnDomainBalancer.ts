import type Balancer from '../../src/domain/requests/Balancer.ts';
import type { BalancerChoice } from '../../src/domain/requests/Balancer.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';

/** Chooses only among upstreams of the own failure domain; kept as a baseline for comparisons. */
export default class OwnDomainBalancer implements Balancer {
  private readonly balancer: Balancer;

  constructor(balancer: Balancer) {
    this.balancer = balancer;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const candidates = choice.candidates.filter(
      ({ record }) => record.failureDomain === choice.failureDomain,
    );
    return this.balancer.chooseUpstream({ ...choice, candidates });
  }
}
