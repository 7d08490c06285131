/** Settings of a proxy whose upstreams register themselves. */
import * as z from 'zod';
import {AddressSchema, MillisSchema} from './primitives.js';

export const MeshSettingsSchema = z.strictObject({
  /** Name of the VM, for logs. */
  name: z.string().min(1),
  region: z.string().min(1),
  zone: z.string().min(1),
  /** Service of the upstream beside this proxy. */
  service: z.string().min(1),
  listen: z.strictObject({
    /** Where callers on this VM send requests. */
    callers: AddressSchema,
    /** Where peers open links. */
    peers: AddressSchema,
    /** Where the platform asks whether the proxy is ready. */
    ready: AddressSchema,
    /** Where metrics and status are read. */
    operators: AddressSchema,
  }),
  /** Address of the upstream beside this proxy. */
  upstream: AddressSchema,
  /** Address of the platform's service. */
  source: AddressSchema,
  /** Interval at which upstreams report to the source. */
  heartbeatMs: MillisSchema.min(1).default(1_500),
  /** Time between two reads of the source by the proxy that reads it. */
  readIntervalMs: MillisSchema.min(50).default(600),
  /** Second sends that the whole fleet may make to a service. */
  retries: z
    .strictObject({
      /** As a share of the calls for it. */
      share: z.number().min(0).max(1).default(0.2),
      /** Beside that, in each window. */
      extra: z.number().min(0).default(60),
      windowMs: MillisSchema.min(1).default(10_000),
    })
    .prefault({}),
  /** Time from the signal of a planned stop to the end of the process. */
  graceMs: MillisSchema.min(500).default(6_000),
  /** How long a request that crashes upstreams is refused. */
  quarantineMs: MillisSchema.default(60_000),
  logLevel: z
    .enum(['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'])
    .default('info'),
});

export type MeshSettingsFile = z.infer<typeof MeshSettingsSchema>;
