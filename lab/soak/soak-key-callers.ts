/** Callers of the soak that ask with keys that were just added, or taken away some time ago. */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { LOOKUP_LIMIT, LOOKUP_PREFIX, performCall, type SoakAnswer } from './soak-call.js';
import type { CallerSurroundings } from './soak-callers.js';

/** Time after which a key that was taken away is of no use at any calm gateway. */
const REVOCATION_LIMIT: Milliseconds = 3_000;
const REVOKED_INTERVAL: Milliseconds = 150;

/** Time in which a new configuration has to be in force at a calm gateway, and the way of a call. */
const CHANGE_LIMIT: Milliseconds = 2_100;
const NEW_KEY_INTERVAL: Milliseconds = 100;

/** Asks until told to stop. */
export class SoakKeyCallers {
  private isStopped = false;
  /** Connections that stay open until their gateway is gone. */
  private readonly kept = new http.Agent({ keepAlive: true });
  private readonly newKeyCalls = new Set<Promise<void>>();
  private loops: Promise<void>[] = [];

  constructor(private readonly surroundings: CallerSurroundings) {}

  /** Begins to ask. */
  start(): void {
    this.loops = [this.revokedLookups(), this.newKeyLookups()];
  }

  /** Asks no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
    this.kept.destroy();
  }

  /** Asks with keys that were taken away some time ago; nothing may run for them. */
  private async revokedLookups(): Promise<void> {
    const { checker, random, keys, calmAddresses } = this.surroundings;
    while (!this.isStopped) {
      await sleep(REVOKED_INTERVAL);
      const age = keys.timeSinceRotation;
      const calm = calmAddresses();
      const address = calm[random.integer(Math.max(1, calm.length))];
      if (address === undefined || age < REVOCATION_LIMIT) continue;
      const id = random.identifier();
      const key = keys.revokedKey('brokers');
      const answer = await this.look(address, id, key);
      if (answer !== undefined) checker.revokedKeyAnswered(answer.status, age);
    }
  }

  /** Asks all gateways with keys that were just added, over kept connections. */
  private async newKeyLookups(): Promise<void> {
    const { keys, calmAddresses, addresses, rejectsOnlyWhenCurrent } = this.surroundings;
    while (!this.isStopped) {
      await sleep(NEW_KEY_INTERVAL);
      if (keys.timeSinceRotation < CHANGE_LIMIT) continue;
      const calm = calmAddresses();
      for (const address of rejectsOnlyWhenCurrent ? addresses() : calm) {
        const isCalm = calm.includes(address);
        const call = this.askWithNewKey(address, isCalm).finally(() =>
          this.newKeyCalls.delete(call),
        );
        this.newKeyCalls.add(call);
      }
    }
    await Promise.all(this.newKeyCalls);
  }

  /** A calm gateway has to serve the key; the others may only not refuse it for good. */
  private async askWithNewKey(address: string, isCalm: boolean): Promise<void> {
    const { checker, random, keys, evacuations } = this.surroundings;
    const id = random.identifier();
    checker.requestOffered(id, 'brokers');
    evacuations.requestOffered(id, address);
    const age = keys.timeSinceRotation;
    const key = keys.newestKey('brokers');
    const answer = await this.look(address, id, key, this.kept);
    // A configuration may have taken the key away while the call was under way.
    if (answer === undefined || !keys.holds('brokers', key)) return;
    if (isCalm) checker.newKeyAnswered(address, answer.status, age);
    else checker.keyInForceAnswered(address, answer.status, age);
  }

  private look(
    address: string,
    id: string,
    key: string,
    agent?: http.Agent,
  ): Promise<SoakAnswer | undefined> {
    const path = `${LOOKUP_PREFIX}${id}`;
    const body = `question-${id}`;
    this.surroundings.offered.note({ id, method: 'POST', path, body: Buffer.from(body) });
    return performCall({
      address,
      method: 'POST',
      path,
      id,
      key,
      body,
      wait: undefined,
      limit: LOOKUP_LIMIT,
      ...(agent === undefined ? {} : { agent }),
    });
  }
}
