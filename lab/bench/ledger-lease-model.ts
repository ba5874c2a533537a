/**
 * A shard owner that holds a lease in the key-value service, with a fencing token (Gray and
 * Cheriton, "Leases", 1989). The owner copies each write to a majority of backups. When it dies,
 * the next one waits for the lease to lapse; without the service the lease cannot be renewed.
 */
import { type ModelledDesign, ModelNetwork } from './ledger-model-network.js';

/** Life of a lease without renewal, in milliseconds. */
const LEASE_MILLISECONDS = 3_000;
const RENEWAL_MILLISECONDS = 1_000;
const ACQUIRE_RETRY_MILLISECONDS = 200;

/** One group of the lease design. */
export class LeaseModel implements ModelledDesign {
  readonly network: ModelNetwork;
  #owner: number | undefined;
  #token = 0;
  /** When the lease lapses in the service, and so for its holder. */
  #leaseEnd = 0;
  #isRecovered = false;

  constructor(size: number, seed: number) {
    this.network = new ModelNetwork(size, seed);
    for (let node = 0; node < size; node += 1) this.#pursue(node);
  }

  servingNode(): number | undefined {
    const owner = this.#owner;
    if (owner === undefined || this.network.isUp[owner] !== true) return undefined;
    return this.#isRecovered && this.network.queue.now < this.#leaseEnd ? owner : undefined;
  }

  write(payload: string, done: () => void): boolean {
    const owner = this.servingNode();
    if (owner === undefined) return false;
    this.#askMajority(owner, { kind: 'replicate', token: this.#token, payload }, done);
    return true;
  }

  /** Each node renews its lease, or tries to take over one that has lapsed. */
  #pursue(node: number): void {
    const { queue, isUp } = this.network;
    if (isUp[node] !== true) return;
    const now = queue.now;
    const holds = this.#owner === node && now < this.#leaseEnd;
    const isFree = now >= this.#leaseEnd;
    if (holds) this.#renew(node, now);
    else if (isFree) this.#acquire(node);
    const wait = holds ? RENEWAL_MILLISECONDS : ACQUIRE_RETRY_MILLISECONDS;
    queue.after(wait * (0.9 + this.network.random.fraction() * 0.2), () => this.#pursue(node));
  }

  #renew(node: number, sentAt: number): void {
    const token = this.#token;
    this.network.askKeyValue(node, (answered) => {
      if (answered && this.#token === token) this.#leaseEnd = sentAt + LEASE_MILLISECONDS;
    });
  }

  #acquire(node: number): void {
    const sentAt = this.network.queue.now;
    this.network.askKeyValue(node, (answered) => {
      if (!answered || this.network.queue.now < this.#leaseEnd) return;
      this.#token += 1;
      this.#owner = node;
      this.#leaseEnd = sentAt + LEASE_MILLISECONDS;
      this.#isRecovered = false;
      const token = this.#token;
      this.#askMajority(node, { kind: 'recover', token }, () => {
        this.#isRecovered = this.#token === token;
      });
    });
  }

  #askMajority(owner: number, request: object, done: () => void): void {
    const needed = Math.floor(this.network.size / 2);
    let answers = 0;
    for (const backup of this.network.others(owner)) {
      this.network.send(backup, request, () => {
        this.network.send(owner, { kind: 'done', token: this.#token }, () => {
          answers += 1;
          if (answers === needed) done();
        });
      });
    }
  }
}
