/** Gateways and workers of three zones, for tests of evacuations. */
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

/** Time in which an evacuation has to be in force at nodes in touch. */
export const EVACUATION_BOUND: Milliseconds = 700;

/** Time in which a configuration has to be; it sets how often nodes hear from each other. */
const CHANGE_BOUND: Milliseconds = 400;

export const ZONES: readonly ZoneName[] = ['zone-1', 'zone-2', 'zone-3'];

/** Workers that answer lookups at once and tell where they are. */
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

/** A fleet whose operator evacuates zones. */
export class EvacuationFleet {
  readonly joined: JoinedGateways;

  private constructor(timings: Partial<FleetTimings>) {
    this.joined = new JoinedGateways(new LookupWorkers(), {
      timings: { changeBound: CHANGE_BOUND, evacuationBound: EVACUATION_BOUND, ...timings },
    });
  }

  /** Two gateways and two workers in each of three zones. */
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
    await fleet.allSendTo(ZONES);
    return fleet;
  }

  get gateways(): readonly JoinedGateway[] {
    return this.joined.gateways;
  }

  /** The gateways of a zone. */
  of(zone: ZoneName): JoinedGateway[] {
    return this.gateways.filter((gateway) => gateway.zone === zone);
  }

  evacuate(zone: ZoneName): void {
    this.joined.store.write(`op/evacuate/${zone}`, '{}');
  }

  takeBack(zone: ZoneName): void {
    this.joined.store.erase(`op/evacuate/${zone}`);
  }

  /** Resolves, with the time that it took, once these gateways send work to just these zones. */
  async allSendTo(zones: readonly ZoneName[], gateways = this.gateways): Promise<Milliseconds> {
    const startedAt = performance.now();
    await eventually(() => gateways.every((one) => receivingZones(one).join() === zones.join()));
    return performance.now() - startedAt;
  }

  /** The zone of the worker that a lookup at a gateway came to; `undefined` where it is refused. */
  async lookUp(gateway: JoinedGateway): Promise<ZoneName | undefined> {
    const { body, failure } = await this.joined.ask(gateway, '/look/x', '');
    return failure === undefined ? body : undefined;
  }
}

/** The zones whose workers a gateway would send a lookup to. */
export function receivingZones({ node }: JoinedGateway): ZoneName[] {
  const receivers = node.registry.eligible(LOOKUP_SERVICE, undefined);
  return [...new Set(receivers.map(({ record }) => record.zone))].sort();
}

/** Whether a gateway wrote a line of this event. */
export function hasLogged({ lines }: JoinedGateway, event: string): boolean {
  return lines.some((line) => JSON.parse(line).msg === event);
}
