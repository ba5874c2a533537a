/**
 * Evacuations of zones during a soak, drawn from a seed beside the faults, and the check that nothing
 * reaches a worker there later than the bound, from a gateway to which nothing happened. Items are sent
 * by whichever gateway owns their job, and are checked while nothing happens to any gateway.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { KEY_PREFIXES } from '../../platform/names.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { SharedStoreEmulator } from '../emulator/shared-store-emulator.js';
import { QUIET_END, QUIET_START } from './fault-schedule.js';
import type { PromiseChecker } from './promise-checker.js';

/** Time in which an evacuation has to be in force; the gateways' settings say the same. */
export const EVACUATION_BOUND: Milliseconds = 2_500;

const SHORTEST_PAUSE: Milliseconds = 1_000;
const LONGEST_PAUSE: Milliseconds = 4_000;
const SHORTEST_EVACUATION: Milliseconds = 2_000;
const LONGEST_EVACUATION: Milliseconds = 12_000;

/** One evacuation; the next begins after its end. */
export interface PlannedEvacuation {
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Picks the zone; taken modulo their number. */
  readonly target: number;
}

/** Draws the evacuations; the same seed and length give the same ones. */
export function planEvacuations(seed: number, length: Milliseconds): PlannedEvacuation[] {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const planned: PlannedEvacuation[] = [];
  let at = QUIET_START + between(SHORTEST_PAUSE, LONGEST_PAUSE);
  for (;;) {
    const duration = between(SHORTEST_EVACUATION, LONGEST_EVACUATION);
    if (at + duration > length - QUIET_END) return planned;
    planned.push({ at, duration, target: random.integer(1_000) });
    at += duration + between(SHORTEST_PAUSE, LONGEST_PAUSE);
  }
}

/** What evacuations need of the soak around them. */
export interface EvacuationSurroundings {
  readonly store: SharedStoreEmulator;
  readonly zones: readonly string[];
  readonly checker: Pick<PromiseChecker, 'evacuatedZoneReached'>;
  readonly now: () => Milliseconds;
  /** Whether nothing happens to any gateway, nor did lately. */
  readonly isCalm: () => boolean;
  /** Front addresses of gateways that nothing has happened to lately, whatever befell others. */
  readonly calmAddresses: () => readonly string[];
}

/** Evacuates zones, and checks what reaches their workers. */
export class SoakEvacuations {
  private evacuated: { readonly zone: string; readonly since: Milliseconds } | undefined;
  /** The gateways that were asked, by request. */
  private readonly askedAt = new Map<string, string>();

  constructor(private readonly surroundings: EvacuationSurroundings) {}

  /** Carries out what is planned. */
  async run(planned: readonly PlannedEvacuation[]): Promise<void> {
    const { store, zones, now } = this.surroundings;
    for (const { at, duration, target } of planned) {
      await sleep(Math.max(0, at - now()));
      const zone = zones[target % zones.length] ?? '';
      const key = `${KEY_PREFIXES.evacuate}${zone}`;
      store.write(key, '{}');
      this.evacuated = { zone, since: now() };
      await sleep(duration);
      this.evacuated = undefined;
      store.erase(key);
    }
  }

  /** A caller is about to ask a gateway. */
  requestOffered(request: string, address: string): void {
    this.askedAt.set(request, address);
  }

  /** A worker of a zone was sent a request. */
  requestArrived(request: string, zone: string): void {
    const { evacuated } = this;
    const { checker, now } = this.surroundings;
    if (evacuated?.zone !== zone || !this.isWithoutExcuse(request)) return;
    checker.evacuatedZoneReached(request, now() - evacuated.since);
  }

  /** Requests that were offered come from the gateway that was asked, others from any. */
  private isWithoutExcuse(request: string): boolean {
    const { isCalm, calmAddresses } = this.surroundings;
    const address = this.askedAt.get(request);
    return address === undefined ? isCalm() : calmAddresses().includes(address);
  }
}
