/** Schemas of records that nodes of different builds read and rewrite. */
import * as z from 'zod';

/**
 * An object schema that preserves unknown fields, so that an older build does not lose fields of a
 * newer one when it rewrites the record. The type has the known fields only.
 */
export function looseRecord<Shape extends z.ZodRawShape>(shape: Shape): z.ZodObject<Shape> {
  return z.looseObject(shape) as unknown as z.ZodObject<Shape>;
}
