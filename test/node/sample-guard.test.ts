/** Versions of samples while they are made: when they end early, and when they are resumed. */
import t from 'tap';
import type { Configuration, Intent } from '../../src/config-feed/configuration.js';
import type { GenerationRequest, TokenSegment } from '../../src/core/generation.js';
import type { NodePorts } from '../../src/core/node-ports.js';
import { mechanismsWithout } from '../../src/node/mechanisms.js';
import { SampleGuard } from '../../src/node/sample-guard.js';

const REQUEST = { intent: 'i', trafficClass: 'training' } as GenerationRequest;

interface Setting {
  readonly newest: number;
  readonly bound?: number;
  readonly versionSpan?: Intent['versionSpan'];
  readonly fresh?: boolean;
  readonly room?: number;
}

/** A guard whose workers all serve version 3. */
function guardOf({ newest, bound = 1, versionSpan = 'record', fresh, room = 0 }: Setting) {
  const limits = { minimumVersion: 1, maximumVersion: null, stalenessBound: bound, versionSpan };
  const versions = Array.from({ length: newest }, (_, index) => ({ version: index + 1 }));
  const configuration = {
    intents: new Map([['i', { model: 'm', ...limits }]]),
    catalogues: new Map([['m', { model: 'm', versions }]]),
  } as unknown as Configuration;
  const ports = {
    configuration: () => configuration,
    isFresh: () => fresh ?? true,
    mechanisms: mechanismsWithout(),
  } as unknown as NodePorts;
  return new SampleGuard(ports, () => 3, room);
}

function segment(firstToken: number, version: number): TokenSegment {
  return { version, firstToken, tokenCount: 2 };
}

function mayResume(setting: Setting, ...versions: number[]): boolean {
  const segments = versions.map((version, index) => segment(2 * index, version));
  return guardOf(setting).mayResume(REQUEST, { text: '', segments }, 'w');
}

t.test('a run of tokens is judged by the bound of the moment', async (t) => {
  const fault = (setting: Setting, next: number, previous?: number) =>
    guardOf(setting).segmentFault(
      REQUEST,
      previous === undefined ? undefined : segment(0, previous),
      segment(previous === undefined ? 0 : 2, next),
      previous,
    );
  t.equal(fault({ newest: 3 }, 2), null);
  t.match(fault({ newest: 4 }, 2), { kind: 'version_unknown', ran: 'yes' });
  t.ok(fault({ newest: 4 }, 4, 2), 'a newer run does not save an answer with a token too old');
  t.equal(fault({ newest: 4, fresh: false }, 2), null, 'not known now: hand-over has to wait');
  t.equal(fault({ newest: 3 }, 3, 2), null);
  t.ok(fault({ newest: 3, versionSpan: 'restart' }, 3, 2), 'one version per sample');
});

t.test('tokens are resumed only while they may be handed over', async (t) => {
  t.ok(mayResume({ newest: 3 }, 2, 3));
  t.notOk(mayResume({ newest: 4 }, 2, 3));
  t.notOk(mayResume({ newest: 3, fresh: false }, 3), 'the newest version is not known');
  t.notOk(mayResume({ newest: 3, room: 1 }, 2), 'the next version would make it too old');
  t.ok(mayResume({ newest: 3, room: 1 }, 3));
  t.ok(mayResume({ newest: 3, bound: 0, room: 1 }, 3), 'a new start has no more room');
});

t.test('one version per sample: resumed only on a worker that serves it', async (t) => {
  const versionSpan = 'restart';
  t.ok(mayResume({ newest: 3, versionSpan }, 3));
  t.notOk(mayResume({ newest: 3, versionSpan }, 2));
  t.notOk(mayResume({ newest: 3, versionSpan }, 2, 3));
});
