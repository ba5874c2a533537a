/** Answers to calls for jobs that are absent, hidden or out of reach. */
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { type CallerIdentity, type TenantName, tenantNameOf } from '../tenants/tenant.js';
import type { Unanswered } from './read-log.js';
import { STORE_RETRY_AFTER } from './store-reads.js';

const NO_SUCH_JOB = failure('not_found', 'there is no such job');

/** Hides a job from other tenants as if it did not exist; only the log shows the difference. */
export function denyAccess(
  log: DecisionLog,
  job: string,
  tenant: TenantName | undefined,
  caller: CallerIdentity,
): Failure {
  const details = { job, tenant: tenant ?? 'none', caller: tenantNameOf(caller) ?? caller.kind };
  log.decision('job-access-refused', details);
  return NO_SUCH_JOB;
}

export function failureOf({ kind }: Unanswered): Failure {
  return kind === 'absent' ? NO_SUCH_JOB : storeUnavailable();
}

export function storeUnavailable(): Failure {
  return failure('ledger_unavailable', 'the store does not answer', {
    retryAfter: STORE_RETRY_AFTER,
  });
}
