/** Options of the platform stand-in, and schemas of its request input. */
import * as z from 'zod';
import {SubmissionSchema} from '../../model/config.js';
import {VmSchema} from '../../model/platform.js';
import {MillisSchema, SequenceSchema} from '../../model/primitives.js';
import {PortSchema, createIntegerSchema} from '../number_schemas.js';

/** Upper limit of waits, lags and latencies: one day. */
const MAX_DURATION_MS = 86_400_000;

const DurationSchema = createIntegerSchema(MAX_DURATION_MS);

export const PlatformOptionsSchema = z.strictObject({
  port: PortSchema.default(0),
  sidePort: PortSchema.default(0),
  /** Calls admitted per second; further calls are refused. */
  callsPerSecond: createIntegerSchema(1_000_000, 1).default(2_000),
  /** Delay of each response, in milliseconds. */
  latencyMs: DurationSchema.default(2),
  /** Delay until a new VM list becomes visible, in milliseconds. */
  vmLagMs: DurationSchema.default(0),
});

export const WatchQuerySchema = z.strictObject({
  after: createIntegerSchema(),
  vms: createIntegerSchema().default(0),
  waitMs: DurationSchema.default(0),
});

export const AfterQuerySchema = z.strictObject({
  after: createIntegerSchema().default(0),
});

export const PublishBodySchema = SubmissionSchema.pick({
  id: true,
  base: true,
  patch: true,
});

export const VmsBodySchema = z.strictObject({
  vms: z.array(VmSchema),
  /** Delay until this list becomes visible; defaults to `vmLagMs`. */
  lagMs: MillisSchema.optional(),
});

/** Absent fields remain unchanged; `null` clears `staleAtSequence`. */
export const FaultBodySchema = z.strictObject({
  down: z.boolean().optional(),
  staleAtSequence: SequenceSchema.nullable().optional(),
  latencyMs: MillisSchema.optional(),
});

export type PlatformOptions = z.infer<typeof PlatformOptionsSchema>;
