/** Gateways and workers in three zones, for tests of evacuations. */
import { Readable } from 'node:stream';
import type t from 'tap';
import {
  type JoinedGateway,
  JoinedGateways,
  LOOKUP_SERVICE,
} from '../../lab/emulator/joined-gateways.js';
import type { ZoneName } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { FleetTimings } from '../../src/fleet/gateway-options.js';
import type { EngineOutcome, EnginePort, EngineRequest } from '../../src/serving/engine-port.js';
import { eventually } from './fleet-fixtures.js';

/** Time limit for an evacuation to take effect at connected nodes. */
export const EVACUATION_BOUND: Milliseconds = 700;

/** Time limit for a configuration change; it sets the interval of contacts between nodes. */
const CHANGE_BOUND: Milliseconds = 400;

export const ZONES: readonly ZoneName[] = ['zone-1', 'zone-2', 'zone-3'];

/** Workers that answer lookups at once with their zone. */
class LookupWorkers implements EnginePort {
  async send(request: EngineRequest): Promise<EngineOutcome> {
    return {
      kind: 'answered',
      status: 200,
      headers: [],
      body: Readable.from([Buffer.from(request.worker.zone)]),
      isStream: false,
      weightVersion: undefined,
      signature: 'stamp',
      load: undefined,
      discard: () => {},
    };
  }
  async order(): Promise<'refused'> {
    return 'refused';
  }
  async report(): Promise<undefined> {
    return undefined;
  }
  async probeColdTime(): Promise<undefined> {
    return undefined;
  }
  async probeLiveness(): Promise<'lives'> {
    return 'lives';
  }
  forget(): void {}
}

/** A fleet in which tests evacuate zones. */
export class EvacuationFleet {
  readonly joined: JoinedGateways;

  private constructor(timings: Partial<FleetTimings>) {
    this.joined = new JoinedGateways(new LookupWorkers(), {
      timings: { changeBound: CHANGE_BOUND, evacuationBound: EVACUATION_BOUND, ...timings },
    });
  }

  /** Starts two gateways and two workers in each zone. */
  static async start(
    test: Pick<typeof t, 'teardown'>,
    timings: Partial<FleetTimings> = {},
  ): Promise<EvacuationFleet> {
    const fleet = new EvacuationFleet(timings);
    for (const zone of ZONES) {
      for (const letter of ['a', 'b']) fleet.joined.register(`${zone}-${letter}`, zone);
    }
    test.teardown(() => fleet.joined.stop());
    await fleet.joined.start(2 * ZONES.length, 2, ZONES.length);
    await fleet.joined.formed();
    await fleet.untilAllSendTo(ZONES);
    return fleet;
  }

  get gateways(): readonly JoinedGateway[] {
    return this.joined.gateways;
  }

  gatewaysIn(zone: ZoneName): JoinedGateway[] {
    return this.gateways.filter((gateway) => gateway.zone === zone);
  }

  evacuate(zone: ZoneName): void {
    this.joined.store.write(`op/evacuate/${zone}`, '{}');
  }

  endEvacuation(zone: ZoneName): void {
    this.joined.store.erase(`op/evacuate/${zone}`);
  }

  /** Resolves to the elapsed time once these gateways send work to exactly these zones. */
  async untilAllSendTo(
    zones: readonly ZoneName[],
    gateways = this.gateways,
  ): Promise<Milliseconds> {
    const startedAt = performance.now();
    await eventually(() => gateways.every((one) => receivingZones(one).join() === zones.join()));
    return performance.now() - startedAt;
  }

  /**
   * Sends a lookup; returns the zone of the worker that answers, or `undefined` if the lookup
   * fails.
   */
  async lookUp(gateway: JoinedGateway): Promise<ZoneName | undefined> {
    const { body, failure } = await this.joined.ask(gateway, '/look/x', '');
    return failure === undefined ? body : undefined;
  }
}

export function receivingZones({ node }: JoinedGateway): ZoneName[] {
  const receivers = node.registry.eligible(LOOKUP_SERVICE, undefined);
  return [...new Set(receivers.map(({ record }) => record.zone))].sort();
}

export function hasLogged({ lines }: JoinedGateway, event: string): boolean {
  return lines.some((line) => JSON.parse(line).msg === event);
}
