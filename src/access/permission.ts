/**
 * Which intent allows a piece of work, and in which zones it may run now. A node that cannot show
 * its configuration fresh acts on the intent's cut-off rule by itself, so that a permission taken
 * back ends everywhere within the freshness bound, also where no message arrives.
 */
import type { Configuration, Intent } from '../config-feed/configuration.js';
import { newestVersion, oldestAllowedVersion } from '../config-feed/configuration.js';
import type { AccountName, IntentName, ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { interactiveBounds } from '../weights/staleness-bound.js';

/** Work that an intent allows here and now. */
export interface Permission {
  readonly intent: Intent;
  /** Zones in which the work may run at this moment. */
  readonly zones: readonly ZoneName[];
  /** Oldest weight version that may produce a token. */
  readonly oldestVersion: WeightVersion;
}

/** The answer to whether work is allowed. */
export type PermissionAnswer =
  | { readonly kind: 'allowed'; readonly permission: Permission }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** What is asked. */
export type PermissionQuestion =
  | { readonly kind: 'training'; readonly account: AccountName; readonly model: ModelName }
  | { readonly kind: 'interactive'; readonly account: AccountName; readonly model: ModelName }
  | { readonly kind: 'intent'; readonly intent: IntentName; readonly training: boolean };

/** What a node knows when it is asked. */
export interface PermissionView {
  readonly configuration: Configuration;
  readonly freshnessAge: Milliseconds;
}

/** Settings of the check. */
export interface PermissionOptions {
  /** Zone of this node. */
  readonly zone: ZoneName;
  /** Age up to which a configuration counts as fresh. */
  readonly freshnessBound: Milliseconds;
  /** Off only in the lab: a stale configuration is then used like a fresh one. */
  readonly freshnessRule: boolean;
  /** Off only in the lab: work is then taken in a zone its intent does not name. */
  readonly residencyAtGateway: boolean;
}

function refused(value: Failure): PermissionAnswer {
  return { kind: 'refused', failure: value };
}

function matches(intent: Intent, question: PermissionQuestion): boolean {
  if (question.kind === 'intent') return intent.name === question.intent;
  if (intent.model !== question.model) return false;
  if (question.kind === 'training') return intent.trainer === question.account;
  return intent.interactive.accounts.includes(question.account);
}

/** Decides on permissions for one node. */
export class PermissionCheck {
  constructor(private readonly options: PermissionOptions) {}

  /** Whether the configuration counts as fresh. */
  isFresh(freshnessAge: Milliseconds): boolean {
    return !this.options.freshnessRule || freshnessAge <= this.options.freshnessBound;
  }

  /** Answers a question with what the node knows now. */
  check(question: PermissionQuestion, view: PermissionView): PermissionAnswer {
    if (view.freshnessAge === Number.POSITIVE_INFINITY) {
      return refused(failure('cut_off', 'this node has not learned the configuration yet'));
    }
    const intents = [...view.configuration.intents.values()];
    const named = intents.filter((intent) => matches(intent, question));
    if (named.length === 0) {
      return refused(failure('forbidden', 'no intent allows this account and model'));
    }
    const here = named.find((intent) => this.allowsZone(intent));
    if (here === undefined) {
      return refused(failure('zone_not_allowed', `no intent allows zone ${this.options.zone}`));
    }
    return this.checkIntent(here, isTraining(question), view);
  }

  /** Intents of a trainer whose samples may be read at this node now. */
  readableIntents(account: AccountName, view: PermissionView): readonly IntentName[] {
    return [...view.configuration.intents.values()]
      .filter((intent) => intent.trainer === account && this.allowsZone(intent))
      .filter((intent) => this.zonesInForce(intent, view.freshnessAge).length > 0)
      .map((intent) => intent.name);
  }

  private allowsZone(intent: Intent): boolean {
    if (intent.zones.length === 0) return false;
    return !this.options.residencyAtGateway || intent.zones.includes(this.options.zone);
  }

  private checkIntent(intent: Intent, training: boolean, view: PermissionView): PermissionAnswer {
    if (training && !this.isFresh(view.freshnessAge)) {
      return refused(failure('cut_off', 'the newest weight version cannot be known here'));
    }
    const zones = this.zonesInForce(intent, view.freshnessAge);
    if (zones.length === 0) {
      return refused(failure('cut_off', 'the configuration is not fresh; the intent says refuse'));
    }
    const newest = newestVersion(view.configuration, intent.model);
    if (newest === undefined && training) {
      return refused(failure('version_unknown', `no version of ${intent.model} is published`));
    }
    const oldestVersion = training
      ? oldestAllowedVersion(intent, newest ?? 1)
      : interactiveBounds(intent).oldest;
    return { kind: 'allowed', permission: { intent, zones, oldestVersion } };
  }

  /**
   * Zones in which work may run now: all of the intent's while the configuration is fresh, after
   * that the node's own for as long as the cut-off rule says. Training work never gets here with
   * a stale configuration, for its staleness bound could not be kept.
   */
  private zonesInForce(intent: Intent, freshnessAge: Milliseconds): readonly ZoneName[] {
    if (this.isFresh(freshnessAge)) return intent.zones;
    if (intent.cutOff.kind === 'refuse') return [];
    return freshnessAge <= intent.cutOff.duration ? [this.options.zone] : [];
  }
}

function isTraining(question: PermissionQuestion): boolean {
  return question.kind === 'training' || (question.kind === 'intent' && question.training);
}
