/** Prompts, samples and their bytes in the ledger stay in the zones that the intent allows. */
import type { AccountName, ZoneName } from '../../../src/core/identity.js';
import type { Milliseconds } from '../../../src/core/units.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog, pageOf } from './call-log.js';
import { IN_FORCE_LIMIT } from './config-in-force.js';
import { ConfigurationLog } from './configuration-log.js';

/** Characters at the start of a text of tokens that tell whose it is. */
const TEXT_MARK_LENGTH = 14;

/** How prompts of trainers begin, anywhere in a text. */
const PROMPT_MARK = /\[(trainer-[a-z]+)\]/;

/** Looks for marked prompts and known texts in everything that moves. */
export class ResidencyOracle extends Oracle {
  readonly #configuration = new ConfigurationLog();
  readonly #calls = new CallLog();
  /** Account by the start of each text that an engine made for it. */
  readonly #textOwners = new Map<string, AccountName>();
  /** Account by dispatch. */
  readonly #dispatchOwners = new Map<string, AccountName>();

  override observe(observation: Observation): void {
    this.#configuration.observe(observation);
    this.#calls.observe(observation);
    switch (observation.kind) {
      case 'engine-accepted': {
        const { account, trafficClass } = observation.request;
        if (trafficClass !== 'training') return;
        this.#dispatchOwners.set(observation.dispatchId, account);
        this.#judge(observation.at, account, observation.zone, observation.worker);
        break;
      }
      case 'engine-event':
        this.#noteText(observation);
        break;
      case 'message':
        this.#scan(observation.at, observation.content, observation.toZone, observation.to);
        break;
      case 'key-value-changed':
        this.#judgeStored(observation.at, observation.key, observation.value);
        break;
      case 'reply-sent':
        this.#judgeReply(observation);
        break;
      default:
        break;
    }
  }

  #noteText({ event, dispatchId }: Extract<Observation, { readonly kind: 'engine-event' }>): void {
    if (event.kind !== 'segment' || event.text.length < TEXT_MARK_LENGTH) return;
    const owner = this.#dispatchOwners.get(dispatchId);
    if (owner !== undefined) this.#textOwners.set(markOf(event.text), owner);
  }

  #judgeReply(observation: Extract<Observation, { readonly kind: 'reply-sent' }>): void {
    const page = pageOf(observation.reply);
    const account = this.#calls.call(observation.callId)?.account;
    if (page === undefined || account === undefined || page.samples.length === 0) return;
    const zone = this.#calls.zone(observation.callId);
    if (zone !== undefined) this.#judge(observation.at, account, zone, observation.node);
  }

  #judgeStored(at: Milliseconds, key: string, value: string | null): void {
    const owner = value === null ? undefined : this.#ownerOf(value);
    this.compare(owner === undefined, at, () => `${key} holds what belongs to ${owner}`);
  }

  #scan(at: Milliseconds, content: unknown, zone: ZoneName, place: string): void {
    if (typeof content === 'string') {
      const owner = this.#ownerOf(content);
      if (owner !== undefined) this.#judge(at, owner, zone, place);
    } else if (content instanceof Map || content instanceof Set || Array.isArray(content)) {
      for (const part of content) this.#scan(at, part, zone, place);
    } else if (typeof content === 'object' && content !== null) {
      for (const part of Object.values(content)) this.#scan(at, part, zone, place);
    }
  }

  #ownerOf(text: string): AccountName | undefined {
    const known = this.#textOwners.get(markOf(text));
    if (known !== undefined) return known;
    return text.includes('[trainer-') ? PROMPT_MARK.exec(text)?.[1] : undefined;
  }

  #judge(at: Milliseconds, account: AccountName, zone: ZoneName, place: string): void {
    const allowed = this.#configuration.trainerZones(account, at - IN_FORCE_LIMIT);
    this.compare(allowed.has(zone), at, () => `what belongs to ${account} came to ${place}`);
  }
}

function markOf(text: string): string {
  return text.slice(0, TEXT_MARK_LENGTH);
}
