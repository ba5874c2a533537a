/** Guards against a claimant that does not learn what earlier claims of a job may have led to. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { ClaimReleases } from '../../src/jobs/claim-releases.js';
import { type NewJobClaim, NewJobClaims } from '../../src/jobs/new-job-claim.js';
import type { TrainerRecord } from '../../src/jobs/trainer-record.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone } from '../journal/journal-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { ManualClock } from './job-fixtures.js';

const RETENTION: Milliseconds = 60_000;
const NONE = { mayBeStored: false, mayHaveRun: false };

interface Claimant {
  readonly claims: NewJobClaims;
  readonly releases: ClaimReleases;
}

function claimant(zone: JournalZone, writer: string, ...ended: string[]): Claimant {
  const { log } = recordingLog();
  const releases = new ClaimReleases({ clock: new ManualClock(), log, retention: () => RETENTION });
  const journals = zone.journals(writer);
  const isWriterLive = (name: string): boolean => !ended.includes(name);
  return { claims: new NewJobClaims({ journals, releases, isWriterLive }), releases };
}

function recordOf({ locations }: JournalZone): TrainerRecord {
  return {
    ...{ zone: 'zone-1', term: 1, replicas: locations, lastStep: 0, heldJobs: [], changedAt: 0 },
  };
}

/** Releases a claim and waits until all replicas have answered. */
async function release(zone: JournalZone, { releases }: Claimant, doubts = NONE): Promise<void> {
  const before = zone.requests.length;
  releases.release('job', doubts);
  await eventually(() => zone.requests.length >= before + zone.locations.length);
}

/** What a claim says of earlier ones; its kind if the job was not claimed. */
function doubtsOf(claim: NewJobClaim): unknown {
  if (claim.kind !== 'claimed') return claim.kind;
  const { mayBeStored, mayHaveRun } = claim;
  return { mayBeStored, mayHaveRun };
}

t.test('a released claim tells the next claimant what it may have led to', async (t) => {
  for (const doubts of [NONE, { ...NONE, mayBeStored: true }, { ...NONE, mayHaveRun: true }]) {
    const zone = await JournalZone.open(t);
    const [first, second] = [claimant(zone, 'node-1/life'), claimant(zone, 'node-2/life')];
    t.same(doubtsOf(await first.claims.claim('job', recordOf(zone))), NONE);
    t.equal(doubtsOf(await second.claims.claim('job', recordOf(zone))), 'held-elsewhere');
    await release(zone, first, doubts);
    t.same(doubtsOf(await second.claims.claim('job', recordOf(zone))), doubts);
  }
});

t.test('a release keeps the doubts about the node whose claim was taken over', async (t) => {
  const zone = await JournalZone.open(t);
  await claimant(zone, 'node-0/life').claims.claim('job', recordOf(zone));
  const first = claimant(zone, 'node-1/life', 'node-0/life');
  const uncertain = { mayBeStored: true, mayHaveRun: true };
  t.same(doubtsOf(await first.claims.claim('job', recordOf(zone))), uncertain);
  await release(zone, first);
  const second = claimant(zone, 'node-2/life');
  t.same(doubtsOf(await second.claims.claim('job', recordOf(zone))), uncertain);
});

t.test('a released claim does not hide a live one at a replica that is silent', async (t) => {
  const zone = await JournalZone.open(t);
  const [address1 = '', address2 = '', address3 = ''] = zone.addresses;
  const [first, second] = [claimant(zone, 'node-1/life'), claimant(zone, 'node-2/life')];
  zone.unreachable.add(address2).add(address3);
  await first.claims.claim('job', recordOf(zone));
  await release(zone, first);
  zone.unreachable.clear();
  zone.unreachable.add(address1);
  t.same(doubtsOf(await second.claims.claim('job', recordOf(zone))), NONE);
  zone.unreachable.clear();
  const third = claimant(zone, 'node-3/life');
  t.equal(doubtsOf(await third.claims.claim('job', recordOf(zone))), 'held-elsewhere');
  zone.unreachable.add(address2).add(address3);
  t.match(doubtsOf(await third.claims.claim('job', recordOf(zone))), { mayBeStored: true });
});

t.test('claims beside older builds pass on what a released claim tells', async (t) => {
  const zone = await JournalZone.open(t);
  const [first, second] = [claimant(zone, 'node-1/life'), claimant(zone, 'node-2/life')];
  t.same(doubtsOf(await first.claims.claimBesideOlderBuilds('job', recordOf(zone))), NONE);
  t.equal(
    doubtsOf(await second.claims.claimBesideOlderBuilds('job', recordOf(zone))),
    'held-elsewhere',
  );
  const doubts = { mayBeStored: true, mayHaveRun: false };
  await release(zone, first, doubts);
  t.same(doubtsOf(await second.claims.claimBesideOlderBuilds('job', recordOf(zone))), doubts);
});
