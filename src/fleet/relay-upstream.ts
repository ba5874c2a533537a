/**
 * The shared store as a relay reads it: through the first relay of its region, so that a change
 * crosses the link to the region once, or directly if this node is the first relay or the first
 * relay fails.
 *
 * The first relay answers other relays only from its own watch of the store, so two relays that
 * take each other for the first both fall back to the store.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { RelayChoice, RelayFleet } from './relay-choice.js';

/**
 * Share of the change bound for which a request to the first relay waits. A stalled first relay
 * delays the followers of this relay by as much, and they wait for half of the bound.
 */
const WAIT_SHARE = 0.25;

/** Time for the answer, in addition to the wait. */
const ANSWER_MARGIN: Milliseconds = 300;

/** Time for the first relay to send a whole prefix. */
const LIST_TIMEOUT: Milliseconds = 600;

export interface RelayUpstreamOptions {
  readonly store: SharedStore;
  readonly choice: Pick<RelayChoice, 'firstRelay' | 'penalize'>;
  readonly peers: PeerPort;
  readonly fleet: () => Pick<RelayFleet, 'addressOf'>;
  /** Time within which a configuration change must take effect. */
  readonly changeBound: () => Milliseconds;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** The relay that reads the store for this region. */
interface FirstRelay {
  readonly node: NodeId;
  readonly address: string;
}

type RelayOutcome = PeerOutcome<'list-prefix'> | PeerOutcome<'follow-prefix'>;

/** Lists and watches prefixes through the first relay, with the store as the fallback. */
export class RelayUpstream implements Pick<SharedStore, 'range' | 'watch'> {
  /** The relay from which each prefix was last read; `undefined` for the store. */
  private readonly sources = new Map<string, NodeId | undefined>();

  constructor(private readonly options: RelayUpstreamOptions) {}

  async range(prefix: string): Promise<StoreRangeOutcome> {
    const firstRelay = this.findFirstRelay();
    if (firstRelay === undefined) return this.options.store.range(prefix);
    const request = { kind: 'list-prefix', prefix, forRelay: true } as const;
    const outcome = await this.options.peers.request<'list-prefix'>(
      firstRelay.address,
      request,
      LIST_TIMEOUT,
    );
    if (outcome.kind === 'answered' && outcome.answer.isCurrent) {
      const { items, revision } = outcome.answer;
      this.noteAnswered(prefix, firstRelay.node);
      return { kind: 'items', items, revision };
    }
    this.noteFailed(prefix, firstRelay.node, outcome);
    return this.options.store.range(prefix);
  }

  /** Watches a prefix; if the first relay fails, the store is watched from the same revision. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, peers, changeBound } = this.options;
    const firstRelay = this.findFirstRelay();
    if (firstRelay === undefined) return store.watch(prefix, after, wait, signal);
    const limit = Math.min(wait, WAIT_SHARE * changeBound());
    const request = { kind: 'follow-prefix', prefix, after, wait: limit, forRelay: true } as const;
    const outcome = await peers.request<'follow-prefix'>(
      firstRelay.address,
      request,
      limit + ANSWER_MARGIN,
    );
    if (outcome.kind === 'answered' && outcome.answer.isCurrent) {
      const { answer } = outcome;
      this.noteAnswered(prefix, firstRelay.node);
      if (answer.changes === undefined) return { kind: 'compacted' };
      return { kind: 'changes', changes: answer.changes, revision: answer.revision };
    }
    this.noteFailed(prefix, firstRelay.node, outcome);
    return store.watch(prefix, after, limit, signal);
  }

  private findFirstRelay(): FirstRelay | undefined {
    const node = this.options.choice.firstRelay();
    const address = node === undefined ? undefined : this.options.fleet().addressOf(node);
    return node === undefined || address === undefined ? undefined : { node, address };
  }

  private noteAnswered(prefix: string, node: NodeId): void {
    this.options.metrics.count('relayed_watches', { outcome: 'current' });
    if (this.sources.get(prefix) === node) return;
    this.sources.set(prefix, node);
    this.options.log.state('relay-upstream', { prefix, by: node });
  }

  private noteFailed(prefix: string, node: NodeId, { kind }: RelayOutcome): void {
    const failure = kind === 'answered' ? 'not-current' : kind;
    this.options.choice.penalize(node);
    this.options.metrics.count('relayed_watches', { outcome: failure });
    this.sources.set(prefix, undefined);
    this.options.log.state('relay-upstream', {
      prefix,
      by: 'store',
      unhelpful: node,
      told: failure,
    });
  }
}
