/**
 * What this node may send to which workers: the rules that every request has to pass, and the state
 * behind them as the fleet and the operator tell it.
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

/** What the gate asks of the rest of its node. */
export interface WorkerGateOptions {
  readonly node: GatewayNodeOptions;
  readonly topology: ZoneTopology;
  readonly services: () => readonly Service[];
  /** Where a worker's service tells its health. */
  readonly healthPathOf: (worker: WorkerRecord) => string;
  /** Time since this node surely heard what the operator wants. */
  readonly contactAge: () => Milliseconds;
  /** Whether other nodes live. */
  readonly hasPeers: () => boolean;
  /** Whether this node does not reach the store. */
  readonly isCutOff: () => boolean;
  readonly coordinator: () => NodeId | undefined;
  /** The coordinator's token while this node is the coordinator. */
  readonly fencingToken: () => Revision | undefined;
  readonly askForPermits: (
    node: NodeId,
    wishes: readonly PermitRequest[],
  ) => Promise<PermitAnswer | undefined>;
  /** Called when some worker may be sent more than before. */
  readonly freed: () => void;
}

/** The only way of a node to its workers. */
export class WorkerGate {
  readonly registry: WorkerRegistry;
  /** Workers behind the rules. */
  readonly engine: EnginePort;
  private readonly evacuations = new ZoneEvacuations();
  private readonly evacuationBelief: StaleEvacuationRule;
  private readonly coldWorkers: ColdWorkers;

  constructor(private readonly options: WorkerGateOptions) {
    const { node, topology, contactAge, hasPeers } = options;
    const { log, metrics, engine } = node;
    const limit = (): Milliseconds | undefined => evacuationAgeLimit(node.timings());
    this.evacuationBelief = new StaleEvacuationRule({ limit, contactAge, hasPeers, log });
    this.coldWorkers = new ColdWorkers({
      ...options,
      ...{ self: node.node, clock: node.clock, log, metrics, tolerance: node.coldTolerance },
      registry: () => this.registry,
      ask: options.askForPermits,
      coldTimeOf: (worker) => engine.probeColdTime(worker, options.healthPathOf(worker)),
    });
    const rules = new SendRules([
      new ResidencyRule(topology),
      this.evacuations,
      this.evacuationBelief,
      this.coldWorkers.rule,
    ]);
    this.registry = new WorkerRegistry(rules, (...zones) => topology.distanceBetween(...zones));
    this.engine = new GuardedEngine({ engine, rules, log, metrics });
  }

  /** Whether what this node knows of evacuations is too old to send anything on. */
  get isOutdated(): boolean {
    return this.evacuationBelief.isStale;
  }

  /** Whether a zone's workers are sent nothing now. */
  isEvacuated(zone: ZoneName): boolean {
    return this.evacuations.isEvacuated(zone);
  }

  /** The operator evacuates a zone. */
  evacuate(zone: ZoneName): void {
    if (this.evacuations.begin(zone)) this.noteEvacuations('zone-evacuated', zone);
  }

  /** The operator takes an evacuation back. */
  endEvacuation(zone: ZoneName): void {
    if (!this.evacuations.end(zone)) return;
    this.coldWorkers.noteReturned(zone);
    this.noteEvacuations('zone-returned', zone);
  }

  /** Takes in a worker's record, new or changed. */
  noteRecord(record: WorkerRecord): void {
    this.coldWorkers.noteRecord(record);
  }

  /** All workers that were there before this node have been told. */
  noteListed(): void {
    this.coldWorkers.noteListed();
  }

  /** Answers another node's wishes for permits to send to cold workers. */
  answerWishes(wishes: readonly PermitRequest[]): PermitAnswer {
    return this.coldWorkers.answer(wishes);
  }

  /** Regular work. */
  tick(): void {
    this.evacuationBelief.tick();
    this.coldWorkers.tick();
  }

  private noteEvacuations(change: 'zone-evacuated' | 'zone-returned', workerZone: ZoneName): void {
    const { node, freed } = this.options;
    // A zone without workers may be misspelled, or its workers may come later.
    const workers = this.registry.all().filter(({ record }) => record.zone === workerZone).length;
    node.log.state(change, { workerZone, workers });
    node.metrics.set('evacuated_zones', this.evacuations.evacuated().length);
    freed();
  }
}
