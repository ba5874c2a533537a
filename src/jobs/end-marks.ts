/**
 * Marks in the store of cancellations that came before their jobs. A creation is conditional on the
 * absence of a mark; one that meets a mark creates its job as cancelled.
 */
import { MINUTE, type Milliseconds, type Revision } from '../core/units.js';
import { ABSENT, type SharedStore, type StoreCondition } from '../shared-store/shared-store.js';
import type { TenantName } from '../tenants/tenant.js';
import { decodeEndMark, JOB_KEYS } from './job-records.js';

/**
 * Time for which a mark is kept: longer than a submission is repeated, and than a commit without an
 * answer may be carried out.
 */
const MARK_TTL: Milliseconds = 2 * MINUTE;

/** The mark of a job; its revision is `ABSENT` if there is none. */
export interface EndMark {
  readonly revision: Revision;
  readonly tenant: TenantName | undefined;
}

/** Outcome of a mark. `recorded`: a creation from now on meets it; `foreign`: another tenant's does. */
export type EndMarkOutcome = 'recorded' | 'foreign' | 'job-exists' | 'unavailable';

export const NO_MARK: EndMark = { revision: ABSENT, tenant: undefined };

export class EndMarks {
  constructor(private readonly store: Pick<SharedStore, 'get' | 'commit' | 'grantLease'>) {}

  /** Marks a job that does not exist as cancelled by a tenant. */
  async record(job: string, tenant: TenantName | undefined): Promise<EndMarkOutcome> {
    const grant = await this.store.grantLease(MARK_TTL);
    if (grant.kind !== 'granted') return 'unavailable';
    const value = JSON.stringify(tenant === undefined ? {} : { tenant });
    const outcome = await this.store.commit({
      expected: [{ key: JOB_KEYS.head(job), revision: ABSENT }, conditionOn(job, NO_MARK)],
      put: [{ key: JOB_KEYS.endMark(job), value, lease: grant.lease }],
    });
    if (outcome.kind === 'committed') return 'recorded';
    if (outcome.kind !== 'conflict') return 'unavailable';
    const mark = await this.read(job);
    if (mark === undefined) return 'unavailable';
    if (mark.revision === ABSENT) return 'job-exists';
    return mark.tenant === tenant ? 'recorded' : 'foreign';
  }

  /** The mark of a job; `undefined` if the store does not answer. */
  async read(job: string): Promise<EndMark | undefined> {
    const outcome = await this.store.get(JOB_KEYS.endMark(job));
    if (outcome.kind === 'failed') return undefined;
    if (outcome.item === undefined) return NO_MARK;
    const { revision, value } = outcome.item;
    return { revision, tenant: decodeEndMark(value)?.tenant };
  }
}

/** Holds while the mark of a job is the given one. */
export function conditionOn(job: string, { revision }: EndMark): StoreCondition {
  return { key: JOB_KEYS.endMark(job), revision };
}

/** Whether a mark cancels the jobs of a tenant. */
export function cancelsJobsOf(mark: EndMark, tenant: TenantName | undefined): boolean {
  return mark.revision !== ABSENT && mark.tenant === tenant;
}
