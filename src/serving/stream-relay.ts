/** Relays the complete events of a stream to a caller, across workers if the stream is resumed. */
import type { AnswerSink } from './answer-sink.js';
import type { EngineAnswer } from './engine-port.js';
import { EventStreamReader, type StreamEvent } from './event-stream.js';

export class StreamRelay {
  private lastId: number | undefined;

  constructor(
    private readonly sink: AnswerSink,
    private readonly versionField: string,
    resumedAfter: number | undefined,
  ) {
    this.lastId = resumedAfter;
  }

  /** Id of the last relayed event. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Relays the stream of one worker; returns whether it was complete and in order. */
  async follow(answer: EngineAnswer): Promise<boolean> {
    const reader = new EventStreamReader(this.versionField);
    try {
      for await (const chunk of answer.body) {
        const events = reader.push(chunk as Buffer);
        const inOrder = events.filter((event) => this.accept(event));
        if (inOrder.length > 0) await this.sink.write(Buffer.concat(inOrder.map((e) => e.raw)));
        if (inOrder.length < events.length) return false;
      }
    } catch {
      return false;
    }
    return !reader.hasPartialEvent();
  }

  private accept(event: StreamEvent): boolean {
    if (event.id === undefined) return true;
    if (this.lastId !== undefined && event.id !== this.lastId + 1) return false;
    this.lastId = event.id;
    return true;
  }
}
