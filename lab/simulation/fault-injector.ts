/**
 * Brings faults about in a simulation and heals each after its duration, or all at once at the end
 * of a run.
 */
import type { ZoneName } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { Fault } from './action.js';
import { workerMachine } from './fleet-plan.js';
import type { SimulatedEngine } from './simulated-engine.js';
import { PLATFORM_ZONE } from './simulated-key-value.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Simulation } from './simulation.js';

/** How long a planned stop may take before the process is ended by force. */
const STOP_GRACE: Milliseconds = 30_000;

/** Time from the sign of a worker's planned stop to the end of its process. */
const WORKER_NOTICE: Milliseconds = 12_000;

/** Takes a fault back. */
type Heal = () => void;

/** The faults of one simulation. */
export class FaultInjector {
  readonly #simulation: Simulation;
  readonly #open = new Set<Heal>();
  readonly #lags: Milliseconds[] = [];
  readonly #stoppingWorkers = new Set<SimulatedEngine>();

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  /** Brings a fault about. */
  inject(fault: Fault): void {
    this.#simulation.observe({ kind: 'fault', name: fault.kind });
    switch (fault.kind) {
      case 'kill':
        this.#kill(this.#simulation.nodeAt(fault.node), fault.downtime);
        break;
      case 'stop':
        this.#stop(this.#simulation.nodeAt(fault.node), fault.downtime);
        break;
      case 'freeze':
        this.#freeze(this.#simulation.nodeAt(fault.node), fault.duration);
        break;
      case 'clock-rate':
        this.#simulation.nodeAt(fault.node).changeClockRate(fault.rate);
        break;
      case 'cut-zones':
        this.#cutZones(fault);
        break;
      case 'isolate-zone':
        this.#isolate(this.#simulation.zoneAt(fault.zone), fault.duration);
        break;
      case 'disturb-network':
        this.#until(fault.duration, this.#simulation.network.disturb(fault));
        break;
      case 'crash-engine':
        this.#crashEngine(fault.worker, fault.downtime);
        break;
      case 'fail-swaps':
        this.#failSwaps(fault.worker, fault.duration);
        break;
      case 'worker-leaves':
        this.#leave(fault);
        break;
      case 'stop-worker':
        this.#stopWorker(fault);
        break;
      case 'watches-break':
        if (fault.compact) this.#simulation.keyValue.compact();
        this.#simulation.keyValue.breakWatches();
        break;
      case 'machine-list-lag':
        this.#lagMachineList(fault.lag, fault.duration);
        break;
      default:
        this.#disturbKeyValue(fault);
        break;
    }
  }

  /** Heals every fault that is still open. */
  healAll(): void {
    for (const heal of [...this.#open]) heal();
    for (const node of this.#simulation.nodes.values()) node.changeClockRate(1);
    this.#simulation.observe({ kind: 'healed' });
  }

  #until(duration: Milliseconds, heal: Heal): void {
    let done = false;
    const once = (): void => {
      if (done) return;
      done = true;
      this.#open.delete(once);
      heal();
    };
    this.#open.add(once);
    this.#simulation.queue.after(duration, once);
  }

  #kill(node: SimulatedNode, downtime: Milliseconds): void {
    if (node.state === 'down') return;
    this.#simulation.endNode(node, false);
    this.#until(downtime, () => this.#simulation.startNode(node));
  }

  #stop(node: SimulatedNode, downtime: Milliseconds): void {
    if (node.state !== 'running') return;
    const life = node.life;
    this.#simulation.stopNode(node);
    this.#awaitExit(node, life, downtime, this.#simulation.queue.now + STOP_GRACE);
  }

