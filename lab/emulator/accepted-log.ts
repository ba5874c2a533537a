/**
 * What an emulated engine accepted: the truth against which "runs at most once" and "did not run"
 * are judged. Kept in a file where one is named, so that it outlives a killed process.
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import * as z from 'zod';

const acceptedRequest = z.object({
  requestId: z.string(),
  prompt: z.string(),
  seed: z.number(),
  /** Wall-clock time of the acceptance, in milliseconds. */
  at: z.number(),
});

/** One acceptance. */
export type AcceptedRequest = z.infer<typeof acceptedRequest>;

/** Answer of `GET /lab/accepted`. */
export interface AcceptedDocument {
  /** How often each request id was accepted. */
  readonly counts: Readonly<Record<string, number>>;
  /** Every acceptance, oldest first. */
  readonly accepted: readonly AcceptedRequest[];
}

/** All acceptances of one engine, over all its lives. */
export class AcceptedLog {
  private readonly accepted: AcceptedRequest[] = [];

  /** @param file where acceptances are appended; `null` keeps them in memory only. */
  constructor(private readonly file: string | null) {
    if (file === null || !existsSync(file)) return;
    const lines = readFileSync(file, 'utf8').split('\n');
    const written = lines.filter((line) => line !== '');
    this.accepted.push(...written.map((line) => acceptedRequest.parse(JSON.parse(line))));
  }

  /** Notes an acceptance; it is in the file when this returns. */
  add(request: AcceptedRequest): void {
    this.accepted.push(request);
    if (this.file !== null) appendFileSync(this.file, `${JSON.stringify(request)}\n`);
  }

  /** Everything accepted so far. */
  document(): AcceptedDocument {
    const counts: Record<string, number> = {};
    for (const { requestId } of this.accepted) counts[requestId] = (counts[requestId] ?? 0) + 1;
    return { counts, accepted: this.accepted };
  }
}
