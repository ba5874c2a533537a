/**
 * Carries out steps in a simulation: hands operations to clients and faults to the injector, and
 * ends a run by healing everything and letting the system settle.
 */
import {
  catalogueKey,
  type Intent,
  intentKey,
  type ModelCatalogue,
} from '../../src/config-feed/configuration.js';
import type { ModelName } from '../../src/core/identity.js';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { type Action, isFault, type Operation, type Step } from './action.js';
import { attempt, PATIENCE } from './client.js';
import { FaultInjector } from './fault-injector.js';
import { InteractiveClient } from './interactive-client.js';
import { OperatorClient } from './operator-client.js';
import { decodeRecord } from './record-encoding.js';
import { ReplicaMajority } from './replica-majority.js';
import type { Simulation } from './simulation.js';
import { TrainerClient } from './trainer-client.js';

/** Time for nodes to find each other and the configuration before the first step. */
export const WARM_UP: Milliseconds = 12 * SECOND;

/** Longest time to settle after all faults are healed. */
export const SETTLING_LIMIT: Milliseconds = 120 * SECOND;

/** Shortest time to settle: also what takes its time without any client must come to pass. */
export const SETTLING_MINIMUM: Milliseconds = 15 * SECOND;

/** How long an operator looks at a plan. */
const THOUGHT: Milliseconds = 400;

/** Clients and faults of one simulation. */
export class Scenario {
  readonly simulation: Simulation;
  readonly #faults: FaultInjector;
  readonly #replicas: ReplicaMajority;
  readonly #trainers: readonly TrainerClient[];
  readonly #callers: readonly InteractiveClient[];
  readonly #operators: readonly OperatorClient[];
  /** Versions the operators have been told to publish, by model. */
  readonly #versions = new Map<ModelName, number>();

  constructor(simulation: Simulation) {
    this.simulation = simulation;
    const { plan } = simulation;
    this.#faults = new FaultInjector(simulation);
    this.#replicas = new ReplicaMajority(simulation);
    this.#trainers = plan.trainers.map((trainer) => new TrainerClient(simulation, trainer));
    this.#callers = plan.callers.map((caller) => new InteractiveClient(simulation, caller));
    this.#operators = plan.operators.map((account) => new OperatorClient(simulation, account));
  }

  /** Starts the deployment and waits until it serves. */
  begin(): void {
    this.simulation.start();
    this.simulation.advance(WARM_UP);
  }

  /**
   * Lets time pass and takes one step. False where the step was left out because it would leave
   * a replica group without a majority that remembers.
   */
  take(step: Step): boolean {
    this.simulation.advance(step.after);
    const { action } = step;
    const ends = action.kind === 'kill' || action.kind === 'stop';
    if (ends && !this.#replicas.survivesEndOf(this.simulation.nodeAt(action.node))) return false;
    this.#noteRevisions();
    this.#perform(action);
    return true;
  }

  /** Heals all faults and lets the system settle. */
  settle(): void {
    this.#faults.healAll();
    this.simulation.advance(SETTLING_MINIMUM);
    for (const trainer of this.#trainers) trainer.reviewAll();
    for (let waited = SETTLING_MINIMUM; this.#isBusy() && waited < SETTLING_LIMIT; ) {
      this.simulation.advance(SECOND);
      waited += SECOND;
    }
    this.#noteRevisions();
  }

  #isBusy(): boolean {
    return [...this.#trainers, ...this.#callers, ...this.#operators].some((one) => one.isBusy);
  }

  #perform(action: Action): void {
    if (isFault(action)) this.#faults.inject(action);
    else this.#operate(action);
  }

  #operate(operation: Operation): void {
    switch (operation.kind) {
      case 'submit-step':
        at(this.#trainers, operation.trainer).submit(operation);
        break;
      case 'read-again':
        at(this.#trainers, operation.trainer).readAgain();
        break;
      case 'stop-waiting':
        at(this.#trainers, operation.trainer).stopWaiting();
        break;
      case 'ask':
        at(this.#callers, operation.caller).ask(operation);
        break;
      case 'publish-version':
        this.#publish(at(this.simulation.plan.models, operation.model));
        break;
      case 'change-zones':
        this.#changeZones(operation);
        break;
      case 'race':
        this.#race(operation);
        break;
      case 'drain':
        this.#drain(operation);
        break;
      case 'ask-status':
        this.#askStatus(operation.node);
        break;
    }
  }

  #publish(model: ModelName): void {
    const stored = this.#stored<ModelCatalogue>(catalogueKey(model));
    const newest = stored?.versions.at(-1)?.version ?? 0;
    const version = Math.max(newest, this.#versions.get(model) ?? 0) + 1;
    this.#versions.set(model, version);
    at(this.#operators, 0).publish(model, version);
  }

  #changeZones(operation: Extract<Operation, { readonly kind: 'change-zones' }>): void {
    const planned = at(this.simulation.plan.intents, operation.intent);
    const present = this.#stored<Intent>(intentKey(planned.name));
    if (present === undefined) return;
    const removed = operation.without === null ? undefined : at(planned.zones, operation.without);
    const remaining = planned.zones.filter((zone) => zone !== removed);
    const zones = remaining.length >= 2 ? remaining : planned.zones;
    const cutOff: Intent['cutOff'] = operation.cutOffServes
      ? { kind: 'serve', duration: 10 * SECOND }
      : { kind: 'refuse' };
    at(this.#operators, operation.intent).change({ ...present, zones, cutOff }, THOUGHT);
  }

  #race(operation: Extract<Operation, { readonly kind: 'race' }>): void {
    const planned = at(this.simulation.plan.intents, operation.intent);
    const present = this.#stored<Intent>(intentKey(planned.name));
    if (present === undefined) return;
    const draft = (reservedShare: number): Intent => ({
      ...present,
      interactive: { ...present.interactive, reservedShare },
    });
    at(this.#operators, 0).change(draft(operation.firstReserve), THOUGHT);
    at(this.#operators, 1).change(draft(operation.secondReserve), THOUGHT);
  }

  #drain(operation: Extract<Operation, { readonly kind: 'drain' }>): void {
    const { plan } = this.simulation;
    const name =
      operation.target === 'node'
        ? at(plan.nodes, operation.position).node
        : at(plan.workers, operation.position).worker;
    const target = { kind: operation.target, name };
    at(this.#operators, operation.position).drain(target, operation.duration);
  }

  #askStatus(position: number): void {
    const account = at(this.simulation.plan.operators, 0);
    const node = this.simulation.nodeAt(position);
    attempt(
      this.simulation,
      node,
      () => ({ kind: 'status', account }),
      PATIENCE,
      () => undefined,
    );
  }

  /** Notes which revision every running node acts on. */
  #noteRevisions(): void {
    for (const node of this.simulation.nodes.values()) {
      if (node.state !== 'running' || node.logic === undefined) continue;
      const { revision } = node.logic.configuration();
      const { node: name } = node.plan;
      this.simulation.observe({ kind: 'revision-seen', node: name, revision });
    }
  }

  #stored<Record>(key: string): Record | undefined {
    const found = this.simulation.keyValue.performDirectly({ kind: 'range', key, prefix: false });
    const entry = found.kind === 'range' ? found.entries[0] : undefined;
    return entry === undefined ? undefined : decodeRecord<Record>(entry.value);
  }
}

/** The item with a position, which wraps around. */
function at<Item>(items: readonly Item[], position: number): Item {
  const item = items[position % items.length];
  if (item === undefined) throw new RangeError('an empty list has no items');
  return item;
}
