/**
 * Guards against different reports of one window under any mix of holders, outages and restarts.
 */
import * as fc from 'fast-check';
import t from 'tap';
import { UsageFleet, type UsageNode, WINDOW } from './singleton-task-fixtures.js';

const NODES = 3;

/** A node that starts during a jump of its clock follows it for up to a minute. */
const MAX_CLOCK_LAG = 50_000;

type Action =
  | { readonly kind: 'pass'; readonly duration: number }
  | { readonly kind: 'hold'; readonly node: number }
  | { readonly kind: 'second-holder'; readonly node: number }
  | { readonly kind: 'count'; readonly node: number; readonly tenant: string }
  | { readonly kind: 'restart'; readonly node: number; readonly clockLag: number }
  | { readonly kind: 'store'; readonly up: boolean }
  | { readonly kind: 'lose-answers'; readonly isApplied: boolean }
  | { readonly kind: 'apply-late' }
  | { readonly kind: 'cloud'; readonly outcome: 'unknown' | 'throttled' | 'superseded' };

const node = fc.integer({ min: 0, max: NODES - 1 });
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      duration: fc.integer({ min: 200, max: WINDOW }),
    }),
  },
  fc.record({ kind: fc.constant('hold' as const), node }),
  fc.record({ kind: fc.constant('second-holder' as const), node }),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('count' as const),
      node,
      tenant: fc.constantFrom('north', 'south'),
    }),
  },
  fc.record({
    kind: fc.constant('restart' as const),
    node,
    clockLag: fc.constantFrom(0, 0, WINDOW, MAX_CLOCK_LAG),
  }),
  fc.record({ kind: fc.constant('store' as const), up: fc.boolean() }),
  fc.record({ kind: fc.constant('lose-answers' as const), isApplied: fc.boolean() }),
  fc.constant({ kind: 'apply-late' as const }),
  fc.record({
    kind: fc.constant('cloud' as const),
    outcome: fc.constantFrom('unknown' as const, 'throttled' as const, 'superseded' as const),
  }),
);

/** A fleet whose nodes hold the lock in any order, some of them at the same time. */
class World {
  readonly fleet = new UsageFleet();
  private readonly nodes: UsageNode[] = [];
  private token = 10;
  private startedNodes = 0;

  constructor() {
    for (let index = 0; index < NODES; index += 1) this.nodes.push(this.startNode());
    this.hold(0);
  }

  async perform(action: Action): Promise<void> {
    const { fleet } = this;
    if (action.kind === 'pass') return this.pass(action.duration);
    if (action.kind === 'hold') return this.hold(action.node);
    if (action.kind === 'second-holder') return this.grantLock(action.node);
    if (action.kind === 'count')
      this.at(action.node).meter.noteBegun(action.tenant, fleet.clock.now());
    if (action.kind === 'restart') this.nodes[action.node] = this.startNode(action.clockLag);
    if (action.kind === 'store') fleet.store.setAvailability(action.up ? 'up' : 'refusing');
    if (action.kind === 'lose-answers') {
      const answer = action.isApplied ? 'applied' : 'applied-late';
      fleet.store.loseAnswers(answer, answer);
    }
    if (action.kind === 'apply-late') fleet.store.applyLateCommits();
    if (action.kind === 'cloud') fleet.cloud.outcomes.push(action.outcome);
  }

  private at(index: number): UsageNode {
    const found = this.nodes[index];
    if (found === undefined) throw new Error(`there is no node ${index}`);
    return found;
  }

  private startNode(clockLag = 0): UsageNode {
    this.startedNodes += 1;
    const started = this.fleet.node(`node-${this.startedNodes}`, 0, clockLag);
    started.lock.token = undefined;
    return started;
  }

  private hold(index: number): void {
    for (const node of this.nodes) node.lock.token = undefined;
    this.grantLock(index);
  }

  /** Earlier holders keep their tokens, like nodes that have not noticed the loss of the lock yet. */
  private grantLock(index: number): void {
    this.token += 1;
    this.at(index).lock.token = this.token;
  }

  private async pass(duration: number): Promise<void> {
    const end = this.fleet.clock.time + duration;
    while (this.fleet.clock.time < end) {
      this.fleet.clock.time += 200;
      for (const node of this.nodes) node.reporter.tick();
      for (let turn = 0; turn < 4; turn += 1) await new Promise((go) => setImmediate(go));
    }
  }
}

t.test('all sent reports of a window are identical', async (t) => {
  let compared = 0;
  const property = fc.asyncProperty(
    fc.array(ACTION, { minLength: 20, maxLength: 60 }),
    async (actions) => {
      const world = new World();
      for (const action of actions) await world.perform(action);
      const firstReports = new Map<number, string>();
      for (const { report } of world.fleet.cloud.reports) {
        const text = JSON.stringify(report);
        const before = firstReports.get(report.window) ?? text;
        firstReports.set(report.window, before);
        compared += 1;
        if (before !== text)
          throw new Error(
            `window ${report.window} was reported with different counts: ${before}, then ${text}`,
          );
      }
    },
  );
  await fc.assert(property, { numRuns: 60 });
  t.ok(compared > 100, `${compared} reports were compared`);
});
