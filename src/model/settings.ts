/** Settings of one proxy, read once at its start. */
import * as z from 'zod';
import {AddressSchema, MillisSchema, NameSchema} from './primitives.js';

const ListenSchema = z.strictObject({
  /** Where callers send requests. */
  callers: AddressSchema,
  /** Where peers forward attempts and exchange control messages. */
  peers: AddressSchema,
  /** Where operators read health, metrics and status. */
  operators: AddressSchema,
});

const LocalUpstreamSchema = z.strictObject({
  address: AddressSchema,
  healthPath: z.string().startsWith('/').default('/health'),
  healthIntervalMs: MillisSchema.min(50).default(500),
});

const DisseminationSchema = z.strictObject({
  /** Proxies in each availability zone that watch the source. */
  watchersPerZone: z.int().min(1).max(100).default(3),
  /** Children of one proxy in its zone's push tree. */
  fanOut: z.int().min(1).max(64).default(4),
  gossipIntervalMs: MillisSchema.min(20).default(1_000),
  /** How long one watch call waits at the source. */
  watchWaitMs: MillisSchema.min(100).default(20_000),
  /** Source calls that this proxy may make in a minute. */
  sourceCallsPerMinute: z.int().min(1).default(60),
  backoffBaseMs: MillisSchema.min(1).default(100),
  backoffMaxMs: MillisSchema.min(1).default(10_000),
});

const LimitsSchema = z.strictObject({
  maxRequestBytes: z.int().min(1).default(1_048_576),
  maxAnswerBytes: z.int().min(1).default(4_194_304),
  maxCallerConnections: z.int().min(1).default(4_096),
  /** Time a sender has to deliver its whole request. */
  receiveTimeoutMs: MillisSchema.min(10).default(10_000),
  maxKeyRecords: z.int().min(1).default(100_000),
  /** Largest difference between any two VMs' clocks. */
  clockSkewMs: MillisSchema.default(1_000),
  /** Longest time that a planned stop waits for peers to take key records. */
  handOverTimeoutMs: MillisSchema.default(2_000),
  /** How long a request that crashed upstreams is refused. */
  quarantineMs: MillisSchema.default(600_000),
});

export const SettingsSchema = z.strictObject({
  /** Name of the upstream beside this proxy, as in the configuration. */
  upstreamId: NameSchema,
  region: NameSchema,
  zone: NameSchema,
  listen: ListenSchema,
  upstream: LocalUpstreamSchema,
  /** Address of the platform's configuration service. */
  source: AddressSchema,
  /** Peer addresses to ask first at the start. */
  seeds: z.array(AddressSchema).default([]),
  dissemination: DisseminationSchema.prefault({}),
  limits: LimitsSchema.prefault({}),
  logLevel: z
    .enum(['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'])
    .default('info'),
});

export type Settings = z.infer<typeof SettingsSchema>;
