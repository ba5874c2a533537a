/** What has been made of one item: the data of its events and the weights that made them. */
import type { WeightVersion } from '../core/units.js';
import type { StreamEvent } from '../serving/event-stream.js';
import type { JobResult, StoredProgress } from './job-records.js';

/** What an item kept in the shared store or handed on looks like. */
export type KeptItem = StoredProgress[string];

/** Whether an event could be added. */
export type EventVerdict = 'added' | 'out-of-order' | 'version-too-old' | 'version-mixed';

/** Which weights an item's text may come from. */
export interface VersionRule {
  readonly minVersion: WeightVersion;
  /** Whether all events must come from one version. */
  readonly singleVersion: boolean;
}

/** Whether text made by these versions may be part of a result. */
export function fitsVersions(versions: readonly WeightVersion[], rule: VersionRule): boolean {
  if (rule.singleVersion && versions.length > 1) return false;
  return versions.every((version) => version >= rule.minVersion);
}

/** The text of an item as it grows, also across workers. */
export class ItemProgress {
  private events: string[] = [];
  private lastId: number | undefined;
  private readonly versions = new Set<WeightVersion>();
  private currentVersion: WeightVersion | undefined;
  private isTextWhole = false;

  constructor(private readonly rule: VersionRule) {}

  /** Takes over what was kept before, if its versions fit the rule; tells whether it did. */
  restore(kept: KeptItem): boolean {
    if (!fitsVersions(kept.versions, this.rule) || kept.events.length === 0) return false;
    this.events = [...kept.events];
    this.lastId = kept.lastEventId;
    this.versions.clear();
    for (const version of kept.versions) this.versions.add(version);
    this.isTextWhole = kept.isWhole ?? false;
    return true;
  }

  /** Begins a run at a worker that told this version with its answer. */
  beginRun(version: WeightVersion | undefined): void {
    this.currentVersion = version;
  }

  /** Adds the next event of the current run. */
  add(event: StreamEvent): EventVerdict {
    if (event.id === undefined) return 'out-of-order';
    if (this.lastId !== undefined && event.id !== this.lastId + 1) return 'out-of-order';
    const version = event.weightVersion ?? this.currentVersion;
    if (version === undefined || version < this.rule.minVersion) return 'version-too-old';
    const mixes = this.versions.size > 0 && !this.versions.has(version);
    if (this.rule.singleVersion && mixes) return 'version-mixed';
    this.currentVersion = version;
    this.versions.add(version);
    this.lastId = event.id;
    this.events.push(event.data);
    return 'added';
  }

  /** Forgets everything made so far. */
  reset(): void {
    this.events = [];
    this.lastId = undefined;
    this.versions.clear();
    this.currentVersion = undefined;
    this.isTextWhole = false;
  }

  /** The last event has come. */
  markWhole(): void {
    this.isTextWhole = true;
  }

  /** Whether the last event has come. */
  get isWhole(): boolean {
    return this.isTextWhole;
  }

  /** Number of the last event, or `undefined` before the first. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Events so far. */
  get eventCount(): number {
    return this.events.length;
  }

  /** The only version so far, where a single one is asked for and events exist. */
  get boundVersion(): WeightVersion | undefined {
    return this.rule.singleVersion ? [...this.versions][0] : undefined;
  }

  /** The item's whole result. */
  toResult(id: string): JobResult {
    const versions = [...this.versions].sort((left, right) => left - right);
    return { id, state: 'completed', text: this.events.join('\n'), versions };
  }

  /** The result of an item that is given up. */
  toTerminated(id: string): JobResult {
    return { id, state: 'terminated', text: '', versions: [] };
  }

  /** What to keep, so that another node can go on; `undefined` before the first event. */
  toKept(): KeptItem | undefined {
    if (this.lastId === undefined) return undefined;
    const kept = {
      events: [...this.events],
      lastEventId: this.lastId,
      versions: [...this.versions],
    };
    return this.isTextWhole ? { ...kept, isWhole: true } : kept;
  }
}
