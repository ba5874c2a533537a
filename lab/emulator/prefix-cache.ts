/**
 * Prefix cache of an emulated engine: blocks of prompt text in limited memory, least recently
 * used first out, each block named by a hash that covers all text before it.
 */
import { placementHash } from '../../src/core/hashing.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, TokenCount } from '../../src/core/units.js';

/** Characters that make one prompt token. */
const CHARACTERS_PER_TOKEN = 4;

/** Prompt tokens of one cache block. */
export const BLOCK_TOKENS: TokenCount = 16;

/** Published events kept for reading; older ones are a gap. */
const EVENT_LIMIT = 1_024;

/** Length of a prompt. */
export function promptTokenCount(prompt: string): TokenCount {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/** One change of the cache; a jump of `sequence` is a gap. */
export interface CacheEvent {
  readonly sequence: number;
  readonly at: Milliseconds;
  readonly kind: 'stored' | 'removed';
  readonly block: number;
}

/** How late and how reliably cache events are published. */
export interface CacheEventSettings {
  readonly prefixCacheTokens: TokenCount;
  readonly cacheEventLag: Milliseconds;
  readonly cacheEventLossRate: number;
}

/** The cache and its event feed. */
export class PrefixCache {
  /** In order of use, least recent first. */
  private readonly blocks = new Set<number>();
  private events: CacheEvent[] = [];
  private sequence = 0;

  constructor(
    private readonly settings: CacheEventSettings,
    private readonly random: RandomSource,
  ) {}

  /** Reads a prompt: returns how many of its tokens were not cached, and caches them. */
  read(prompt: string, now: Milliseconds): TokenCount {
    const names = blockNames(prompt);
    let hits = 0;
    while (hits < names.length && this.blocks.has(names[hits] ?? 0)) hits += 1;
    for (const name of names) this.touch(name, now);
    this.evict(now);
    return promptTokenCount(prompt) - hits * BLOCK_TOKENS;
  }

  /** Tokens held now. */
  get tokenCount(): TokenCount {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Takes the events that are due for publication; late, and some are missing. */
  takeEvents(now: Milliseconds): CacheEvent[] {
    const due = this.events.filter((event) => event.at + this.settings.cacheEventLag <= now);
    this.events = this.events.slice(due.length);
    return due;
  }

  private touch(name: number, now: Milliseconds): void {
    if (!this.blocks.delete(name)) this.publish('stored', name, now);
    this.blocks.add(name);
  }

  private evict(now: Milliseconds): void {
    const limit = Math.floor(this.settings.prefixCacheTokens / BLOCK_TOKENS);
    for (const name of this.blocks) {
      if (this.blocks.size <= limit) return;
      this.blocks.delete(name);
      this.publish('removed', name, now);
    }
  }

  private publish(kind: CacheEvent['kind'], block: number, at: Milliseconds): void {
    this.sequence += 1;
    if (this.random.fraction() < this.settings.cacheEventLossRate) return;
    this.events.push({ sequence: this.sequence, at, kind, block });
    if (this.events.length > 2 * EVENT_LIMIT) this.events = this.events.slice(-EVENT_LIMIT);
  }
}

/** Names of the whole blocks of a prompt. */
function blockNames(prompt: string): number[] {
  const size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const names: number[] = [];
  let name = 0;
  for (let end = size; end <= prompt.length; end += size) {
    name = placementHash(prompt.slice(end - size, end), name);
    names.push(name);
  }
  return names;
}
