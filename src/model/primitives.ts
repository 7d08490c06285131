/** Schemas of primitive values that several other schemas use. */
import * as z from 'zod';

/** Longest name of a service, upstream, route or zone, in characters. */
const MAX_NAME_LENGTH = 64;

export const NameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]*$/,
    'use lower-case letters, digits and hyphens, starting with a letter or digit',
  )
  .max(MAX_NAME_LENGTH);

/** An IP address with a port. Host names are invalid: VMs have no resolver. */
export const AddressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'use an IP number and a port, such as 10.0.0.1:8080',
  );

/** A duration in whole milliseconds. */
export const MillisSchema = z.int().min(0).max(86_400_000);

export const SequenceSchema = z.int().min(0);

export type Address = z.infer<typeof AddressSchema>;
