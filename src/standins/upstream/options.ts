/** Options of the upstream stand-in, its side door and its request marks. */
import * as z from 'zod';
import {MillisSchema, NameSchema} from '../../model/primitives.js';
import {PortSchema, createIntegerSchema} from '../number_schemas.js';

const MAX_DURATION_MS = 86_400_000;
const MAX_PADDING_BYTES = 16_777_216;
const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;

const DurationSchema = createIntegerSchema(MAX_DURATION_MS);
const FlagSchema = z.enum(['0', '1']).transform(value => value === '1');

export const UpstreamOptionsSchema = z.strictObject({
  id: NameSchema,
  port: PortSchema.default(0),
  sidePort: PortSchema.default(0),
  /** Requests that run at the same time; more are shed. */
  slots: createIntegerSchema(MAX_SLOTS, 1).default(10),
  /** Connections that are kept at the same time; more are dropped. */
  connections: createIntegerSchema(MAX_CONNECTIONS, 1).default(120),
  /** How long work takes where a request does not say, in milliseconds. */
  workMs: DurationSchema.default(0),
  /** Time after the start during which work is slower, in milliseconds. */
  coldStartMs: DurationSchema.default(0),
  /** How many times longer work takes during the cold start. */
  coldStartFactor: createIntegerSchema(1_000, 1).default(10),
  /** How much older than now the state is that `/health` and `/load` tell. */
  healthLagMs: DurationSchema.default(0),
  /** Entries that the journal keeps; older ones are dropped. */
  journalEntries: createIntegerSchema(10_000_000, 1).default(100_000),
});

/** Marks of one request, from `x-` headers or the query. */
export const MarksSchema = z.object({
  /** How long the work takes, in milliseconds. */
  workMs: DurationSchema.optional(),
  /** The process ends at the end of the work, before its effect. */
  crash: FlagSchema.default(false),
  /** The answer breaks off half-way, after the effect. */
  truncate: FlagSchema.default(false),
  /** Bytes of padding in the answer. */
  padBytes: createIntegerSchema(MAX_PADDING_BYTES).default(0),
  /** Text that comes back in the answer. */
  echo: z.string().max(1_024).optional(),
});

/** Headers that the proxy sets on each request. */
export const ProxyHeadersSchema = z.object({
  attemptId: z.string().max(256).optional(),
  key: z.string().max(256).optional(),
  deadlineMs: DurationSchema.optional(),
});

export const HealthStatusSchema = z.enum(['ok', 'draining', 'down']);

/** Absent fields stay as they are; `null` ends the misleading. */
export const HealthBodySchema = z.strictObject({
  lagMs: MillisSchema.optional(),
  /** A status to tell whatever the truth is. */
  pretend: HealthStatusSchema.nullable().optional(),
});

export const DrainBodySchema = z.strictObject({
  draining: z.boolean().default(true),
});

export type UpstreamOptions = z.infer<typeof UpstreamOptionsSchema>;
export type Marks = z.infer<typeof MarksSchema>;
export type ProxyHeaders = z.infer<typeof ProxyHeadersSchema>;
export type HealthStatus = z.infer<typeof HealthStatusSchema>;
