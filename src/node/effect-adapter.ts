/**
 * Turns the effects of a node's modules into the node's own effects, each message under its
 * module's name and each key-value request under a prefix that brings its answer back.
 */
import type { ConfigurationFeedEffect } from '../config-feed/configuration-feed.js';
import type { WorkerId } from '../core/identity.js';
import type { IntentServiceEffect } from '../intents/intent-service.js';
import type { MembershipEffect, MemberView } from '../membership/membership.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { WorkerDirectoryEffect } from '../routing/worker-directory-types.js';
import type { WeightControllerEffect } from '../weights/weight-controller-types.js';
import type { NodeContext } from './node-context.js';

/** Prefix of the configuration feed's key-value requests. */
export const FEED_REQUEST_PREFIX = 'feed:';
/** Prefix of the intent service's key-value requests. */
export const INTENTS_REQUEST_PREFIX = 'intents:';
/** Prefix of the weight controller's key-value requests. */
export const WEIGHTS_REQUEST_PREFIX = 'weights:';

/** Effects that concern other modules of the node. */
export interface EffectHooks {
  memberChanged(member: MemberView): void;
  configurationApplied(revision: number, changedKeys: number): void;
  /** Whether this node is a worker's home. */
  isHome(worker: WorkerId): boolean;
}

/** Passes on what the modules of one node want. */
export class EffectAdapter {
  constructor(
    private readonly context: NodeContext,
    private readonly hooks: EffectHooks,
  ) {}

  /** Passes on what the membership wants. */
  membership(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send': {
          const { to, address, message } = effect;
          this.context.sendToAddress(to, address, { module: 'membership', body: message });
          break;
        }
        case 'member-changed':
          this.hooks.memberChanged(effect.member);
          break;
        case 'declared-dead':
          this.context.stateChange('membership', 'declared dead while frozen', {});
          break;
        case 'state-change':
          this.context.stateChange('membership', effect.change, effect.details);
          break;
      }
    }
  }

  /** Passes on what the configuration feed wants. */
  feed(effects: readonly ConfigurationFeedEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send': {
          const { to, address, message } = effect;
          this.context.sendToAddress(to, address, { module: 'config-feed', body: message });
          break;
        }
        case 'key-value': {
          const requestId = FEED_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'watch-start':
        case 'watch-stop':
          this.context.emit(effect);
          break;
        case 'applied':
          this.hooks.configurationApplied(effect.configuration.revision, effect.changedKeys.length);
          break;
        case 'state-change':
          this.context.stateChange('config-feed', effect.change, effect.details);
          break;
      }
    }
  }

  /** Passes on what the worker directory wants. */
  directory(effects: readonly WorkerDirectoryEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.context.send(effect.to, { module: 'routing', body: effect.message });
          break;
        case 'poll':
          this.context.emit({ kind: 'worker-poll', worker: effect.worker });
          break;
        case 'state-change': {
          const { worker, from, to } = effect.change;
          this.context.stateChange('routing', 'worker state', { worker, from, to });
          this.context.explain(worker, `${from} -> ${to}`, 'reports, outcomes or a drain');
          break;
        }
      }
    }
  }

  /** Passes on what the weight controller wants. */
  weights(effects: readonly WeightControllerEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'worker-order':
          this.context.emit(effect);
          break;
        case 'key-value': {
          const requestId = WEIGHTS_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'poll':
          this.pollForWeights(effect.worker);
          break;
        case 'state-change':
          this.context.stateChange('weights', effect.change, effect.details);
          break;
      }
    }
  }

  /** A home polls its workers anyway, and every report reaches the weight controller. */
  private pollForWeights(worker: WorkerRecord): void {
    if (this.hooks.isHome(worker.worker)) return;
    this.context.emit({ kind: 'worker-poll', worker });
  }

  /** Passes on what the intent service wants. */
  intents(effects: readonly IntentServiceEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'reply':
          this.context.reply(effect.callId, effect.reply);
          break;
        case 'key-value': {
          const requestId = INTENTS_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'state-change':
          this.context.stateChange('intents', effect.change, effect.details);
          break;
      }
    }
  }
}
