/**
 * Fences a zone off from accepting a trainer's jobs by its journal. The right to accept is a holder
 * without entries under the trainer's key, on the same replicas as the trainer's jobs.
 *
 * An acceptance writes the job to all replicas and then confirms its term at all of them. A fence
 * raises the term at one replica and then lists that replica's jobs. So a confirmed job is in the
 * list, and a job that is not in the list can no longer be confirmed.
 */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type AppendOutcome, JobJournal } from './job-journal.js';
import type { JournalHolder } from './journal-entries.js';
import type { ReplicaLocation } from './replica-location.js';

const FENCE_TIMEOUT: Milliseconds = 300;

/** Maximum number of terms tried, since each refusal names the term to exceed. */
const MAX_TERMS_TRIED = 4;

export interface TrainerFenceOptions {
  readonly port: PeerPort;
  readonly metrics: FleetMetrics;
  /** The zone of this node. */
  readonly zone: ZoneName;
}

export type FenceOutcome =
  /** No acceptance under an earlier term can be confirmed any more. */
  | {
      readonly kind: 'fenced';
      readonly term: number;
      /** Jobs with entries on the fenced replicas, of any trainer. */
      readonly jobs: readonly string[];
    }
  /** No replica with its original disk answered. */
  | { readonly kind: 'unsure' };

/** Answer of one replica to a fence. */
type ReplicaFence =
  | { readonly kind: 'fenced'; readonly jobs: readonly string[] }
  | { readonly kind: 'refused'; readonly term: number }
  | { readonly kind: 'other-disk' }
  | { readonly kind: 'silent' };

export class TrainerFence {
  constructor(private readonly options: TrainerFenceOptions) {}

  /**
   * Whether this zone still holds the right to accept under a term: `kept` if all replicas confirm
   * it, `lost` if another zone or a later term has replaced it.
   */
  confirm(
    trainer: string,
    replicas: readonly ReplicaLocation[],
    term: number,
  ): Promise<AppendOutcome> {
    const { port, metrics } = this.options;
    const holder = this.holderOf(trainer, term);
    return new JobJournal({ port, metrics, replicas, holder }).append([]);
  }

  /** Fences all terms below `term`, or below a higher one if that is already in use. */
  async fence(
    trainer: string,
    replicas: readonly ReplicaLocation[],
    term: number,
  ): Promise<FenceOutcome> {
    let usedTerm = term;
    for (let tries = 0; tries < MAX_TERMS_TRIED; tries += 1) {
      const holder = this.holderOf(trainer, usedTerm);
      const answers = await Promise.all(
        replicas.map((replica) => this.fenceReplica(replica, holder)),
      );
      const refusals = answers.flatMap((answer) => (answer.kind === 'refused' ? [answer] : []));
      if (refusals.length === 0) return outcomeOf(answers, usedTerm);
      usedTerm = Math.max(...refusals.map((refusal) => refusal.term)) + 1;
    }
    return { kind: 'unsure' };
  }

  private async fenceReplica(
    { address, disk }: ReplicaLocation,
    holder: JournalHolder,
  ): Promise<ReplicaFence> {
    const { port, metrics } = this.options;
    const claim = { kind: 'journal-claim', disk, holder } as const;
    const claimed = await port.request<'journal-claim'>(address, claim, FENCE_TIMEOUT);
    const outcome = claimed.kind === 'answered' ? claimed.answer.kind : claimed.kind;
    metrics.count('journal_calls', { call: 'trainer-fence', outcome });
    if (claimed.kind !== 'answered') return { kind: 'silent' };
    if (claimed.answer.kind === 'refused') {
      return { kind: 'refused', term: claimed.answer.holder.term };
    }
    if (claimed.answer.kind === 'other-disk') return { kind: 'other-disk' };
    if (claimed.answer.kind !== 'granted') return { kind: 'silent' };
    const list = { kind: 'journal-list' } as const;
    const listed: PeerOutcome<'journal-list'> = await port.request(address, list, FENCE_TIMEOUT);
    if (listed.kind !== 'answered' || listed.answer.disk !== disk) return { kind: 'silent' };
    return { kind: 'fenced', jobs: listed.answer.jobs.map(({ job }) => job) };
  }

  private holderOf(trainer: string, term: number): JournalHolder {
    return { job: trainer, term, writer: `zone/${this.options.zone}` };
  }
}

function outcomeOf(answers: readonly ReplicaFence[], term: number): FenceOutcome {
  const fenced = answers.flatMap((answer) => (answer.kind === 'fenced' ? [answer] : []));
  // Without any of the original disks, no acceptance on them can be confirmed.
  const areDisksGone = answers.every(({ kind }) => kind === 'other-disk');
  if (fenced.length === 0 && !areDisksGone) return { kind: 'unsure' };
  return { kind: 'fenced', term, jobs: [...new Set(fenced.flatMap(({ jobs }) => jobs))] };
}
