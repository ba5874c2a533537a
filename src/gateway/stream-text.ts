/**
 * Keeps a streamed answer equal to the final one: what the segments did not carry is sent at the
 * end, and a final text that differs from what was already sent is noticed.
 */

/** Text sent so far of one answer. */
export class StreamedText {
  #sent = '';

  /** Notes a piece that is sent. */
  add(text: string): void {
    this.#sent += text;
  }

  /** What is missing of the final text; `undefined` where the sent text is not its beginning. */
  missingOf(finalText: string): string | undefined {
    return finalText.startsWith(this.#sent) ? finalText.slice(this.#sent.length) : undefined;
  }
}
