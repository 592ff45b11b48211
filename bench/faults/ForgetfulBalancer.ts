import type Balancer from '../../src/domain/requests/Balancer.ts';
import type { BalancerChoice } from '../../src/domain/requests/Balancer.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';

/** Chooses without knowing idle connections; kept as a baseline for comparisons. */
export default class ForgetfulBalancer implements Balancer {
  private readonly balancer: Balancer;

  constructor(balancer: Balancer) {
    this.balancer = balancer;
  }

  chooseUpstream({ hasIdleConnection, ...choice }: BalancerChoice): UsableUpstream | undefined {
    return this.balancer.chooseUpstream(choice);
  }
}
