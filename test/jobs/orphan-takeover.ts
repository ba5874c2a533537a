/** Takes over jobs that no node runs, as the scans of the gateways do. */
import { isFinished, type JobOwner } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { ZonesWithStore } from './zones-with-store.js';

/** Has nodes take over the unfinished jobs that no live node runs, nodes of their zones first. */
export async function takeOverOrphans(zones: ZonesWithStore): Promise<void> {
  const heads = await new JobStore(zones.store, zones.clock).heads();
  if (heads.kind !== 'found') return;
  for (const [job, found] of heads.value) {
    const { owner, zone } = found.head;
    if (isFinished(found.head) || isRunBy(zones, owner, job)) continue;
    const live = zones.live();
    const candidates = [
      ...live.filter((node) => node.zone === zone),
      ...live.filter((node) => node.zone !== zone),
    ];
    for (const node of candidates) {
      if ((await zones.answerOf(node.service.takeOver(job, found))) === true) break;
    }
  }
}

/** Whether the owner of a job is live and runs the job. */
function isRunBy(zones: ZonesWithStore, owner: JobOwner | null, job: string): boolean {
  const node = zones
    .live()
    .find(({ self }) => self.node === owner?.node && self.incarnation === owner.incarnation);
  const ownedJobs = node?.service.ownedJobs() ?? [];
  return ownedJobs.some((owned) => owned.spec.id === job && owned.isActive);
}
