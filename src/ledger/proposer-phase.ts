/** What a proposer is doing: waiting, asking what the members hold, or asking them to accept. */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Milliseconds } from '../core/units.js';
import type { Ballot } from './ballot.js';
import type { AppliedBatch, RegisterOperation } from './operation.js';
import type { RegisterAnswers } from './register-answers.js';
import type { Round } from './round.js';

/** One phase of an attempt; `ballot` is `null` in a read, which needs none. */
export type Phase<Value> =
  | { readonly kind: 'waiting'; readonly until: Milliseconds }
  | {
      readonly kind: 'read' | 'prepare';
      readonly round: Round<Value>;
      readonly group: GroupRecord;
      readonly ballot: Ballot | null;
      readonly answers: RegisterAnswers;
      /** Operations that waited when the request was sent; only they may rest on its answers. */
      readonly present: ReadonlySet<RegisterOperation<Value>>;
    }
  | {
      readonly kind: 'accept';
      readonly round: Round<Value>;
      readonly group: GroupRecord;
      readonly batch: AppliedBatch<Value>;
      readonly next: Ballot | null;
    };
