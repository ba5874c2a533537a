/** Stub peers and a wait for conditions, for tests of a fleet. */
import type { Milliseconds } from '../../src/core/units.js';
import type { DigestedWork } from '../../src/jobs/item-work-cache.js';
import type {
  PeerAnswers,
  PeerOutcome,
  PeerPort,
  PeerRequest,
} from '../../src/peers/peer-messages.js';

/** Answers probes: addresses in `alive` run the requested incarnation. */
export class StubPeers implements PeerPort {
  readonly alive = new Set<string>();
  /** Addresses whose nodes do not reach the store. */
  readonly withoutStore = new Set<string>();
  /** Addresses whose nodes do not need a short lease. */
  readonly idle = new Set<string>();
  /** The work that the previous owner of a job releases. */
  readonly releasedWork = new Map<string, DigestedWork>();
  /** Addresses at which another incarnation answers. */
  readonly otherIncarnations = new Set<string>();
  readonly requests: { readonly address: string; readonly request: PeerRequest }[] = [];

  async request<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequest,
  ): Promise<PeerOutcome<Kind>> {
    this.requests.push({ address, request });
    const isAlive = this.alive.has(address);
    if (!isAlive && !this.otherIncarnations.has(address)) return { kind: 'refused' };
    if (request.kind === 'surrender-job') {
      const answer: PeerAnswers['surrender-job'] = { work: this.releasedWork };
      return { kind: 'answered', answer: answer as PeerAnswers[Kind] };
    }
    const reachesStore = !this.withoutStore.has(address);
    const hasDuties = !this.idle.has(address);
    return { kind: 'answered', answer: { isAlive, reachesStore, hasDuties } } as PeerOutcome<Kind>;
  }
}

/** Waits until a condition holds; throws after at least 30 s. */
export async function eventually(holds: () => boolean): Promise<void> {
  const pollInterval: Milliseconds = 5;
  for (let attempt = 0; attempt < 6_000; attempt += 1) {
    if (holds()) return;
    await new Promise((resolve) => setTimeout(resolve, pollInterval));
  }
  throw new Error('the condition was not met in 6,000 checks');
}
