/**
 * Controls the weights of the models whose controller this node is. The controller of a (zone,
 * model) is the live node of the zone that is first by rendezvous; it holds an epoch from the
 * key-value service, and its orders carry that epoch, so that orders of an earlier controller
 * which was paused are refused by the engines.
 *
 * Two nodes that both believe themselves first cost orders, never safety: only the higher epoch is
 * obeyed, and the other one stands down for a while.
 */
import { rendezvousFirst } from '../core/hashing.js';
import { type ModelName, type NodeRecord, sameIdentity, type WorkerId } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValueResult } from '../platform/key-value.js';
import type { WorkerOrderResult, WorkerRecord, WorkerReport } from '../platform/worker.js';
import { type ClaimRequest, controllerKey, EpochClaim } from './epoch-claim.js';
import { ModelRollout, type RolloutLimits, type RolloutOrder } from './model-rollout.js';
import { targetVersion } from './version-catalogue.js';
import {
  DEFAULT_ROLLOUT_LIMITS,
  DEFAULT_ZONE_LOADS_AT_ONCE,
  type ModelControlStatus,
  type WeightControllerEffect,
  type WeightControllerOptions,
  type WeightControllerView,
} from './weight-controller-types.js';

export type {
  ModelControlStatus,
  WeightControllerEffect,
  WeightControllerOptions,
  WeightControllerView,
} from './weight-controller-types.js';

interface Control {
  readonly claim: EpochClaim;
  readonly rollout: ModelRollout;
  /** Whether the completion of the current target has been told. */
  complete: boolean;
}

/** The weight controller of one node. */
export class WeightController {
  private readonly controls = new Map<ModelName, Control>();
  private readonly modelOfWorker = new Map<WorkerId, ModelName>();
  private readonly limits: RolloutLimits;
  private readonly zoneLoadsAtOnce: number;
  private view: WeightControllerView | undefined;
  private modelCount = 1;

  constructor(private readonly options: WeightControllerOptions) {
    this.limits = { ...DEFAULT_ROLLOUT_LIMITS, ...options };
    this.zoneLoadsAtOnce = options.zoneLoadsAtOnce ?? DEFAULT_ZONE_LOADS_AT_ONCE;
  }

  /** Takes in the current view; cheap where its parts are the same objects as before. */
  update(view: WeightControllerView, now: Milliseconds): readonly WeightControllerEffect[] {
    const previous = this.view;
    this.view = view;
    const effects: WeightControllerEffect[] = [];
    const membersChanged = !sameNodes(previous?.liveInZone ?? [], view.liveInZone);
    if (membersChanged || previous?.workers !== view.workers) this.assignModels(view, now, effects);
    const configurationChanged = previous?.configuration !== view.configuration;
    if (configurationChanged || membersChanged) this.setTargets(view, now, effects);
    return effects;
  }

  /** Takes in a worker's report; reports of workers of other controllers are ignored. */
  workerReport(report: WorkerReport, now: Milliseconds): readonly WeightControllerEffect[] {
    const model = this.modelOfWorker.get(report.worker);
    const control = model === undefined ? undefined : this.controls.get(model);
    if (control === undefined) return [];
    control.rollout.report(report, now);
    return this.checkEpoch(control, report.epoch, now);
  }

  /** Takes in an order's result; unknown, late and repeated results are ignored. */
  orderResult(
    orderId: string,
    result: WorkerOrderResult,
    now: Milliseconds,
  ): readonly WeightControllerEffect[] {
    for (const control of this.controls.values()) {
      if (!control.rollout.orderResult(orderId, result, now)) continue;
      return result.kind === 'refused-epoch' ? this.checkEpoch(control, result.epoch, now) : [];
    }
    return [];
  }

  /** Takes in an answer of the key-value service. */
  keyValueResult(
    requestId: string,
    result: KeyValueResult,
    now: Milliseconds,
  ): readonly WeightControllerEffect[] {
    const effects: WeightControllerEffect[] = [];
    for (const { claim, rollout } of this.controls.values()) {
      const heldBefore = claim.epoch;
      const request = claim.result(requestId, result, now);
      if (request !== undefined) effects.push(requestEffect(request));
      const epoch = claim.epoch;
      if (epoch === undefined || epoch === heldBefore) continue;
      effects.push(stateChange('control-taken', rollout.model, { epoch }));
    }
    return effects;
  }

  /**
   * Sends what is due: claims, polls and orders. Call `update` first, so that a node which was
   * paused knows that its configuration is not fresh.
   */
  tick(now: Milliseconds): readonly WeightControllerEffect[] {
    const effects: WeightControllerEffect[] = [];
    const isFresh = this.view?.configurationFresh ?? false;
    const loadsAtOnce = Math.max(1, Math.floor(this.zoneLoadsAtOnce / this.modelCount));
    for (const control of this.controls.values()) {
      const { claim, rollout } = control;
      const request = isFresh ? claim.tick(now) : undefined;
      if (request !== undefined) effects.push(requestEffect(request));
      for (const worker of rollout.duePolls(now)) effects.push({ kind: 'poll', worker });
      const epoch = claim.epoch;
      if (epoch === undefined) continue;
      for (const order of rollout.dueOrders(loadsAtOnce, isFresh, now)) {
        effects.push(orderEffect(order, epoch));
      }
      this.tellCompletion(control, now, effects);
    }
    return effects;
  }

