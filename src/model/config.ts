/**
 * Schemas of the published configuration: services, their upstreams, and the
 * routes that map calls to services. The types are inferred from the schemas.
 */
import * as z from 'zod';
import {
  AddressSchema,
  MillisSchema,
  NameSchema,
  SequenceSchema,
} from './primitives.js';

/** Limits and policies that apply to every upstream of a service. */
export const ServiceSchema = z.strictObject({
  /** Requests that one upstream processes concurrently. */
  slots: z.int().min(1).max(10_000),
  /** Connections that one upstream accepts, including health probes. */
  connections: z.int().min(2).max(100_000),
  /** Requests that may wait for a slot at one upstream. */
  queue: z.int().min(0).max(10_000).default(16),
  /** How long the record of an idempotency key is kept. */
  keyLifetimeMs: MillisSchema.default(600_000),
  /** Retries allowed, as a percentage of first attempts. */
  retryBudgetPercent: z.number().min(0).max(100).default(10),
  /** Time over which the load of a newly started upstream is ramped up. */
  slowStartMs: MillisSchema.default(0),
});

/** One instance of a service, with a proxy beside it. */
export const UpstreamSchema = z.strictObject({
  service: NameSchema,
  region: NameSchema,
  zone: NameSchema,
  /** Address at which peers reach the proxy of this upstream. */
  peerAddress: AddressSchema,
});

/** Maps requests that match it to a service. */
export const RouteSchema = z.strictObject({
  pathPrefix: z.string().startsWith('/', 'start the prefix with /'),
  host: z.string().min(1).optional(),
  methods: z.array(z.string().regex(/^[A-Z]+$/)).optional(),
  service: NameSchema,
  /** `by-method`: GET, HEAD, OPTIONS, PUT and DELETE are idempotent. */
  idempotent: z
    .union([z.boolean(), z.literal('by-method')])
    .default('by-method'),
  timeoutMs: MillisSchema.default(5_000),
  priority: z.enum(['interactive', 'batch']).default('interactive'),
});

export const ConfigSchema = z.strictObject({
  services: z.record(NameSchema, ServiceSchema),
  upstreams: z.record(NameSchema, UpstreamSchema),
  routes: z.record(NameSchema, RouteSchema),
});

/** Replacements of whole entries; `null` removes an entry. */
export const PatchSchema = z.strictObject({
  services: z.record(NameSchema, ServiceSchema.nullable()).optional(),
  upstreams: z.record(NameSchema, UpstreamSchema.nullable()).optional(),
  routes: z.record(NameSchema, RouteSchema.nullable()).optional(),
});

/**
 * One published request to change the configuration. `patch` is not validated
 * by this schema: a submission with a malformed patch still occupies its place
 * in the sequence, and the fold refuses it in the same way at every proxy.
 */
export const SubmissionSchema = z.strictObject({
  sequence: SequenceSchema.min(1),
  id: z.string().min(1).max(128),
  /** The version that the patch was made against. */
  base: SequenceSchema,
  /** When the platform accepted the publication, in Unix milliseconds. */
  publishedAt: z.number(),
  patch: z.unknown(),
});

export type Service = z.infer<typeof ServiceSchema>;
export type Upstream = z.infer<typeof UpstreamSchema>;
export type Route = z.infer<typeof RouteSchema>;
export type Config = z.infer<typeof ConfigSchema>;
export type Patch = z.infer<typeof PatchSchema>;
export type Submission = z.infer<typeof SubmissionSchema>;

export const EMPTY_CONFIG: Config = {services: {}, upstreams: {}, routes: {}};
