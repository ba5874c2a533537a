/**
 * The shared store as the relays of a region read it: one of them, the first, at the store itself, the
 * others by way of that one. A change then crosses the link to a region once. Where the first does
 * not help, each of the others reads the store for a while, at the price of a copy for each zone.
 *
 * The first relay tells other relays only what it follows at the store itself. Two that take each
 * other for the first therefore learn so at once, and neither believes the other to be current.
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
 * Share of the bound for a configuration for which a question to the first relay waits. One that fell
 * silent holds back the followers of the asking relay for as long, and they wait for half of the bound.
 */
const WAIT_SHARE = 0.25;

/** Time beyond the wait of a question for its answer. */
const ANSWER_LIMIT: Milliseconds = 300;

/** Time for the first relay to tell a whole prefix. */
const LIST_LIMIT: Milliseconds = 600;

/** Options of {@link RelayUpstream}. */
export interface RelayUpstreamOptions {
  readonly store: SharedStore;
  readonly choice: Pick<RelayChoice, 'firstRelay' | 'penalize'>;
  readonly peers: PeerPort;
  readonly fleet: () => Pick<RelayFleet, 'addressOf'>;
  /** Time in which a change of the configuration has to be in force. */
  readonly changeBound: () => Milliseconds;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** Another relay that is to be asked before the store is. */
interface FirstRelay {
  readonly node: NodeId;
  readonly address: string;
}

type RelayOutcome = PeerOutcome<'list-prefix'> | PeerOutcome<'follow-prefix'>;

/** What a relay reads its prefixes from. */
export class RelayUpstream implements Pick<SharedStore, 'range' | 'watch'> {
  /** The first relay that told something last, by prefix; `undefined` for the store. */
  private readonly sources = new Map<string, NodeId | undefined>();

  constructor(private readonly options: RelayUpstreamOptions) {}

  /** Lists a prefix. */
  async range(prefix: string): Promise<StoreRangeOutcome> {
    const first = this.first();
    if (first === undefined) return this.options.store.range(prefix);
    const request = { kind: 'list-prefix', prefix, forRelay: true } as const;
    const outcome = await this.options.peers.request<'list-prefix'>(
      first.address,
      request,
      LIST_LIMIT,
    );
    if (outcome.kind === 'answered' && outcome.answer.isCurrent) {
      const { items, revision } = outcome.answer;
      this.noteTold(prefix, first.node);
      return { kind: 'items', items, revision };
    }
    this.noteUnhelpful(prefix, first.node, outcome);
    return this.options.store.range(prefix);
  }

  /** Watches a prefix; what the first relay does not tell is watched at the store from the same place. */
  async watch(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, peers, changeBound } = this.options;
    const first = this.first();
    if (first === undefined) return store.watch(prefix, after, wait, signal);
    const limit = Math.min(wait, WAIT_SHARE * changeBound());
    const request = { kind: 'follow-prefix', prefix, after, wait: limit, forRelay: true } as const;
    const outcome = await peers.request<'follow-prefix'>(
      first.address,
      request,
      limit + ANSWER_LIMIT,
    );
    if (outcome.kind === 'answered' && outcome.answer.isCurrent) {
      const { answer } = outcome;
      this.noteTold(prefix, first.node);
      if (answer.changes === undefined) return { kind: 'compacted' };
      return { kind: 'changes', changes: answer.changes, revision: answer.revision };
    }
    this.noteUnhelpful(prefix, first.node, outcome);
    return store.watch(prefix, after, limit, signal);
  }

  private first(): FirstRelay | undefined {
    const node = this.options.choice.firstRelay();
    const address = node === undefined ? undefined : this.options.fleet().addressOf(node);
    return node === undefined || address === undefined ? undefined : { node, address };
  }

  private noteTold(prefix: string, node: NodeId): void {
    this.options.metrics.count('relayed_watches', { outcome: 'current' });
    if (this.sources.get(prefix) === node) return;
    this.sources.set(prefix, node);
    this.options.log.state('relay-upstream', { prefix, by: node });
  }

  private noteUnhelpful(prefix: string, node: NodeId, { kind }: RelayOutcome): void {
    const told = kind === 'answered' ? 'not-current' : kind;
    this.options.choice.penalize(node);
    this.options.metrics.count('relayed_watches', { outcome: told });
    this.sources.set(prefix, undefined);
    this.options.log.state('relay-upstream', { prefix, by: 'store', unhelpful: node, told });
  }
}
