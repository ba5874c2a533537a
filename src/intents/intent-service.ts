/**
 * Runs operators' calls against the key-value service: each call is a procedure whose steps become
 * effects and whose outcomes come back as events. Pure: time and randomness are passed in.
 */
import type { Configuration, Intent } from '../config-feed/configuration.js';
import type { AccountName, NodeRecord, ZoneName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { NodeCall } from '../node/calls.js';
import type { KeyValueResult } from '../platform/key-value.js';
import { formatProblem } from '../settings/schema-problems.js';
import { confirm } from './confirm.js';
import { HISTORY_PREFIX, historyDocument, readHistory } from './history.js';
import { checkIntent, intentDocument } from './intent-schema.js';
import { documented, type Procedure, read, refused } from './procedure.js';
import { type ProcedureEffect, ProcedureRunner } from './procedure-runner.js';
import { propose } from './propose.js';
import { publishVersion } from './publish-version.js';
import { setDrain } from './set-drain.js';

/** The calls this service answers. */
export type IntentCall = Extract<
  NodeCall,
  {
    kind:
      | 'intent-propose'
      | 'intent-confirm'
      | 'intent-show'
      | 'intent-history'
      | 'version-publish'
      | 'drain';
  }
>;

/** What the service wants done. */
export type IntentServiceEffect = ProcedureEffect;

/** Settings of {@link IntentService}. */
export interface IntentServiceOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /** Zones of the fleet; an intent may name no other. */
  readonly zones: readonly ZoneName[];
  /** Accounts that may publish versions of any model. */
  readonly operators: readonly AccountName[];
  /** Time from a call's arrival to its reply at the latest, in milliseconds. @default 10000 */
  readonly callTimeout?: Milliseconds;
  /** Most calls in progress at once. @default 64 */
  readonly callLimit?: number;
  /** Most versions kept in a model's catalogue. @default 64 */
  readonly catalogueLimit?: number;
}

const DEFAULT_CALL_TIMEOUT: Milliseconds = 10_000;
const DEFAULT_CALL_LIMIT = 64;
const DEFAULT_CATALOGUE_LIMIT = 64;

/** See the module's comment. One instance a node. */
export class IntentService {
  readonly #options: IntentServiceOptions;
  readonly #callLimit: number;
  readonly #runner: ProcedureRunner;

  constructor(options: IntentServiceOptions) {
    this.#options = options;
    this.#callLimit = options.callLimit ?? DEFAULT_CALL_LIMIT;
    this.#runner = new ProcedureRunner(options.callTimeout ?? DEFAULT_CALL_TIMEOUT);
  }

  /** Starts a call; `configuration` is the node's copy. */
  call(
    callId: string,
    call: IntentCall,
    configuration: Configuration,
    now: Milliseconds,
  ): readonly IntentServiceEffect[] {
    if (call.kind === 'intent-show') {
      return [{ kind: 'reply', callId, reply: documented(showDocument(configuration)).reply }];
    }
    const refusal = this.#refusalOf(call, configuration);
    if (refusal !== null) return [{ kind: 'reply', callId, reply: refused(refusal).reply }];
    const procedure = this.#procedureOf(call, configuration);
    // A stored plan changes nothing until it is confirmed, so a proposal has surely not run.
    return this.#runner.start(callId, procedure, call.kind === 'intent-propose', now);
  }

  /** Takes in the answer to a request; answers to requests no longer awaited are ignored. */
  keyValueResult(
    requestId: string,
    result: KeyValueResult,
    now: Milliseconds,
  ): readonly IntentServiceEffect[] {
    return this.#runner.keyValueResult(requestId, result, now);
  }

  /** Ends pauses that are over and calls whose deadline has passed. */
  tick(now: Milliseconds): readonly IntentServiceEffect[] {
    return this.#runner.tick(now);
  }

  /** The caller has gone: no further step is taken; a transaction already sent may still apply. */
  abandon(callId: string): void {
    this.#runner.abandon(callId);
  }

  #refusalOf(call: IntentCall, configuration: Configuration): Failure | null {
    if (this.#runner.size >= this.#callLimit) {
      return failure('rate_limited', `${this.#callLimit} operator calls are in progress`);
    }
    if (call.kind === 'intent-propose') return this.#draftProblem(call.draft);
    if (call.kind === 'version-publish') return this.#publishProblem(call, configuration);
    return null;
  }

  #draftProblem(draft: Intent): Failure | null {
    const problems = checkIntent(draft, this.#options.zones);
    if (problems.length === 0) return null;
    return failure('invalid_intent', problems.map(formatProblem).join('; '));
  }

  #publishProblem(
    call: Extract<IntentCall, { kind: 'version-publish' }>,
    configuration: Configuration,
  ): Failure | null {
    if (this.#options.operators.includes(call.account)) return null;
    const intents = [...configuration.intents.values()];
    const trains = intents.some(
      (intent) => intent.model === call.model && intent.trainer === call.account,
    );
    if (trains) return null;
    return failure('forbidden', `no intent names this account as a trainer of "${call.model}"`);
  }

  #procedureOf(
    call: Exclude<IntentCall, { kind: 'intent-show' }>,
    configuration: Configuration,
  ): Procedure {
    const { random } = this.#options;
    switch (call.kind) {
      case 'intent-propose':
        return propose({ account: call.account, draft: call.draft, configuration, random });
      case 'intent-confirm':
        return confirm({ account: call.account, planId: call.planId, changeId: this.#changeId() });
      case 'intent-history':
        return showHistory();
      case 'version-publish': {
        const catalogueLimit = this.#options.catalogueLimit ?? DEFAULT_CATALOGUE_LIMIT;
        return publishVersion({ ...call, catalogueLimit });
      }
      case 'drain':
        return setDrain({ ...call, changeId: this.#changeId() });
    }
  }

  /** Names the node's life as well, so that equal seeds on two nodes or lives do no harm. */
  #changeId(): string {
    const { self, random } = this.#options;
    return `${self.node}-${self.incarnation}-${random.identifier()}`;
  }
}

function* showHistory(): Procedure {
  const found = yield* read(HISTORY_PREFIX, true);
  return documented(historyDocument(readHistory(found.entries)));
}

function showDocument(configuration: Configuration): Readonly<Record<string, unknown>> {
  const intents = [...configuration.intents.values()].map(intentDocument);
  return { revision: configuration.revision, intents };
}
