/** Bounds the heap that jobs may take, whose items are objects many times the size of their text. */
import { getHeapStatistics } from 'node:v8';
import { KIBIBYTE, MEBIBYTE } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';

/** Heap of one JSON object of a submission with what the job keeps beside it. */
const OBJECT_BYTES = 2 * KIBIBYTE;

/** Heap of a byte of the text: the text itself, and the strings of its objects. */
const BYTES_PER_BYTE = 2;

const OPENING_BRACE = '{'.charCodeAt(0);

/** Part of the heap, and of the machine's memory, that may be in use with a large submission. */
const LARGE_HEAP_SHARE = 3 / 4;
const LARGE_MEMORY_SHARE = 1 / 2;

/** Smaller submissions are admitted until the heap is almost full. */
const SMALL_SUBMISSION_BYTES = 8 * MEBIBYTE;
const SMALL_HEAP_SHARE = 9 / 10;

/** Part of the room for large submissions that one may take. */
const ONE_SUBMISSION_SHARE = 3 / 4;

/** Sizes of the heap in bytes. */
export interface HeapSizes {
  readonly used: number;
  readonly limit: number;
}

function readHeapSizes(): HeapSizes {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics();
  return { used, limit };
}

export class HeapLimit {
  constructor(
    private readonly memoryBytes: number,
    private readonly sizes: () => HeapSizes = readHeapSizes,
  ) {}

  /** The failure with which to reject a submission before it is parsed; `undefined` to admit it. */
  refusalOf(json: Buffer): Failure | undefined {
    const cost = parsedSizeOf(json);
    const { used, limit } = this.sizes();
    const large = Math.min(LARGE_HEAP_SHARE * limit, LARGE_MEMORY_SHARE * this.memoryBytes);
    if (cost > ONE_SUBMISSION_SHARE * large) {
      return failure('body_too_large', 'more items than a job of this node can have');
    }
    const room = cost > SMALL_SUBMISSION_BYTES ? large : SMALL_HEAP_SHARE * limit;
    return used + cost <= room ? undefined : failure('node_overloaded', 'no room for the job');
  }
}

/** Estimated heap of a parsed submission, in bytes. */
export function parsedSizeOf(json: Buffer): number {
  let objects = 0;
  for (let at = json.indexOf(OPENING_BRACE); at >= 0; at = json.indexOf(OPENING_BRACE, at + 1)) {
    objects += 1;
  }
  return BYTES_PER_BYTE * json.length + OBJECT_BYTES * objects;
}
