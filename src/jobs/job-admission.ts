/** Admits a submitted job: forwards it to another node, accepts it on this one, or rejects it. */
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { tenantConflict } from './job-acceptance.js';
import type { JobPeers } from './job-peers.js';
import type { JobReader } from './job-reader.js';
import type { JobSpecification } from './job-records.js';
import type { JobStore, StillNeeded } from './job-store.js';
import type { JobSubmissions } from './job-submissions.js';
import { STORE_RETRY_AFTER } from './store-reads.js';

export interface JobAdmissionOptions {
  readonly store: JobStore;
  readonly reader: JobReader;
  readonly peers: JobPeers;
  readonly submissions: JobSubmissions;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Response to a rejected submission if another node may have accepted the job. */
const MAY_BE_ACCEPTED = { kind: 'outcome_unknown', retryAfter: STORE_RETRY_AFTER } as const;

export class JobAdmission {
  constructor(private readonly options: JobAdmissionOptions) {}

  /** Has a job accepted; `undefined` means that the job is durably stored. */
  async submit(spec: JobSpecification, isStillNeeded: StillNeeded): Promise<Failure | undefined> {
    const { peers, submissions } = this.options;
    const forwarding = await peers.submitElsewhere(spec);
    if (forwarding.kind === 'answered') return forwarding.failure;
    if (forwarding.kind === 'nowhere') return this.reject(spec, forwarding.failure);
    const rejection = await submissions.submit(spec, isStillNeeded);
    if (rejection === undefined || !forwarding.mayRunElsewhere) return rejection;
    return failure('outcome_unknown', 'another node may have stored the job');
  }

  /**
   * Response to a job that no eligible node accepts. The submission may repeat one that another
   * node accepted earlier, so the response says that the job has not run only if it is certainly
   * absent.
   */
  private async reject(spec: JobSpecification, rejection: Failure): Promise<Failure | undefined> {
    const { store, reader, log, metrics } = this.options;
    const read = await store.head(spec.id);
    if (read.kind === 'found') return tenantConflict(spec, read.value.head.tenant);
    const isAbsent = read.kind === 'absent' && (await reader.isCertainlyAbsent(spec.id));
    const answer = isAbsent ? rejection : { ...rejection, ...MAY_BE_ACCEPTED };
    log.decision('job-refused', { job: spec.id, kind: answer.kind, detail: rejection.detail });
    metrics.count('jobs_submitted', { outcome: answer.kind });
    return answer;
  }
}
