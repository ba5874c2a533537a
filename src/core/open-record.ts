/** Records that nodes of different builds read and write again. */
import * as z from 'zod';

/**
 * A record whose further fields are kept: a newer build may have written them, and an older one that
 * writes the record again must not lose them. The type names the known fields alone.
 */
export function openRecord<Shape extends z.ZodRawShape>(shape: Shape): z.ZodObject<Shape> {
  return z.looseObject(shape) as unknown as z.ZodObject<Shape>;
}
