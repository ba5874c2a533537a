/** Events of a simulation in order of time; events of one time keep the order they came in. */

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

function isEarlier(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** A binary heap of events with the time of the one last run. */
export class EventQueue {
  now = 0;
  readonly #heap: ScheduledEvent[] = [];
  #order = 0;

  /** Runs a function after a delay in milliseconds. */
  after(delay: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at: this.now + delay, order: this.#order, run });
    this.#rise(this.#heap.length - 1);
  }

  /** Runs all events up to a time, and stops there. */
  runUntil(time: number): void {
    for (
      let first = this.#heap[0];
      first !== undefined && first.at <= time;
      first = this.#heap[0]
    ) {
      this.#removeFirst();
      this.now = first.at;
      first.run();
    }
    this.now = time;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#sink(0);
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfEarlier(index, parent)) return;
      index = parent;
    }
  }

  #sink(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const leftEvent = this.#heap[left];
      const rightEvent = this.#heap[right];
      if (leftEvent === undefined) return;
      const child = rightEvent !== undefined && isEarlier(rightEvent, leftEvent) ? right : left;
      if (!this.#swapIfEarlier(child, index)) return;
      index = child;
    }
  }

  #swapIfEarlier(child: number, parent: number): boolean {
    const childEvent = this.#heap[child] as ScheduledEvent;
    const parentEvent = this.#heap[parent] as ScheduledEvent;
    if (!isEarlier(childEvent, parentEvent)) return false;
    this.#heap[child] = parentEvent;
    this.#heap[parent] = childEvent;
    return true;
  }
}
