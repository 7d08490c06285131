/** Settings file of a proxy whose upstreams register themselves. */
import * as z from 'zod';
import {AddressSchema, MillisSchema} from './primitives.js';

export const MeshSettingsSchema = z.strictObject({
  /** Name of the VM, for logs. */
  name: z.string().min(1),
  region: z.string().min(1),
  zone: z.string().min(1),
  /** Service of the upstream beside this proxy. */
  service: z.string().min(1),
  /** Addresses on which the proxy listens. */
  listen: z.strictObject({
    /** For requests of callers on this VM. */
    callers: AddressSchema,
    /** For links from peers. */
    peers: AddressSchema,
    /** For readiness checks by the platform. */
    ready: AddressSchema,
    /** For metrics and status. */
    operators: AddressSchema,
  }),
  /** Address of the upstream beside this proxy. */
  upstream: AddressSchema,
  /** Address of the platform's API: the source of fleet and configuration. */
  source: AddressSchema,
  /** Interval at which upstreams report to the source. */
  heartbeatMs: MillisSchema.min(1).default(1_500),
  /**
   * Bandwidth of the VM's connection to the network. Proxies with the fastest ones
   * wait for new versions.
   */
  linkMbps: z.number().positive().default(1_000),
  /** Memory of the VM for this process, in megabytes (1e6 bytes). */
  memoryMb: z.number().positive().default(250),
  /** Time within which no proxy may send new work to an upstream that drains. */
  drainMs: MillisSchema.min(200).default(2_000),
  /** Time within which a new configuration is to be in force everywhere. */
  configApplyMs: MillisSchema.min(200).default(2_000),
  /**
   * Interval at which one proxy of the fleet reads the source; by default three
   * tenths of the shorter of these bounds, so that other readers can take over in
   * time, and whoever missed a version hears of it.
   */
  readIntervalMs: MillisSchema.min(50).optional(),
  /** Retries, hedges included, that the whole fleet may make to a service. */
  retries: z
    .strictObject({
      /** As a share of the calls to the service. */
      share: z.number().min(0).max(1).default(0.2),
      /** Further retries in each window. */
      extra: z.number().min(0).default(60),
      windowMs: MillisSchema.min(1).default(10_000),
    })
    .prefault({}),
  /**
   * Requests that a cold upstream may get in one second: the rate that it takes
   * times `excess`, plus `slack`. Absent: no limit.
   */
  coldLimit: z
    .strictObject({excess: z.number().min(0), slack: z.number().min(0)})
    .optional(),
  /**
   * Callers compete for too few slots at times: calls are refused without asking an
   * owner where all are full, one slot is kept for nested calls, and the least urgent
   * route is guaranteed a share.
   */
  scarceSlots: z.boolean().default(false),
  /** Time from the signal of a planned stop to the end of the process. */
  graceMs: MillisSchema.min(500).default(6_000),
  /** Time for which requests that crash upstreams are refused. */
  quarantineMs: MillisSchema.default(60_000),
  logLevel: z
    .enum(['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'])
    .default('info'),
});

export type MeshSettingsFile = z.infer<typeof MeshSettingsSchema>;