  /** Models whose controller this node believes to be. */
  controlledModels(): readonly ModelName[] {
    return [...this.controls.keys()];
  }

  /** Where each controlled model stands. */
  status(now: Milliseconds): readonly ModelControlStatus[] {
    return [...this.controls.values()].map(({ claim, rollout }) => ({
      model: rollout.model,
      epoch: claim.epoch,
      ...rollout.progress(now),
    }));
  }

  private assignModels(
    view: WeightControllerView,
    now: Milliseconds,
    effects: WeightControllerEffect[],
  ): void {
    const workersOf = groupByModel(view.workers);
    this.modelCount = Math.max(1, workersOf.size);
    this.modelOfWorker.clear();
    for (const model of this.controls.keys()) {
      if (!workersOf.has(model) || !this.isController(model, view)) this.drop(model, effects);
    }
    for (const [model, workers] of workersOf) {
      if (!this.isController(model, view)) continue;
      this.controlOf(model, view, now).rollout.setWorkers(workers, now);
      for (const worker of workers) this.modelOfWorker.set(worker.worker, model);
    }
  }

  private isController(model: ModelName, view: WeightControllerView): boolean {
    const key = controllerKey(this.options.self.zone, model);
    const first = rendezvousFirst(key, view.liveInZone, (node) => node.node);
    return first !== undefined && sameIdentity(first, this.options.self);
  }

  private controlOf(model: ModelName, view: WeightControllerView, now: Milliseconds): Control {
    const known = this.controls.get(model);
    if (known !== undefined) return known;
    const { self, random } = this.options;
    const control: Control = {
      claim: new EpochClaim(controllerKey(self.zone, model), self, random),
      rollout: new ModelRollout(model, this.limits, random),
      complete: false,
    };
    control.rollout.setTarget(targetVersion(view.configuration, model, self.zone), now);
    this.controls.set(model, control);
    return control;
  }

  private drop(model: ModelName, effects: WeightControllerEffect[]): void {
    this.controls.delete(model);
    effects.push(stateChange('control-lost', model, { reason: 'not first in the zone' }));
  }

  private setTargets(
    view: WeightControllerView,
    now: Milliseconds,
    effects: WeightControllerEffect[],
  ): void {
    for (const [model, control] of this.controls) {
      const target = targetVersion(view.configuration, model, this.options.self.zone);
      if (!control.rollout.setTarget(target, now)) continue;
      control.complete = false;
      effects.push(stateChange('rollout-started', model, { version: target ?? 0 }));
    }
  }

  private checkEpoch(
    control: Control,
    seenEpoch: number,
    now: Milliseconds,
  ): readonly WeightControllerEffect[] {
    const epoch = control.claim.epoch;
    if (epoch === undefined || seenEpoch <= epoch) return [];
    control.claim.standDown(seenEpoch, now);
    control.rollout.forgetOrders();
    return [stateChange('control-lost', control.rollout.model, { epoch, seenEpoch })];
  }

  private tellCompletion(
    control: Control,
    now: Milliseconds,
    effects: WeightControllerEffect[],
  ): void {
    if (control.complete) return;
    const progress = control.rollout.progress(now);
    if (progress.target === undefined || progress.reachable === 0) return;
    if (progress.active < progress.reachable) return;
    control.complete = true;
    const { target: version, active } = progress;
    effects.push(stateChange('rollout-complete', control.rollout.model, { version, active }));
  }
}

function requestEffect(request: ClaimRequest): WeightControllerEffect {
  return { kind: 'key-value', ...request };
}

function orderEffect(order: RolloutOrder, epoch: number): WeightControllerEffect {
  const { orderId, worker, action } = order;
  return { kind: 'worker-order', orderId, worker, order: { epoch, action } };
}

function groupByModel(workers: readonly WorkerRecord[]): Map<ModelName, WorkerRecord[]> {
  const groups = new Map<ModelName, WorkerRecord[]>();
  for (const worker of workers) {
    const group = groups.get(worker.model);
    if (group === undefined) groups.set(worker.model, [worker]);
    else group.push(worker);
  }
  return groups;
}

function sameNodes(left: readonly NodeRecord[], right: readonly NodeRecord[]): boolean {
  if (left === right) return true;
  if (left.length !== right.length) return false;
  return left.every((node, position) => {
    const other = right[position];
    return other !== undefined && sameIdentity(node, other);
  });
}

function stateChange(
  change: Extract<WeightControllerEffect, { kind: 'state-change' }>['change'],
  model: ModelName,
  details: ChangeDetails,
): WeightControllerEffect {
  return { kind: 'state-change', change, details: { model, ...details } };
}
