/** When each weight version was published, so that an oracle can judge staleness. */

/** Versions of one model with their times of publication. */
export class VersionRecord {
  private readonly publishedAt = new Map<number, number>();

  /** Notes a version whose publication was accepted at a time, in milliseconds. */
  published(version: number, at: number): void {
    this.publishedAt.set(version, at);
  }

  /** The newest version published at or before a time; 0 where there was none. */
  newestAt(time: number): number {
    let newest = 0;
    for (const [version, at] of this.publishedAt) {
      if (at <= time && version > newest) newest = version;
    }
    return newest;
  }

  /** Time since a newer version than this one was first published; 0 where none was. */
  ageAt(version: number, time: number): number {
    let earliest = Number.POSITIVE_INFINITY;
    for (const [other, at] of this.publishedAt) {
      if (other > version && at < earliest) earliest = at;
    }
    return earliest === Number.POSITIVE_INFINITY ? 0 : Math.max(0, time - earliest);
  }
}
