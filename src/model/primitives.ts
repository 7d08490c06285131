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

const OCTET = '(25[0-5]|2[0-4]\\d|1?\\d{1,2})';
const HOST = `(${OCTET}(\\.${OCTET}){3}|\\[[0-9a-fA-F:]+\\])`;
const PORT =
  '(6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}|[1-5]?\\d{1,4})';

/** An IP address with a port. Host names are invalid: VMs have no resolver. */
export const AddressSchema = z
  .string()
  .regex(
    new RegExp(`^${HOST}:${PORT}$`),
    'use an IP number and a port, such as 10.0.0.1:8080',
  );

/** An address to which connections can be opened; port 0 only lets listeners choose. */
export const RemoteAddressSchema = AddressSchema.regex(
  /:0*[1-9]\d*$/,
  'use a port from 1 to 65535',
);

/** A duration in whole milliseconds. */
export const MillisSchema = z.int().min(0).max(86_400_000);

export const SequenceSchema = z.int().min(0);

export type Address = z.infer<typeof AddressSchema>;
