/**
 * Simulates the return of a zone of cold workers while the others are overloaded, one gateway is
 * suspended and the granter is killed.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { type SendRule, SendRules } from '../../src/placement/send-rules.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { worker } from '../serving/serving-fixtures.js';
import { COLD_START, ColdGateway, HARD_BOUND } from './cold-fleet.js';
import { SharedRate } from './shared-rate.js';

/** Protection of cold workers: none, few senders that share the rate, or permits. */
export type ProtectionMode = 'none' | 'shares' | 'permits';

/** Outcomes of the callers, and load on cold workers. */
export interface ReturnOutcome {
  servedInTime: number;
  servedLate: number;
  /** Waited longer than {@link LONG_WAIT} for a slot. */
  waited: number;
  refused: number;
  /** Cold workers that crashed under more requests than they tolerate. */
  crashed: number;
  maxPerSecond: number;
  /** Requests to workers while they were cold. */
  sentToCold: number;
}

const STEP: Milliseconds = 10;
const END: Milliseconds = 15_000;
const ZONES = ['zone-1', 'zone-2', 'zone-3', 'zone-4'];
const WORKERS_OF_ZONE = 8;
const SLOTS = 6;
const GATEWAY_COUNT = 4;
const WORK: Milliseconds = 300;
const ON_TIME_LIMIT: Milliseconds = 600;
const LONG_WAIT: Milliseconds = 100;
const CALLER_TIMEOUT: Milliseconds = 2_000;
/** 600 requests a second; three zones have capacity for 480, four for 640. */
const REQUESTS_PER_STEP = 6;
const RETURN_AT: Milliseconds = 1_000;
const RESTART_TIME: Milliseconds = 2_000;
const GRANTER = 0;
const GRANTER_KILLED_AT: Milliseconds = 2_500;
/** Time at which another gateway acquires the lock, after the lease expired. */
const NEXT_GRANTER_AT: Milliseconds = 4_500;
const SUSPENDED = 3;
const SUSPENSION = { from: 1_800, to: 2_600 } as const;
const MEMBERSHIP_DELAY: Milliseconds = 1_000;
const ANSWER_DELAY: Milliseconds = 20;
const PERMIT_REQUEST_INTERVAL: Milliseconds = 100;

interface Request {
  readonly arrivedAt: Milliseconds;
  readonly gateway: number;
}

interface PermitsInFlight {
  readonly gateway: number;
  readonly at: Milliseconds;
  readonly apply: () => void;
}

class Worker {
  running: { readonly request: Request; readonly endsAt: Milliseconds }[] = [];
  sentWhileCold: Milliseconds[] = [];
  constructor(
    readonly record: WorkerRecord,
    public coldUntil: Milliseconds,
    public downUntil: Milliseconds,
  ) {}
}

export function simulateReturn(mode: ProtectionMode): ReturnOutcome {
  return new ZoneReturn(mode).run();
}

class ZoneReturn {
  private now: Milliseconds = 0;
  private arrived = 0;
  private waiting: Request[] = [];
  private readonly workers: Worker[] = [];
  private readonly gateways: ColdGateway[];
  private readonly rules: SendRules[];
  private readonly nextRequestAt = Array.from({ length: GATEWAY_COUNT }, () => 0);
  private answers: PermitsInFlight[] = [];
  private readonly outcome: ReturnOutcome = {
    ...{ servedInTime: 0, servedLate: 0, waited: 0, refused: 0 },
    ...{ crashed: 0, maxPerSecond: 0, sentToCold: 0 },
  };

  constructor(private readonly mode: ProtectionMode) {
    const records = new Map<string, WorkerRecord>();
    for (const zone of ZONES) {
      const isAway = zone === ZONES.at(-1);
      for (let index = 0; index < WORKERS_OF_ZONE; index += 1) {
        const coldFor = isAway ? COLD_START.duration : 0;
        const record = worker(`${zone}-${index}`, { zone, slots: SLOTS, coldFor });
        records.set(record.id, record);
        const coldUntil = isAway ? RETURN_AT + COLD_START.duration : 0;
        this.workers.push(new Worker(record, coldUntil, isAway ? RETURN_AT : 0));
      }
    }
    this.gateways = Array.from({ length: GATEWAY_COUNT }, () => new ColdGateway(records));
    this.rules = this.gateways.map((gateway, index) => new SendRules(this.rulesOf(gateway, index)));
    this.startGateways();
  }

  private rulesOf(gateway: ColdGateway, index: number): SendRule[] {
    if (this.mode === 'none') return [];
    if (this.mode === 'permits') return [gateway.rule];
    return [new SharedRate(gateway, `g${index}`, () => this.visibleGateways())];
  }

  /** Puts all gateways in a steady state, long after their start, with the first as the granter. */
  private startGateways(): void {
    for (const [index, gateway] of this.gateways.entries()) {
      if (index === GRANTER) gateway.token = 1;
      gateway.granter.refreshState();
      gateway.warmth.noteListed();
      for (const { record, downUntil } of this.workers) {
        if (downUntil === 0) gateway.warmth.noteRecord(record);
      }
      gateway.clock.time += 60_000;
    }
  }

  run(): ReturnOutcome {
    for (; this.now < END; this.now += STEP) {
      this.passTime();
      this.applyReturnedRecords();
      this.updateGranter();
      this.acceptRequests();
      this.finishWork();
      this.dispatch();
      this.requestMissingPermits();
    }
    return this.outcome;
  }

  private isAlive(index: number): boolean {
    return index !== GRANTER || this.now < GRANTER_KILLED_AT;
  }

