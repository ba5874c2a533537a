/** What a node tells of itself: whether it is ready, its gauges, and its status for operators. */
import type { Milliseconds } from '../core/units.js';
import type { NodeGauges } from '../telemetry/node-metrics.js';
import type { Readiness } from './calls.js';
import type { NodeModules } from './node-modules.js';
import type { NodeStatus } from './status-messages.js';

/** Reports on one node. */
export class NodeReport {
  constructor(
    private readonly modules: NodeModules,
    private readonly isStopping: () => boolean,
  ) {}

  /** Whether the node can take calls. */
  readiness(now: Milliseconds): Readiness {
    const { feed, permission, membership } = this.modules;
    if (this.isStopping()) return { ready: false, reason: 'stopping' };
    const age = feed.freshnessAge(now);
    if (age === Number.POSITIVE_INFINITY) return { ready: false, reason: 'no configuration yet' };
    if (!permission.isFresh(age)) return { ready: false, reason: 'configuration not fresh' };
    if (!membership.isConfirmed(now)) return { ready: false, reason: 'not confirmed by a peer' };
    return { ready: true, reason: 'ready' };
  }

  /** The state of the node at this moment, for its metrics. */
  gauges(now: Milliseconds): NodeGauges {
    const { feed, permission, work, ledger } = this.modules;
    const age = feed.freshnessAge(now);
    return {
      revision: feed.completeRevision(),
      configurationAge: age,
      configurationFresh: permission.isFresh(age),
      membersByState: this.membersByState(),
      callsOpen: work.requests.openCount,
      dispatchesActive: work.home.activeCount,
      stepsDriven: work.supervisor.drivenSteps().length,
      ledgerBytes: ledger.usage.bodyBytes,
      ledgerRegisters: ledger.usage.registers,
      groupsUnderStrength: this.groupsUnderStrength().length,
    };
  }

  /** The state of the node, for operators. */
  status(now: Milliseconds): NodeStatus {
    const { settings, feed, work, directory, weights } = this.modules;
    const { node, incarnation, zone } = settings.self;
    const age = feed.freshnessAge(now);
    return {
      node,
      incarnation,
      zone,
      revision: feed.completeRevision(),
      freshnessAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : -1,
      ...this.readiness(now),
      stopping: this.isStopping(),
      drivenSteps: work.supervisor.drivenSteps(),
      rollouts: weights.status(now),
      openCalls: work.requests.openCount,
      activeDispatches: work.home.activeCount,
      workersAtHome: directory.workersAtHome().map((worker) => worker.worker),
      groupsUnderStrength: this.groupsUnderStrength(),
    };
  }

  private membersByState(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { state } of this.modules.membership.members()) {
      counts.set(state, (counts.get(state) ?? 0) + 1);
    }
    return counts;
  }

  private groupsUnderStrength(): NodeStatus['groupsUnderStrength'] {
    return this.modules.ledger
      .health()
      .filter((group) => group.underStrength)
      .map(({ domain, shard, epoch, aliveCount, memberCount }) => {
        return { intent: domain, shard, epoch, alive: aliveCount, members: memberCount };
      });
  }
}
