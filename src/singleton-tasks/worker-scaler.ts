/**
 * Orders how many workers a service has in each zone, where the operator's configuration lets it be
 * chosen. A policy says how many; this module sends the orders, once for each change, and again
 * where a call was lost or the workers do not come.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ScalingLimits, Service } from '../serving/traffic-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { CloudCallBackoff } from './cloud-call-backoff.js';
import type { CloudPort, WorkerOrder } from './cloud-port.js';
import type { SingletonTaskLock } from './singleton-task-lock.js';

/** Time beyond the start of a worker in which ordered workers have to show. */
const ARRIVAL_MARGIN: Milliseconds = 6_000;

/** How many workers a service is to have in each zone. */
export interface ScalingPolicy {
  /** `present` tells how many are registered in a zone; zones that are left out are not ordered. */
  wanted(limits: ScalingLimits, present: (zone: ZoneName) => number): ReadonlyMap<ZoneName, number>;
}

/** Options of {@link WorkerScaler}. */
export interface WorkerScalerOptions {
  readonly port: CloudPort;
  readonly lock: SingletonTaskLock;
  readonly policy: ScalingPolicy;
  readonly services: () => readonly Service[];
  readonly registry: WorkerRegistry;
  /**
   * Whether the workers of a zone are sent no work for the time being: none is ordered there until they
   * are again. @default none is evacuated
   */
  readonly isEvacuated?: (zone: ZoneName) => boolean;
  readonly node: NodeId;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** What was ordered of one service in one zone. */
interface PlacedOrder {
  readonly wanted: number;
  /** Steady time of the accepted order; `undefined` until one is. */
  acceptedAt: Milliseconds | undefined;
}

/** Sends orders while this node holds the duty. */
export class WorkerScaler {
  private readonly placed = new Map<string, PlacedOrder>();
  private readonly retry = new CloudCallBackoff();
  private isOrdering = false;

  constructor(private readonly options: WorkerScalerOptions) {}

  /** Sends one order, if one is due. */
  tick(): void {
    const { lock, clock } = this.options;
    if (this.isOrdering || !this.retry.isDue(clock.now())) return;
    if (lock.fencingToken() === undefined) {
      // Whoever acts meanwhile may order something else.
      this.placed.clear();
      return;
    }
    const order = this.dueOrder();
    if (order === undefined) return;
    this.isOrdering = true;
    void this.send(order).finally(() => {
      this.isOrdering = false;
    });
  }

  private dueOrder(): WorkerOrder | undefined {
    const { policy, services, isEvacuated = () => false } = this.options;
    for (const service of services()) {
      const { scaling } = service;
      if (scaling === undefined) continue;
      const present = (zone: ZoneName): number => this.present(service.name, zone);
      for (const [zone, wanted] of policy.wanted(scaling, present)) {
        if (!isEvacuated(zone) && this.isDue(service.name, zone, wanted, scaling)) {
          return { service: service.name, zone, wanted };
        }
      }
    }
    return undefined;
  }

  private isDue(service: string, zone: ZoneName, wanted: number, limits: ScalingLimits): boolean {
    const placed = this.placed.get(keyOf(service, zone));
    if (placed?.wanted !== wanted || placed.acceptedAt === undefined) return true;
    const arrivalTime = limits.bootTime + ARRIVAL_MARGIN;
    if (this.options.clock.now() - placed.acceptedAt < arrivalTime) return false;
    return this.present(service, zone) < wanted;
  }

  private present(service: string, zone: ZoneName): number {
    const workers = this.options.registry.available(service);
    return workers.filter(({ record }) => record.zone === zone).length;
  }

  private async send(order: WorkerOrder): Promise<void> {
    const { port, lock, node, clock, log, metrics } = this.options;
    const fencingToken = lock.beginOrder();
    if (fencingToken === undefined) return;
    const { service, zone, wanted } = order;
    const present = this.present(service, zone);
    const stamp = { holder: node, fencingToken };
    const outcome = await port.orderWorkers(order, stamp).finally(() => lock.endOrder());
    metrics.count('duty_calls', { duty: 'scaling', outcome });
    const details = { service, workerZone: zone, wanted, present, fencingToken, outcome };
    log.state('workers-ordered', details);
    if (outcome === 'superseded') lock.noteRefused(fencingToken);
    const isSettled = outcome === 'accepted' || outcome === 'refused';
    const acceptedAt = isSettled ? clock.now() : undefined;
    this.placed.set(keyOf(service, zone), { wanted, acceptedAt });
    if (isSettled) this.retry.noteSuccess();
    else this.retry.noteFailure(clock.now());
  }
}

function keyOf(service: string, zone: ZoneName): string {
  return `${service}/${zone}`;
}