  private isUp(index: number): boolean {
    if (!this.isAlive(index)) return false;
    return index !== SUSPENDED || this.now < SUSPENSION.from || this.now >= SUSPENSION.to;
  }

  private visibleGateways(): string[] {
    const isGranterRemoved = this.now >= GRANTER_KILLED_AT + MEMBERSHIP_DELAY;
    return this.gateways.map((_, index) => `g${index}`).slice(isGranterRemoved ? 1 : 0);
  }

  /** Advances the clocks; for a suspended machine, the suspended time instead. */
  private passTime(): void {
    for (const [index, { clock }] of this.gateways.entries()) {
      if (this.isUp(index)) clock.time += STEP;
      else clock.suspended += STEP;
    }
  }

  /** Each gateway reads the new records a little later than the previous one. */
  private applyReturnedRecords(): void {
    for (const [index, { warmth }] of this.gateways.entries()) {
      if (this.now !== RETURN_AT + 100 * index) continue;
      for (const { record, downUntil } of this.workers) {
        if (downUntil !== 0) warmth.noteRecord(record);
      }
    }
  }

  private updateGranter(): void {
    const successor = this.gateways[GRANTER + 1];
    if (this.now === NEXT_GRANTER_AT && successor !== undefined) successor.token = 2;
    for (const [index, gateway] of this.gateways.entries()) {
      if (this.isUp(index)) gateway.granter.refreshState();
    }
  }

  private acceptRequests(): void {
    for (let count = 0; count < REQUESTS_PER_STEP; count += 1) {
      const gatewayInTurn = this.arrived % GATEWAY_COUNT;
      this.arrived += 1;
      const gateway = this.isAlive(gatewayInTurn) ? gatewayInTurn : gatewayInTurn + 1;
      this.waiting.push({ arrivedAt: this.now, gateway });
    }
  }

  private finishWork(): void {
    for (const worker of this.workers) {
      const finished = worker.running.filter(({ endsAt }) => endsAt <= this.now);
      worker.running = worker.running.filter(({ endsAt }) => endsAt > this.now);
      for (const { request } of finished) {
        if (this.now - request.arrivedAt <= ON_TIME_LIMIT) this.outcome.servedInTime += 1;
        else this.outcome.servedLate += 1;
      }
    }
  }

  private dispatch(): void {
    const left: Request[] = [];
    for (const request of this.waiting) {
      if (this.now - request.arrivedAt > CALLER_TIMEOUT) this.outcome.refused += 1;
      else if (!this.isUp(this.ownerOf(request)) || !this.start(request)) left.push(request);
    }
    this.waiting = left;
  }

  /** Another gateway takes over the work of a killed gateway at once. */
  private ownerOf({ gateway }: Request): number {
    return this.isAlive(gateway) ? gateway : gateway + 1;
  }

  private start(request: Request): boolean {
    const owner = this.ownerOf(request);
    const isKnown = (worker: Worker): boolean =>
      worker.downUntil === 0 || this.now >= RETURN_AT + 100 * owner;
    const free = this.workers.filter(
      (worker) => worker.running.length < SLOTS && this.now >= worker.downUntil && isKnown(worker),
    );
    free.sort((left, right) => left.running.length - right.running.length);
    const best = free.find(
      (worker) => this.rules[owner]?.admit(worker.record, undefined) === undefined,
    );
    if (best === undefined) return false;
    if (this.now - request.arrivedAt > LONG_WAIT) this.outcome.waited += 1;
    best.running.push({ request, endsAt: this.now + WORK });
    if (this.now < best.coldUntil) this.noteSentToCold(best);
    return true;
  }

  private noteSentToCold(worker: Worker): void {
    worker.sentWhileCold.push(this.now);
    const within = worker.sentWhileCold.filter((at) => at >= this.now - 1_000).length;
    this.outcome.sentToCold += 1;
    this.outcome.maxPerSecond = Math.max(this.outcome.maxPerSecond, within);
    if (within > HARD_BOUND) this.crash(worker);
  }

  private crash(worker: Worker): void {
    this.outcome.crashed += 1;
    this.waiting.push(...worker.running.map(({ request }) => request));
    worker.running = [];
    worker.sentWhileCold = [];
    worker.downUntil = this.now + RESTART_TIME;
    worker.coldUntil = worker.downUntil + COLD_START.duration;
  }

  private requestMissingPermits(): void {
    if (this.mode !== 'permits') return;
    for (const [index, gateway] of this.gateways.entries()) {
      if (!this.isUp(index)) continue;
      this.applyAnswers(index);
      if (!gateway.needsPermits || this.now < (this.nextRequestAt[index] ?? 0)) continue;
      this.nextRequestAt[index] = this.now + PERMIT_REQUEST_INTERVAL;
      this.requestPermits(gateway, index);
    }
  }

  private requestPermits(gateway: ColdGateway, index: number): void {
    const granter = this.now < NEXT_GRANTER_AT ? GRANTER : GRANTER + 1;
    gateway.needsPermits = false;
    const requests = gateway.rule.takeRequests();
    if (!this.isUp(granter)) return;
    const delay = granter === index ? 0 : ANSWER_DELAY;
    const sentAt = gateway.clock.now() + gateway.clock.suspendedTime();
    const answer = this.gateways[granter]?.granter.answer(requests);
    if (answer === undefined) return;
    const apply = (): void => void gateway.applyAnswer(answer, sentAt);
    this.answers.push({ gateway: index, at: this.now + delay, apply });
  }

  private applyAnswers(index: number): void {
    const mine = this.answers.filter((answer) => answer.gateway === index && answer.at <= this.now);
    this.answers = this.answers.filter((answer) => !mine.includes(answer));
    for (const { apply } of mine) apply();
  }
}