  #awaitExit(
    node: SimulatedNode,
    life: number,
    downtime: Milliseconds,
    forceAt: Milliseconds,
  ): void {
    const { queue } = this.#simulation;
    if (!node.isAlive(life)) {
      this.#until(downtime, () => this.#simulation.startNode(node));
      return;
    }
    if (queue.now >= forceAt) this.#simulation.endNode(node, false);
    queue.after(100, () => this.#awaitExit(node, life, downtime, forceAt));
  }

  #freeze(node: SimulatedNode, duration: Milliseconds): void {
    if (node.state !== 'running') return;
    const life = node.life;
    const timersFirst = this.#simulation.random.integer(2) === 0;
    const { node: name } = node.plan;
    node.freeze();
    this.#simulation.observe({ kind: 'node-frozen', node: name });
    this.#until(duration, () => {
      if (!node.isAlive(life)) return;
      this.#simulation.observe({ kind: 'node-woken', node: name });
      node.wake(timersFirst);
    });
  }

  #cutZones(fault: Extract<Fault, { readonly kind: 'cut-zones' }>): void {
    const { network } = this.#simulation;
    const first = this.#simulation.zoneAt(fault.first);
    const second = this.#simulation.zoneAt(fault.second);
    if (first === second) return;
    const heals = [network.cut(first, second)];
    if (!fault.oneWay) heals.push(network.cut(second, first));
    this.#until(fault.duration, () => {
      for (const heal of heals) heal();
    });
  }

  #isolate(zone: ZoneName, duration: Milliseconds): void {
    const { network, plan } = this.#simulation;
    const others = [PLATFORM_ZONE, ...plan.zones.map((other) => other.name)];
    const heals = others
      .filter((other) => other !== zone)
      .flatMap((other) => [network.cut(zone, other), network.cut(other, zone)]);
    this.#until(duration, () => {
      for (const heal of heals) heal();
    });
  }

  #crashEngine(position: number, downtime: Milliseconds): void {
    const engine = this.#simulation.engineAt(position);
    engine.crash();
    this.#until(downtime, () => engine.restart());
  }

  #failSwaps(position: number, duration: Milliseconds): void {
    const engine = this.#simulation.engineAt(position);
    engine.setLoadFailureRate(1);
    this.#until(duration, () => engine.setLoadFailureRate(0));
  }

  #leave(fault: Extract<Fault, { readonly kind: 'worker-leaves' }>): void {
    const engine = this.#simulation.engineAt(fault.worker);
    this.#setLeaving(engine, fault.sign, true);
    this.#until(fault.duration, () => this.#setLeaving(engine, fault.sign, false));
  }

  #stopWorker(fault: Extract<Fault, { readonly kind: 'stop-worker' }>): void {
    const engine = this.#simulation.engineAt(fault.worker);
    if (this.#stoppingWorkers.has(engine)) return;
    this.#stoppingWorkers.add(engine);
    this.#setLeaving(engine, fault.sign, true);
    this.#simulation.queue.after(WORKER_NOTICE, () => {
      engine.crash();
      this.#until(fault.downtime, () => {
        engine.restart();
        this.#setLeaving(engine, fault.sign, false);
        this.#stoppingWorkers.delete(engine);
      });
    });
  }

  #setLeaving(engine: SimulatedEngine, sign: 'report' | 'machine-list', leaving: boolean): void {
    const { machineList, queue } = this.#simulation;
    if (sign === 'report') {
      engine.setLeaving(leaving);
      return;
    }
    machineList.setLeaving(workerMachine(engine.worker), leaving, queue.now);
    const { worker } = engine.worker;
    this.#simulation.observe({ kind: 'worker-leaving', worker, sign, leaving });
  }

  #lagMachineList(lag: Milliseconds, duration: Milliseconds): void {
    const { machineList } = this.#simulation;
    this.#lags.push(lag);
    machineList.extraLag = Math.max(0, ...this.#lags);
    this.#until(duration, () => {
      this.#lags.splice(this.#lags.indexOf(lag), 1);
      machineList.extraLag = Math.max(0, ...this.#lags);
    });
  }

  #disturbKeyValue(
    fault: Extract<
      Fault,
      {
        readonly kind:
          | 'key-value-outage'
          | 'key-value-slow'
          | 'key-value-limit'
          | 'key-value-lost-answers';
      }
    >,
  ): void {
    const { faults } = this.#simulation.keyValue;
    if (fault.kind === 'key-value-outage') {
      faults.outages += 1;
      this.#until(fault.duration, () => {
        faults.outages -= 1;
      });
    } else if (fault.kind === 'key-value-slow') {
      faults.slowness = fault.slowness;
      this.#until(fault.duration, () => {
        faults.slowness = 0;
      });
    } else if (fault.kind === 'key-value-limit') {
      faults.refusedShare = fault.refusedShare;
      this.#until(fault.duration, () => {
        faults.refusedShare = 0;
      });
    } else {
      faults.lostAnswerShare = fault.share;
      this.#until(fault.duration, () => {
        faults.lostAnswerShare = 0;
      });
    }
  }
}
