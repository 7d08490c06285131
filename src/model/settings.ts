/** Schema of the settings of one proxy, which are read once at its start. */
import * as z from 'zod';
import {AddressSchema, MillisSchema, NameSchema} from './primitives.js';

const ListenSchema = z.strictObject({
  /** Address for requests from callers. */
  callers: AddressSchema,
  /** Address for attempts and control messages from peers. */
  peers: AddressSchema,
  /** Address at which operators read health, metrics and status. */
  operators: AddressSchema,
});

const LocalUpstreamSchema = z.strictObject({
  address: AddressSchema,
  healthPath: z.string().startsWith('/').default('/health'),
  healthIntervalMs: MillisSchema.min(50).default(500),
});

const DisseminationSchema = z.strictObject({
  /** Number of proxies in each availability zone that watch the source. */
  watchersPerZone: z.int().min(1).max(100).default(3),
  /** Children of each proxy in the tree that pushes updates within a zone. */
  fanOut: z.int().min(1).max(64).default(4),
  gossipIntervalMs: MillisSchema.min(20).default(1_000),
  /** How long the source may hold a watch call open until something changes. */
  watchWaitMs: MillisSchema.min(100).default(20_000),
  /** Maximum number of calls to the source per minute. */
  sourceCallsPerMinute: z.int().min(1).default(60),
  backoffBaseMs: MillisSchema.min(1).default(100),
  backoffMaxMs: MillisSchema.min(1).default(10_000),
});

const LimitsSchema = z.strictObject({
  maxRequestBytes: z.int().min(1).default(1_048_576),
  maxAnswerBytes: z.int().min(1).default(4_194_304),
  maxCallerConnections: z.int().min(1).default(4_096),
  /** Time limit for receiving a whole request. */
  receiveTimeoutMs: MillisSchema.min(10).default(10_000),
  maxKeyRecords: z.int().min(1).default(100_000),
  /** Largest difference between the clocks of any two VMs. */
  clockSkewMs: MillisSchema.default(1_000),
  /** How long a graceful shutdown waits for peers to accept key records. */
  handOverTimeoutMs: MillisSchema.default(2_000),
  /** How long a request is refused after it has crashed upstreams. */
  quarantineMs: MillisSchema.default(600_000),
});

export const SettingsSchema = z.strictObject({
  /** Name of the upstream on this proxy's VM, as in the configuration. */
  upstreamId: NameSchema,
  region: NameSchema,
  zone: NameSchema,
  listen: ListenSchema,
  upstream: LocalUpstreamSchema,
  /** Address of the platform's configuration service. */
  source: AddressSchema,
  /** Peer addresses that the proxy contacts first when it starts. */
  seeds: z.array(AddressSchema).default([]),
  dissemination: DisseminationSchema.prefault({}),
  limits: LimitsSchema.prefault({}),
  logLevel: z
    .enum(['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'])
    .default('info'),
});

export type Settings = z.infer<typeof SettingsSchema>;
