/**
 * Faults that take a part of its calls from a gateway, drawn from a seed beside the other faults: the
 * store doesn't answer its reads or its watches while its lease is renewed, or the links between the
 * regions carry nothing. Configurations change meanwhile.
 */
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { drawFrom, type StruckGroup } from './store-faults.js';

/** What is taken away; `held` calls get no answer, `refused` ones get 503. */
export type PartialEffect =
  | 'reads-held'
  | 'reads-refused'
  | 'watches-held'
  | 'watches-refused'
  | 'region-links-silent';

/** Which gateways are struck; `relay` reads the store for a zone, and `relays` are those of all. */
export type PartialGroup = StruckGroup | 'relay' | 'relays';

/** One fault. */
export interface PartialFault {
  readonly effect: PartialEffect;
  readonly struck: PartialGroup;
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Picks the zone and the gateways; taken modulo their number, and the same in one episode. */
  readonly target: number;
  /** Times after its begin at which the configuration changes; at the first one of an episode. */
  readonly changesAfter: readonly Milliseconds[];
}

/** What may be drawn for a kind of faults. */
interface PartialChoices {
  readonly effects: readonly PartialEffect[];
  readonly groups: readonly PartialGroup[];
}

export const READS: PartialChoices = {
  effects: ['reads-held', 'reads-held', 'reads-refused'],
  groups: ['job-owner', 'half', 'zone', 'zone', 'zone-but-one'],
};

/** Reads of gateways whose jobs the other region can't ask them about. */
const READS_BEHIND_LINKS: PartialChoices = { ...READS, groups: ['zone', 'zone', 'job-owner'] };

export const WATCHES: PartialChoices = {
  effects: ['watches-held', 'watches-held', 'watches-refused'],
  groups: ['relay', 'relay', 'relays', 'half', 'zone-but-one'],
};

export const REGION_LINKS: PartialChoices = {
  effects: ['region-links-silent'],
  groups: ['all', 'all', 'zone', 'zone', 'half'],
};

/** Faults that come together. */
const EPISODES: readonly (readonly PartialChoices[])[] = [
  [READS],
  [WATCHES],
  [READS_BEHIND_LINKS, REGION_LINKS],
  [REGION_LINKS, READS_BEHIND_LINKS],
  [REGION_LINKS, READS_BEHIND_LINKS],
  [REGION_LINKS, WATCHES],
  [WATCHES, REGION_LINKS],
  [READS, WATCHES],
  [WATCHES, READS_BEHIND_LINKS, REGION_LINKS],
];

/** Bounds of the duration of a fault; several that come together leave time for what is due meanwhile. */
export const SHORTEST_PARTIAL: Milliseconds = 2_000;
const SHORTEST_TOGETHER: Milliseconds = 6_500;
export const LONGEST_PARTIAL: Milliseconds = 8_000;

/** Time between the faults of one episode, and between two episodes. */
const LONGEST_OFFSET: Milliseconds = 1_000;
const SHORTEST_PAUSE: Milliseconds = 1_000;
const LONGEST_PAUSE: Milliseconds = 4_000;

/** Time between two changes of the configuration; each is in force everywhere before the next. */
export const SHORTEST_CHANGE_PAUSE: Milliseconds = 2_600;
const LONGEST_CHANGE_PAUSE: Milliseconds = 3_800;

/** Draws the faults between two times, in order; the same seed and times give the same ones. */
export function planPartialFaults(
  seed: number,
  from: Milliseconds,
  until: Milliseconds,
): PartialFault[] {
  const random = createRandomSource(seed);
  const between = (least: Milliseconds, most: Milliseconds): Milliseconds =>
    Math.round(least + random.fraction() * (most - least));
  const faults: PartialFault[] = [];
  let begin = from + between(0, LONGEST_PAUSE);
  for (;;) {
    const target = random.integer(1_000);
    const choices = drawFrom(EPISODES, random);
    const shortest = choices.length > 1 ? SHORTEST_TOGETHER : SHORTEST_PARTIAL;
    const episode = choices.map(({ effects, groups }, index): PartialFault => {
      const at = begin + (index === 0 ? 0 : between(0, LONGEST_OFFSET));
      const duration = between(shortest, LONGEST_PARTIAL);
      const effect = drawFrom(effects, random);
      const struck = drawFrom(groups, random);
      const changesAfter: Milliseconds[] = [];
      const firstChange = between(0, LONGEST_OFFSET);
      for (let after = firstChange; index === 0 && after < duration; ) {
        changesAfter.push(after);
        after += between(SHORTEST_CHANGE_PAUSE, LONGEST_CHANGE_PAUSE);
      }
      return { effect, struck, at, duration, target, changesAfter };
    });
    const end = Math.max(...episode.map(({ at, duration }) => at + duration));
    if (end > until) return faults;
    faults.push(...episode.sort((left, right) => left.at - right.at));
    begin = end + between(SHORTEST_PAUSE, LONGEST_PAUSE);
  }
}
