/** How records of the configuration are written in the key-value service. */

/** Text form of a record. */
export function encodeRecord(record: unknown): string {
  return JSON.stringify(record);
}

/** A record from its text form. */
export function decodeRecord<Record>(text: string): Record {
  return JSON.parse(text) as Record;
}
