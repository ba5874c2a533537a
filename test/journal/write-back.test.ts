/** Guards against the loss of entries that a new owner found on few replicas and has shown. */
import fc from 'fast-check';
import t from 'tap';
import type { JobJournal } from '../../src/journal/job-journal.js';
import { type JournalEntry, keyOfEntry } from '../../src/journal/journal-entries.js';
import { JournalZone } from './journal-fixtures.js';

const MAX_LOST_DISKS = 2;

type Step =
  | { readonly kind: 'append' | 'take-over'; readonly owner: number }
  | { readonly kind: 'partition' | 'heal' | 'restart' | 'lose-disk'; readonly replica: number };

const INDEX = fc.integer({ min: 0, max: 2 });
const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('append' as const), owner: INDEX }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('take-over' as const), owner: INDEX }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('partition' as const, 'partition', 'heal', 'restart', 'lose-disk'),
      replica: INDEX,
    }),
  },
);

/** An owner, the number of pages that it has shown, and an append without an outcome. */
interface Owner {
  readonly journal: JobJournal;
  pages: number;
  pending?: JournalEntry | undefined;
}

/** Runs owners that show an entry once all replicas have stored it. */
class Run {
  private readonly shown = new Map<string, string>();
  private readonly owners = new Map<number, Owner>();
  private lastTerm = 0;
  private lostDisks = 0;
  private attempts = 0;

  constructor(private readonly zone: JournalZone) {}

  /** Performs a step; returns whether all shown entries are found unchanged. */
  async perform(step: Step): Promise<boolean> {
    if ('owner' in step) {
      const { kind, owner } = step;
      return kind === 'append' ? this.append(this.owners.get(owner)) : this.takeOver(owner);
    }
    const address = this.zone.addresses[step.replica] ?? '';
    if (step.kind === 'partition') this.zone.unreachable.add(address);
    else if (step.kind === 'heal') this.zone.unreachable.delete(address);
    else if (step.kind === 'restart') await this.zone.restart(address);
    else if (this.lostDisks < MAX_LOST_DISKS) {
      this.lostDisks += 1;
      await this.zone.restart(address, 'empty');
    }
    return true;
  }

  private async takeOver(index: number): Promise<boolean> {
    this.lastTerm += 1;
    const journals = this.zone.journals(`node-${index}/life`);
    const journal = journals.open('job', this.zone.locations, this.lastTerm);
    const claim = await journal.claim();
    if (claim.kind !== 'claimed') return true;
    const found = new Map(claim.entries.map((entry) => [keyOfEntry(entry), textOf(entry)]));
    for (const [key, text] of this.shown) if (found.get(key) !== text) return false;
    this.owners.delete(index);
    if ((await journal.append(claim.entries)) !== 'kept') return true;
    for (const [key, text] of found) this.shown.set(key, text);
    this.owners.set(index, { journal, pages: found.size });
    return true;
  }

  private async append(owner: Owner | undefined): Promise<boolean> {
    if (owner === undefined) return true;
    this.attempts += 1;
    const entry = owner.pending ?? newPage(owner.pages, this.attempts);
    const outcome = await owner.journal.append([entry]);
    owner.pending = outcome === 'unsure' ? entry : undefined;
    if (outcome !== 'kept') return true;
    owner.pages += 1;
    const earlier = this.shown.get(keyOfEntry(entry));
    this.shown.set(keyOfEntry(entry), textOf(entry));
    return earlier === undefined;
  }
}

function newPage(number: number, attempt: number): JournalEntry {
  const text = `attempt ${attempt}`;
  const result = { id: `item-${attempt}`, state: 'completed' as const, text, versions: [1] };
  return { kind: 'page', number, results: [result] };
}

function textOf(entry: JournalEntry): string {
  return JSON.stringify(entry);
}

t.test('what an owner has shown is found by all later ones while one disk is left', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { minLength: 8, maxLength: 40 }), async (steps) => {
      const run = new Run(await JournalZone.open(t));
      if (!(await run.perform({ kind: 'take-over', owner: 0 }))) return false;
      for (const step of steps) if (!(await run.perform(step))) return false;
      return true;
    }),
    { numRuns: 80 },
  );
});
