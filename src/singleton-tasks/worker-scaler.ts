/**
 * Orders the number of workers that a scaled service has in each zone. A policy sets the number; the
 * scaler sends one order per change, and repeats it if the call fails or the workers do not arrive.
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

/** Time beyond the boot time of a worker before missing workers are ordered again. */
const ARRIVAL_MARGIN: Milliseconds = 6_000;

/** Decides the number of workers of a service in each zone. */
export interface ScalingPolicy {
  /** `present` returns the registered workers of a zone; zones missing from the result are skipped. */
  desiredWorkers(
    limits: ScalingLimits,
    present: (zone: ZoneName) => number,
  ): ReadonlyMap<ZoneName, number>;
}

export interface WorkerScalerOptions {
  readonly port: CloudPort;
  readonly lock: SingletonTaskLock;
  readonly policy: ScalingPolicy;
  readonly services: () => readonly Service[];
  readonly registry: WorkerRegistry;
  /** Whether a zone is evacuated; no workers are ordered there meanwhile. @default no zone is */
  readonly isEvacuated?: (zone: ZoneName) => boolean;
  readonly node: NodeId;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** The last order for one service in one zone. */
interface PlacedOrder {
  readonly desiredCount: number;
  /** Steady time at which the order was accepted or rejected as invalid; `undefined` before. */
  acceptedAt: Milliseconds | undefined;
}

/** Sends orders while this node holds the lock. */
export class WorkerScaler {
  private readonly lastOrders = new Map<string, PlacedOrder>();
  private readonly backoff = new CloudCallBackoff();
  private isOrdering = false;

  constructor(private readonly options: WorkerScalerOptions) {}

  /** Sends at most one order. */
  tick(): void {
    const { lock, clock } = this.options;
    if (this.isOrdering || !this.backoff.isDue(clock.now())) return;
    if (lock.fencingToken() === undefined) {
      // Another holder may order something else meanwhile.
      this.lastOrders.clear();
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
      const availableIn = (zone: ZoneName): number => this.countAvailable(service.name, zone);
      for (const [zone, desiredCount] of policy.desiredWorkers(scaling, availableIn)) {
        if (!isEvacuated(zone) && this.isDue(service.name, zone, desiredCount, scaling)) {
          return { service: service.name, zone, desiredCount };
        }
      }
    }
    return undefined;
  }

  private isDue(
    service: string,
    zone: ZoneName,
    desiredCount: number,
    limits: ScalingLimits,
  ): boolean {
    const placed = this.lastOrders.get(keyOf(service, zone));
    if (placed?.desiredCount !== desiredCount || placed.acceptedAt === undefined) return true;
    const arrivalTime = limits.bootTime + ARRIVAL_MARGIN;
    if (this.options.clock.now() - placed.acceptedAt < arrivalTime) return false;
    return this.countAvailable(service, zone) < desiredCount;
  }

  private countAvailable(service: string, zone: ZoneName): number {
    const workers = this.options.registry.available(service);
    return workers.filter(({ record }) => record.zone === zone).length;
  }

  private async send(order: WorkerOrder): Promise<void> {
    const { port, lock, node, clock, log, metrics } = this.options;
    const fencingToken = lock.beginOrder();
    if (fencingToken === undefined) return;
    const { service, zone, desiredCount } = order;
    const availableCount = this.countAvailable(service, zone);
    const caller = { holder: node, fencingToken };
    const outcome = await port.orderWorkers(order, caller).finally(() => lock.endOrder());
    metrics.count('duty_calls', { duty: 'scaling', outcome });
    const details = {
      service,
      workerZone: zone,
      wanted: desiredCount,
      present: availableCount,
      fencingToken,
      outcome,
    };
    log.state('workers-ordered', details);
    if (outcome === 'superseded') lock.noteRefused(fencingToken);
    const isSettled = outcome === 'accepted' || outcome === 'refused';
    const acceptedAt = isSettled ? clock.now() : undefined;
    this.lastOrders.set(keyOf(service, zone), { desiredCount, acceptedAt });
    if (isSettled) this.backoff.noteSuccess();
    else this.backoff.noteFailure(clock.now());
  }
}

function keyOf(service: string, zone: ZoneName): string {
  return `${service}/${zone}`;
}
