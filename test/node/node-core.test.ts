import t from 'tap';
import type { NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import type { NodeCall } from '../../src/node/calls.js';
import { NodeCore } from '../../src/node/node-core.js';
import type { NodeEffect } from '../../src/node/node-events.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import { decodeEnvelope, encodeEnvelope } from '../../src/transport/peer-envelope.js';

const NAMES = ['a', 'b', 'c'];

function recordOf(node: string): NodeRecord {
  const place = { zone: 'z', region: 'r', machine: `machine-${node}` };
  return { node, incarnation: 7, address: `127.0.0.1:${1_000 + NAMES.indexOf(node)}`, ...place };
}

function coreOf(node: string): NodeCore {
  const zones = [{ name: 'z', region: 'r' }];
  const random = createRandomSource(NAMES.indexOf(node) + 1);
  return new NodeCore({ self: recordOf(node), random, zones, operators: ['operator'] });
}

function machines(): readonly MachineRecord[] {
  return NAMES.map((node) => ({
    machine: `machine-${node}`,
    zone: 'z',
    state: 'live',
    nodeAddresses: [recordOf(node).address],
    workers: [],
  }));
}

/** Runs three nodes without a key-value service; gives every message between them. */
function runFleet(milliseconds: number): {
  readonly cores: ReadonlyMap<string, NodeCore>;
  readonly sends: readonly Extract<NodeEffect, { kind: 'send' }>[];
} {
  const cores = new Map(NAMES.map((node) => [node, coreOf(node)]));
  const byAddress = new Map(NAMES.map((node) => [recordOf(node).address, node]));
  const sends: Extract<NodeEffect, { kind: 'send' }>[] = [];
  const list = machines();
  const carry = (from: string, effects: readonly NodeEffect[], now: number): void => {
    for (const effect of effects) {
      if (effect.kind !== 'send') continue;
      sends.push(effect);
      const { to, address, message } = effect;
      const receiver = byAddress.get(address) ?? '';
      const event = { kind: 'peer-message', from: recordOf(from), to, message } as const;
      const answers = cores.get(receiver)?.handle(event, now) ?? [];
      if (sends.length < 50_000) carry(receiver, answers, now);
    }
  };
  for (let now = 0; now <= milliseconds; now += 50) {
    for (const [node, core] of cores) {
      if (now % 2_000 === 0)
        carry(node, core.handle({ kind: 'machine-list', machines: list }, now), now);
      carry(node, core.handle({ kind: 'tick' }, now), now);
    }
  }
  return { cores, sends };
}

function callReply(core: NodeCore, call: NodeCall, now: number): readonly NodeEffect[] {
  const effects = core.handle({ kind: 'call', callId: 'c', call }, now);
  return effects.filter((effect) => effect.kind === 'reply');
}

t.test('every message a node sends passes the check of the transport', async (t) => {
  const { sends } = runFleet(5_000);
  t.ok(sends.length > 50);
  for (const { to, message } of sends) {
    const text = encodeEnvelope({ from: recordOf('a'), to, messages: [message] });
    if (decodeEnvelope(text).isErr) t.fail(`refused: ${JSON.stringify({ to, message })}`);
  }
});

t.test('nodes without any configuration find each other and refuse work as not run', async (t) => {
  const { cores } = runFleet(5_000);
  const core = cores.get('a') as NodeCore;
  t.equal(core.gauges(5_000).membersByState.get('alive'), 3);
  t.match(core.readiness(5_000), { ready: false, reason: 'no configuration yet' });
  const call: NodeCall = {
    kind: 'step-submit',
    account: 'trainer',
    model: 'm',
    stepId: 's',
    samples: [{ key: 'k', prompt: 'p', maxTokens: 1, samplingSeed: 1 }],
    timeout: 1_000,
  };
  t.match(callReply(core, call, 5_000), [
    { reply: { kind: 'failed', failure: { kind: 'cut_off' } } },
  ]);
});

t.test(
  'a stopping node refuses calls, ends by itself, and a message to another life is dropped',
  async (t) => {
    const { cores } = runFleet(2_000);
    const core = cores.get('a') as NodeCore;
    core.handle({ kind: 'stop' }, 2_000);
    t.match(callReply(core, { kind: 'intent-show', account: 'operator' }, 2_010), [
      { reply: { kind: 'failed', failure: { kind: 'stopping' } } },
    ]);
    const to = { node: 'a', incarnation: 6 };
    const message = {
      module: 'dispatch',
      body: { kind: 'dispatch-query', dispatchId: 'd' },
    } as const;
    core.handle({ kind: 'peer-message', from: recordOf('b'), to, message }, 2_020);
    t.equal(core.counters().messages_for_earlier_life, 1);
    const later = core.handle({ kind: 'tick' }, 4_000);
    t.ok(later.some((effect) => effect.kind === 'stopped'));
  },
);
