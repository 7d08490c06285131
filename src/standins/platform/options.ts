/** Options of the platform stand-in and the bodies of its side door. */
import * as z from 'zod';
import {SubmissionSchema} from '../../model/config.js';
import {VmSchema} from '../../model/platform.js';
import {MillisSchema, SequenceSchema} from '../../model/primitives.js';
import {PortSchema, createIntegerSchema} from '../number_schemas.js';

/** Longest wait, lag or latency that can be asked for: one day. */
const MAX_DURATION_MS = 86_400_000;

const DurationSchema = createIntegerSchema(MAX_DURATION_MS);

export const PlatformOptionsSchema = z.strictObject({
  port: PortSchema.default(0),
  sidePort: PortSchema.default(0),
  /** Calls that pass in a second; more are refused. */
  callsPerSecond: createIntegerSchema(1_000_000, 1).default(2_000),
  /** Time that each answer takes, in milliseconds. */
  latencyMs: DurationSchema.default(2),
  /** Time until a new VM list shows, in milliseconds. */
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
  /** Time until this list shows; the stand-in's own setting by default. */
  lagMs: MillisSchema.optional(),
});

/** Absent fields stay as they are; `null` ends the staleness. */
export const FaultBodySchema = z.strictObject({
  down: z.boolean().optional(),
  staleAtSequence: SequenceSchema.nullable().optional(),
  latencyMs: MillisSchema.optional(),
});

export type PlatformOptions = z.infer<typeof PlatformOptionsSchema>;
