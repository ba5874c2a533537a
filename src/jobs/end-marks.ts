/**
 * Marks in the store of cancellations that came before their jobs. A creation is conditional on the
 * absence of a mark; one that meets a mark creates its job as cancelled.
 */
import { MINUTE, type Milliseconds, type Revision } from '../core/units.js';
import { ABSENT, type SharedStore, type StoreCondition } from '../shared-store/shared-store.js';
import { type CallerIdentity, type TenantName, tenantNameOf } from '../tenants/tenant.js';
import { decodeEndMark, JOB_KEYS } from './job-records.js';

/**
 * Time for which a mark is kept: longer than a submission is repeated, and than a commit without an
 * answer may be carried out.
 */
const MARK_TTL: Milliseconds = 2 * MINUTE;

/** Attempts at a mark that others change at the same time. */
const MAX_ATTEMPTS = 3;

/** The mark of a job; its revision is `ABSENT` if there is none. */
export interface EndMark {
  readonly revision: Revision;
  /** Tenants of the callers; `all` for one that may cancel the jobs of all tenants. */
  readonly tenants: readonly TenantName[] | 'all';
}

/** Outcome of a mark. `recorded`: a creation from now on meets it. */
export type EndMarkOutcome = 'recorded' | 'job-exists' | 'unavailable';

export const NO_MARK: EndMark = { revision: ABSENT, tenants: [] };

export class EndMarks {
  constructor(private readonly store: Pick<SharedStore, 'get' | 'commit' | 'grantLease'>) {}

  /** Marks a job that does not exist as cancelled by a caller. */
  async record(job: string, caller: CallerIdentity): Promise<EndMarkOutcome> {
    let mark = await this.read(job);
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && mark !== undefined; attempt += 1) {
      if (isMarkedBy(mark, caller)) return 'recorded';
      const outcome = await this.write(job, mark, tenantsWith(mark, caller));
      if (outcome !== 'conflict') return outcome;
      const current = await this.read(job);
      if (current?.revision === mark.revision) return 'job-exists';
      mark = current;
    }
    return 'unavailable';
  }

  /** The mark of a job; `undefined` if the store does not answer. */
  async read(job: string): Promise<EndMark | undefined> {
    const outcome = await this.store.get(JOB_KEYS.endMark(job));
    if (outcome.kind === 'failed') return undefined;
    if (outcome.item === undefined) return NO_MARK;
    const { revision, value } = outcome.item;
    return { revision, tenants: decodeEndMark(value)?.tenants ?? 'all' };
  }

  private async write(
    job: string,
    mark: EndMark,
    tenants: EndMark['tenants'],
  ): Promise<EndMarkOutcome | 'conflict'> {
    const grant = await this.store.grantLease(MARK_TTL);
    if (grant.kind !== 'granted') return 'unavailable';
    const value = JSON.stringify(tenants === 'all' ? {} : { tenants });
    const outcome = await this.store.commit({
      expected: [{ key: JOB_KEYS.head(job), revision: ABSENT }, conditionOn(job, mark)],
      put: [{ key: JOB_KEYS.endMark(job), value, lease: grant.lease }],
    });
    if (outcome.kind === 'committed') return 'recorded';
    return outcome.kind === 'conflict' ? 'conflict' : 'unavailable';
  }
}

/** Holds while the mark of a job is the given one. */
export function conditionOn(job: string, { revision }: EndMark): StoreCondition {
  return { key: JOB_KEYS.endMark(job), revision };
}

/** Whether a mark cancels the jobs of a tenant; any caller may cancel a job without one. */
export function cancelsJobsOf(mark: EndMark, tenant: TenantName | undefined): boolean {
  if (mark.revision === ABSENT) return false;
  return tenant === undefined || mark.tenants === 'all' || mark.tenants.includes(tenant);
}

/** Whether a mark cancels all jobs that a caller may cancel. */
function isMarkedBy(mark: EndMark, caller: CallerIdentity): boolean {
  if (mark.revision === ABSENT) return false;
  if (mark.tenants === 'all') return true;
  const tenant = tenantNameOf(caller);
  return caller.kind !== 'unrestricted' && (tenant === undefined || mark.tenants.includes(tenant));
}

function tenantsWith({ tenants }: EndMark, caller: CallerIdentity): EndMark['tenants'] {
  if (tenants === 'all' || caller.kind === 'unrestricted') return 'all';
  const tenant = tenantNameOf(caller);
  return tenant === undefined ? tenants : [...tenants, tenant];
}
