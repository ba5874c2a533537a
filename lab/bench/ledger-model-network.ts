/** The network of the compared designs: counts messages and encoded bytes, skips dead nodes. */
import { stringify } from 'devalue';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import { EventQueue } from '../simulation/event-queue.js';

/** One way of replicating a shard, as far as the comparison needs it. */
export interface ModelledDesign {
  readonly network: ModelNetwork;
  /** Writes at whoever serves now; false where nobody does. */
  write(payload: string, done: () => void): boolean;
  /** The node that serves now; `undefined` where nobody does. */
  servingNode(): number | undefined;
}

/** Nodes of one group and the messages between them. */
export class ModelNetwork {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly isUp: boolean[];
  readonly size: number;
  isKeyValueDown = false;
  messages = 0;
  bytes = 0;
  keyValueRequests = 0;

  constructor(size: number, seed: number) {
    this.size = size;
    this.random = createRandomSource(seed);
    this.isUp = Array.from({ length: size }, () => true);
  }

  /** The other nodes of the group. */
  others(node: number): number[] {
    return Array.from({ length: this.size }, (_, index) => index).filter((other) => other !== node);
  }

  /** Sends a message; the handler runs at the receiver, if it lives. */
  send(to: number, message: object, handler: () => void): void {
    this.messages += 1;
    this.bytes += Buffer.byteLength(stringify(message));
    this.queue.after(0.5 + this.random.fraction() * 0.5, () => {
      if (this.isUp[to] === true) handler();
    });
  }

  /** Asks the key-value service; false where it is down. */
  askKeyValue(node: number, handler: (answered: boolean) => void): void {
    this.keyValueRequests += 1;
    this.queue.after(4 + this.random.fraction() * 20, () => {
      if (this.isUp[node] === true) handler(!this.isKeyValueDown);
    });
  }
}
