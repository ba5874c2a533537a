/**
 * Controls what this node may send to which workers: the rules that every request has to pass, and
 * the state of the fleet that they depend on.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { PermitAnswer, PermitRequest } from '../placement/cold-permits.js';
import { GuardedEngine } from '../placement/guarded-engine.js';
import { ResidencyRule } from '../placement/residency-rule.js';
import { SendRules } from '../placement/send-rules.js';
import { StaleEvacuationRule } from '../placement/stale-evacuation-rule.js';
import { ZoneEvacuations } from '../placement/zone-evacuations.js';
import type { ZoneTopology } from '../placement/zone-topology.js';
import type { EnginePort } from '../serving/engine-port.js';
import type { Service, WorkerRecord } from '../serving/traffic-configuration.js';
import { WorkerRegistry } from '../serving/worker-registry.js';
import { ColdWorkers } from './cold-workers.js';
import { evacuationAgeLimit, type GatewayNodeOptions } from './gateway-options.js';

export interface WorkerGateOptions {
  readonly node: GatewayNodeOptions;
  readonly topology: ZoneTopology;
  readonly services: () => readonly Service[];
  /** Path of the health check of a worker's service. */
  readonly healthPathOf: (worker: WorkerRecord) => string;
  /** Time since the store or another node last reported what the operator requests. */
  readonly contactAge: () => Milliseconds;
  /** Whether other nodes are live. */
  readonly hasPeers: () => boolean;
  /** Whether this node cannot reach the store. */
  readonly isStoreUnreachable: () => boolean;
  readonly coordinator: () => NodeId | undefined;
  /** The fencing token, while this node is the coordinator. */
  readonly fencingToken: () => Revision | undefined;
  readonly requestPermits: (
    node: NodeId,
    requests: readonly PermitRequest[],
  ) => Promise<PermitAnswer | undefined>;
  /** Called when some worker may be sent more work than before. */
  readonly onCapacityFreed: () => void;
}

/** All access of a node to its workers. */
export class WorkerGate {
  readonly registry: WorkerRegistry;
  /** The port to the workers, restricted by the rules. */
  readonly engine: EnginePort;
  private readonly evacuations = new ZoneEvacuations();
  private readonly staleEvacuationRule: StaleEvacuationRule;
  private readonly coldWorkers: ColdWorkers;

  constructor(private readonly options: WorkerGateOptions) {
    const { node, topology, contactAge, hasPeers } = options;
    const { log, metrics, engine } = node;
    const limit = (): Milliseconds | undefined => evacuationAgeLimit(node.timings());
    this.staleEvacuationRule = new StaleEvacuationRule({ limit, contactAge, hasPeers, log });
    this.coldWorkers = new ColdWorkers({
      ...options,
      ...{ self: node.node, clock: node.clock, log, metrics, tolerance: node.coldTolerance },
      registry: () => this.registry,
      requestPermits: options.requestPermits,
      probeColdTime: (worker) => engine.probeColdTime(worker, options.healthPathOf(worker)),
    });
    const rules = new SendRules([
      new ResidencyRule(topology),
      this.evacuations,
      this.staleEvacuationRule,
      this.coldWorkers.rule,
    ]);
    this.registry = new WorkerRegistry(rules, (...zones) => topology.distanceBetween(...zones));
    this.engine = new GuardedEngine({ engine, rules, log, metrics });
  }

  /** Whether the cached evacuation state is too old to decide where to send requests. */
  get isEvacuationStateStale(): boolean {
    return this.staleEvacuationRule.isStale;
  }

  isEvacuated(zone: ZoneName): boolean {
    return this.evacuations.isEvacuated(zone);
  }

  /** Called when the operator evacuates a zone. */
  evacuate(zone: ZoneName): void {
    if (this.evacuations.begin(zone)) this.reportEvacuationChange('zone-evacuated', zone);
  }

  /** Called when the operator ends an evacuation. */
  endEvacuation(zone: ZoneName): void {
    if (!this.evacuations.end(zone)) return;
    this.coldWorkers.noteEvacuationEnded(zone);
    this.reportEvacuationChange('zone-returned', zone);
  }

  /** Applies a worker's record, new or changed. */
  noteRecord(record: WorkerRecord): void {
    this.coldWorkers.noteRecord(record);
  }

  /** Called once the initial list of workers is complete. */
  noteListed(): void {
    this.coldWorkers.noteListed();
  }

  /** Answers another node's requests for permits to send to cold workers. */
  answerPermitRequests(requests: readonly PermitRequest[]): PermitAnswer {
    return this.coldWorkers.answerRequests(requests);
  }

  tick(): void {
    this.staleEvacuationRule.tick();
    this.coldWorkers.tick();
  }

  private reportEvacuationChange(
    change: 'zone-evacuated' | 'zone-returned',
    workerZone: ZoneName,
  ): void {
    const { node, onCapacityFreed } = this.options;
    // The count shows a misspelled zone, or one whose workers have yet to register.
    const workers = this.registry.all().filter(({ record }) => record.zone === workerZone).length;
    node.log.state(change, { workerZone, workers });
    node.metrics.set('evacuated_zones', this.evacuations.evacuated().length);
    onCapacityFreed();
  }
}
