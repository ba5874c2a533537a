import t from 'tap';
import type { GenerationRequest } from '../../src/core/generation.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import { DispatchClient } from '../../src/dispatch/dispatch-client.js';
import type { DispatchMessage } from '../../src/dispatch/messages.js';

const HOME: NodeIdentity = { node: 'home', incarnation: 1 };
const DISPATCHES = 200;
const TICK = 50;

/** An origin with many dispatches at one home, which has accepted all but may fall silent. */
class Origin {
  now = 0;
  queries = 0;
  lost = 0;
  /** Questions to the home that are lost on the way, counted down. */
  dropped = 0;
  silent = false;
  /** A dispatch the home knows nothing of, and does not speak of. */
  unknown = '';

  readonly client = new DispatchClient({ send: (_to, message) => this.carry(message) });

  constructor() {
    for (let number = 0; number < DISPATCHES; number += 1) {
      const dispatchId = `d${number}`;
      const request = {} as GenerationRequest;
      const order = { dispatchId, home: HOME, worker: 'w', request, stream: false };
      const onEnd = (): void => {
        this.lost += 1;
      };
      this.client.start(order, { onEnd }, 0);
      this.client.receive(HOME, { kind: 'dispatch-accepted', dispatchId }, 0);
    }
  }

  run(duration: number): void {
    for (const end = this.now + duration; this.now < end; ) {
      this.now += TICK;
      this.client.tick(this.now);
    }
  }

  private carry(message: DispatchMessage): void {
    if (message.kind !== 'dispatch-query') return;
    this.queries += 1;
    if (this.dropped > 0) this.dropped -= 1;
    else if (!this.silent && message.dispatchId !== this.unknown) {
      this.client.receive(HOME, { ...message, kind: 'dispatch-accepted' }, this.now);
    }
  }
}

t.test('a home with many dispatches is asked by one of them', async (t) => {
  const origin = new Origin();
  origin.run(9_000);
  t.equal(origin.lost, 0);
  t.equal(origin.queries, 9);
});

t.test('all dispatches of a home that falls silent are lost in time, those alone', async (t) => {
  const origin = new Origin();
  origin.run(5_000);
  origin.silent = true;
  origin.run(1_900);
  t.equal(origin.lost, 0);
  origin.run(1_200);
  t.equal(origin.lost, DISPATCHES);
});

t.test('two lost questions do not make a home silent', async (t) => {
  const origin = new Origin();
  origin.dropped = 2;
  origin.run(4_000);
  t.equal(origin.lost, 0);
});

t.test('each dispatch is asked about for itself now and then', async (t) => {
  const origin = new Origin();
  origin.run(9_000);
  const before = origin.queries;
  origin.run(1_500);
  t.ok(origin.queries - before >= DISPATCHES - 10);
});
