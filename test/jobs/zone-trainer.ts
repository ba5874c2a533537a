/** A trainer that submits its steps to nodes of several zones. */
import type t from 'tap';
import { AnswerRecord } from './answer-record.js';
import { specification } from './job-fixtures.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** The job that tests submit at several nodes. */
export const JOB = 'job';

/** A step of one trainer; each step is a job of its own. */
export const step = (id: string, number: number) => ({ ...specification(id, 2), step: number });

/** Time in which a node runs and lists the items of a job. */
export const LISTING_TIME = 2_000;

/** Submits a step while all is well, so that its node may accept the trainer's next step. */
export async function acceptStep(
  zones: ZonesWithStore,
  node: ZoneNode,
  number: number,
): Promise<void> {
  const answer = await zones.answerOf(zones.submit(node, step(`before-${number}`, number)));
  if (answer !== 'accepted') throw new Error(`step ${number} was answered ${answer}`);
}

/** Heals all zones; fresh nodes in each zone must accept the job again, and read all of it alike. */
export async function checkAfterHealing(
  test: Pick<typeof t, 'same' | 'equal'>,
  zones: ZonesWithStore,
  record: AnswerRecord,
  number: number,
): Promise<void> {
  await zones.heal();
  const readers = [...zones.zones.keys()].map((zone) => zones.start(zone));
  for (const reader of readers) {
    const answer = await zones.answerOf(zones.submit(reader, step(JOB, number)), 10_000);
    test.equal(answer, 'accepted', `a repeated submission in ${reader.zone}`);
  }
  await zones.run(LISTING_TIME);
  const texts = await record.read(readers[0] as ZoneNode, JOB);
  test.equal('failure' in texts ? texts.failure : texts.length, 2, 'the job has all its results');
  const contradictions = await record.contradictionsAt([...readers, ...zones.live()]);
  test.same(contradictions, [], 'all answers for a position are the same');
}

/** A job that only the journal of zone 1 holds, with results told, and whose owner has ended. */
export async function journaledOnly(
  test: Parameters<typeof ZonesWithStore.open>[0] & Pick<typeof t, 'equal'>,
  replicas = 3,
): Promise<{ readonly zones: ZonesWithStore; readonly record: AnswerRecord }> {
  const zones = await ZonesWithStore.open(test, 2, replicas);
  const record = new AnswerRecord(zones);
  const owner = zones.start('zone-1');
  await acceptStep(zones, owner, 0);
  zones.setStore('refusing', owner);
  test.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
  await zones.run(LISTING_TIME);
  await record.read(owner, JOB);
  test.equal(record.told.length, 2, 'the owner told both results');
  zones.end(owner);
  return { zones, record };
}
