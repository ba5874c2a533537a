/**
 * The platform's machine list: which machines live or are on their way out, shown with a lag.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import type { FleetPlan } from './fleet-plan.js';
import { workerMachine } from './fleet-plan.js';

/** How old the shown list is at least. */
export const BASE_LAG: Milliseconds = 500;

interface Snapshot {
  readonly at: Milliseconds;
  readonly machines: readonly MachineRecord[];
}

/** The list with its recent past. */
export class SimulatedMachineList {
  /** How much older than {@link BASE_LAG} the shown list is. */
  extraLag: Milliseconds = 0;
  readonly #plan: FleetPlan;
  readonly #leaving = new Set<string>();
  #snapshots: Snapshot[];

  constructor(plan: FleetPlan) {
    this.#plan = plan;
    this.#snapshots = [{ at: Number.NEGATIVE_INFINITY, machines: this.#build() }];
  }

  /** Notes that a machine is on its way out, or that it stays. */
  setLeaving(machine: string, leaving: boolean, now: Milliseconds): void {
    if (leaving) this.#leaving.add(machine);
    else this.#leaving.delete(machine);
    this.#snapshots.push({ at: now, machines: this.#build() });
  }

  /** The list as it is shown at a point of time. */
  shown(now: Milliseconds): readonly MachineRecord[] {
    const shownTime = now - BASE_LAG - this.extraLag;
    const past = this.#snapshots.filter((snapshot) => snapshot.at <= shownTime);
    return (past.at(-1) ?? this.#snapshots[0])?.machines ?? [];
  }

  #build(): MachineRecord[] {
    const nodeMachines = this.#plan.nodes.map((node) =>
      this.#record(node.machine, node.zone, [node.address], []),
    );
    const workerMachines = this.#plan.workers.map((worker) =>
      this.#record(workerMachine(worker), worker.zone, [], [worker]),
    );
    return [...nodeMachines, ...workerMachines];
  }

  #record(
    machine: string,
    zone: string,
    nodeAddresses: readonly string[],
    workers: MachineRecord['workers'],
  ): MachineRecord {
    const state = this.#leaving.has(machine) ? 'leaving' : 'live';
    return { machine, zone, state, nodeAddresses, workers };
  }
}
