/** Options of the upstream stand-in, and schemas of its request input. */
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
  /** Maximum number of concurrent requests; further ones are shed. */
  slots: createIntegerSchema(MAX_SLOTS, 1).default(10),
  /** Maximum number of open connections; further ones are dropped. */
  connections: createIntegerSchema(MAX_CONNECTIONS, 1).default(120),
  /** Default duration of the work of a request, in milliseconds. */
  workMs: DurationSchema.default(0),
  /** Time after the start during which work takes longer, in milliseconds. */
  coldStartMs: DurationSchema.default(0),
  /** Factor by which work takes longer during the cold start. */
  coldStartFactor: createIntegerSchema(1_000, 1).default(10),
  /** Age of the state that `/health` and `/load` report, in milliseconds. */
  healthLagMs: DurationSchema.default(0),
  /** Number of entries that the journal keeps; older ones are dropped. */
  journalEntries: createIntegerSchema(10_000_000, 1).default(100_000),
});

/** Marks that control how a request is run, from `x-` headers or the query. */
export const MarksSchema = z.object({
  /** Duration of the work, in milliseconds. */
  workMs: DurationSchema.optional(),
  /** Crashes the process at the end of the work, before it takes effect. */
  crash: FlagSchema.default(false),
  /** Truncates the answer, after the work has taken effect. */
  truncate: FlagSchema.default(false),
  /** Length of the padding in the answer, in bytes. */
  padBytes: createIntegerSchema(MAX_PADDING_BYTES).default(0),
  /** Text that the answer repeats. */
  echo: z.string().max(1_024).optional(),
});

/** Headers that the proxy sets on each request. */
export const ProxyHeadersSchema = z.object({
  attemptId: z.string().max(256).optional(),
  key: z.string().max(256).optional(),
  deadlineMs: DurationSchema.optional(),
});

export const HealthStatusSchema = z.enum(['ok', 'draining', 'down']);

/** Absent fields remain unchanged; `null` clears `pretend`. */
export const HealthBodySchema = z.strictObject({
  lagMs: MillisSchema.optional(),
  /** Status to report instead of the actual one. */
  pretend: HealthStatusSchema.nullable().optional(),
});

export const DrainBodySchema = z.strictObject({
  draining: z.boolean().default(true),
});

export type UpstreamOptions = z.infer<typeof UpstreamOptionsSchema>;
export type Marks = z.infer<typeof MarksSchema>;
export type ProxyHeaders = z.infer<typeof ProxyHeadersSchema>;
export type HealthStatus = z.infer<typeof HealthStatusSchema>;
