/**
 * Callers of the soak whose requests end each worker that begins them. They come again and again,
 * under a new id at any gateway, as callers do that only see that their worker failed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { LOOKUP_LIMIT, performCall } from './soak-call.js';
import type { CallerSurroundings } from './soak-callers.js';
import { LETHAL_PREFIX } from './worker-stand-in.js';

/** Tries of one request, and the pauses between them. */
const TRIES = 40;
const SHORTEST_PAUSE: Milliseconds = 100;
const LONGEST_PAUSE: Milliseconds = 900;

/** Asks until told to stop. */
export class SoakLethalCallers {
  private isStopped = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly surroundings: CallerSurroundings) {}

  /** Begins to ask. */
  start(): void {
    this.loop = this.run();
  }

  /** Asks no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
  }

  /** One request after the other, each until its tries are used up. */
  private async run(): Promise<void> {
    const { random } = this.surroundings;
    while (!this.isStopped) {
      const path = `${LETHAL_PREFIX}${random.identifier()}`;
      for (let count = 0; count < TRIES && !this.isStopped; count += 1) {
        await this.tryOnce(path);
        const pause = SHORTEST_PAUSE + random.fraction() * (LONGEST_PAUSE - SHORTEST_PAUSE);
        await sleep(pause);
      }
    }
  }

  private async tryOnce(path: string): Promise<void> {
    const { checker, offered, random, keys, addresses } = this.surroundings;
    const all = addresses();
    const id = random.identifier();
    checker.requestOffered(id, 'brokers');
    offered.note({ id, method: 'POST', path, body: Buffer.from('lethal') });
    const answer = await performCall({
      address: all[random.integer(all.length)] ?? '',
      method: 'POST',
      path,
      id,
      key: keys.currentKey('brokers'),
      body: 'lethal',
      wait: undefined,
      limit: LOOKUP_LIMIT,
    });
    if (answer !== undefined) checker.lethalAnswered(path, answer.status);
  }
}
