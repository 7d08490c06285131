/**
 * Schemas for a fleet whose upstreams register themselves: configurations,
 * registered upstreams, and the messages between proxies. Types are inferred
 * from the schemas.
 */
import * as z from 'zod';
import {LoadReportSchema, SuspectInfoSchema} from './peer.js';
import {
  AddressSchema,
  RemoteAddressSchema,
  SequenceSchema,
} from './primitives.js';

const MAX_ID_LENGTH = 256;
const MAX_POLLERS = 8;
const MAX_EVACUATIONS = 64;

const IdSchema = z.string().min(1).max(MAX_ID_LENGTH);
const DurationMsSchema = z.number().min(0);

// Values of the operator and of upstreams have no upper bounds here: the source checks
// them, and one value above a bound would refuse the whole document.

/** A name that the operator or an upstream sets. */
const ExternalNameSchema = z.string().min(1);

/** A duration that the operator sets; one below a millisecond counts as one. */
const ExternalDurationMsSchema = DurationMsSchema.transform(ms =>
  Math.max(ms, 1),
);

/** A limit that the operator sets; it may lie beyond the safe integers. */
const ExternalLimitSchema = z.number().min(0);

/** One of the services among which a route distributes its calls. */
const BackendSchema = z.strictObject({
  service: ExternalNameSchema,
  weight: z.number().min(0),
});

/** A route: the calls that it matches, and how they are sent. */
export const MeshRouteSchema = z.strictObject({
  name: ExternalNameSchema,
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  /** Whether a request may be executed more than once. */
  idempotent: z.boolean(),
  /** Longest time until a caller gets an answer or a refusal. */
  timeoutMs: ExternalDurationMsSchema,
  /** Time after which an answer is of less use to the caller. */
  aimMs: ExternalDurationMsSchema,
  /** Largest number of upstreams to which one call may be sent. */
  attempts: z.number().min(1).transform(Math.floor),
  /** Priority among routes; 0 is the highest. */
  priority: z.int().min(0),
  backends: z.array(BackendSchema).min(1).readonly(),
});

export const MeshServiceSchema = z.strictObject({
  name: ExternalNameSchema,
  /** Connections that one upstream accepts in total. */
  connections: ExternalLimitSchema,
  /** Time for which an upstream is cold after its start. */
  coldStartMs: DurationMsSchema.optional(),
  /** Requests per second that a cold upstream takes; absent or 0: no limit. */
  coldPerSecond: z.number().min(0).optional(),
});

/** Limits on the size and the duration of callers' requests. */
export const CallerLimitsSchema = z.strictObject({
  maxHeaderBytes: ExternalLimitSchema,
  maxBodyBytes: ExternalLimitSchema,
  headerTimeoutMs: ExternalDurationMsSchema,
  idleTimeoutMs: ExternalDurationMsSchema,
});

/** A complete configuration; a higher version replaces a lower one. */
export const MeshConfigSchema = z.strictObject({
  version: SequenceSchema,
  routes: z.array(MeshRouteSchema).readonly(),
  services: z.array(MeshServiceSchema).readonly(),
  limits: CallerLimitsSchema,
});

/** An upstream as it has registered itself. */
export const InstanceSchema = z.strictObject({
  id: IdSchema,
  service: ExternalNameSchema,
  address: RemoteAddressSchema,
  zone: ExternalNameSchema,
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining']),
  /** Remaining time of its slow start. */
  coldMs: DurationMsSchema,
  /** Start of its process, in Unix milliseconds; 0 if it does not report it. */
  incarnation: z.number(),
  /** Position of the source at which its registration was created. */
  registeredAt: SequenceSchema,
  /** Increases with each report of one incarnation. */
  heartbeat: z.number(),
});

/** Changes that are later than the revision of the list that shows them. */
export const LaterChangesSchema = z.strictObject({
  ids: z.array(IdSchema).readonly(),
  /** Revision that none of them is later than. */
  revision: SequenceSchema,
});

/** Changes of the fleet between two revisions of the source. */
export const FleetUpdateSchema = z.strictObject({
  /**
   * Revision up to which the receiver must have all changes; 0: `changed` lists
   * the whole fleet.
   */
  base: SequenceSchema,
  revision: SequenceSchema,
  changed: z.array(InstanceSchema).readonly(),
  removed: z.array(IdSchema).readonly(),
  /** Instances whose change may be later than `revision`; absent: none. */
  later: LaterChangesSchema.optional(),
});

/** Whether a zone is evacuated; the report with the highest revision holds. */
export const EvacuationSchema = z.strictObject({
  zone: IdSchema,
  /** Position of the source at which the operator changed it. */
  revision: SequenceSchema,
  evacuated: z.boolean(),
});

/** What the sender knows of evacuated zones; absent: nothing. */
const EvacuationsSchema = z
  .array(EvacuationSchema)
  .max(MAX_EVACUATIONS)
  .readonly()
  .optional();

/** Difference between two configurations; entries are replaced by name. */
export const ConfigDeltaSchema = z.strictObject({
  base: SequenceSchema,
  version: SequenceSchema,
  routes: z.array(MeshRouteSchema).readonly(),
  removedRoutes: z.array(ExternalNameSchema).readonly(),
  services: z.array(MeshServiceSchema).readonly(),
  removedServices: z.array(ExternalNameSchema).readonly(),
  limits: CallerLimitsSchema,
});

/** An attempt of a call, sent to the owner: the proxy beside an upstream. */
export const MeshAttemptSchema = z.strictObject({
  attemptId: IdSchema,
  /** The caller's own identifier of its request, for logs. */
  requestId: z.string(),
  service: ExternalNameSchema,
  instanceId: IdSchema,
  route: ExternalNameSchema,
  /** Service of the upstream beside the entry. */
  callerService: z.string(),
  idempotent: z.boolean(),
  /** A request that runs at another upstream made the call and waits for it. */
  nested: z.boolean().optional(),
  /** Other requests wait for the slot that the run that made the call holds. */
  slotWanted: z.boolean().optional(),
  /**
   * An upstream has received the request before, or a repeated run made the call.
   * The calls that its run makes use the retry budget of the services called.
   */
  repeated: z.boolean().optional(),
  priority: z.int().min(0),
  /** Time left until the aim and until the deadline, when it was sent. */
  aimMs: z.number(),
  timeoutMs: z.number(),
  /** The route's `aimMs`, from which the run time is estimated. */
  routeAimMs: z.number().min(1),
  fingerprint: z.string().max(128),
  /** The upstream's rate limit, in requests per second, as the entry knows it. */
  limitPerSecond: z.number().min(0).optional(),
});

const HeadersSchema = z.record(
  z.string(),
  z.union([z.string(), z.array(z.string())]),
);

/** Messages that are sent for each call; the others are rarer and longer. */
export const CALL_MESSAGE_KINDS = [
  'attempt',
  'cancel',
  'resume',
  'answer',
  'refusal',
  'ping',
  'pong',
] as const;

export type CallMessageKind = (typeof CALL_MESSAGE_KINDS)[number];

/** Proxies that wait for the next version, as one proxy decided. */
const AppointmentSchema = z.strictObject({
  by: AddressSchema,
  /** The first one comes first. */
  pollers: z.array(AddressSchema).max(MAX_POLLERS).readonly(),
});

const ConfigAgeFields = {
  /** Time since the sender's version was known to be the latest. */
  configAgeMs: DurationMsSchema,
  /** Time since the source delivered that version to the first proxy. */
  versionAgeMs: DurationMsSchema,
};

/** Messages on the link between two proxies; a body may follow in the frame. */
export const LinkMessageSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'),
    address: AddressSchema,
    zone: ExternalNameSchema,
    /** Start of the sending process, in Unix milliseconds. */
    incarnation: z.number(),
    version: SequenceSchema,
    revision: SequenceSchema,
    leaving: z.boolean(),
    /** Bandwidth of the VM's connection to the network. */
    linkMbps: z.number().min(0),
  }),
  z.strictObject({kind: z.literal('ping'), id: z.int()}),
  z.strictObject({kind: z.literal('pong'), id: z.int()}),
  z.strictObject({
    kind: z.literal('news'),
    /** Whom the receiver sends it on to; absent: all others of its zone. */
    forwardTo: z.array(AddressSchema).readonly().optional(),
    /** Who waits at the source for the next version; absent: unchanged. */
    appointment: AppointmentSchema.optional(),
    /** Time since the source was read, in milliseconds. */
    ageMs: z.number().min(0),
    fleet: FleetUpdateSchema,
    /** Latest version that the sender has or has heard of. */
    version: SequenceSchema,
    /** Revision up to which the sender cannot have missed a configuration. */
    configRevision: SequenceSchema,
    ...ConfigAgeFields,
    delta: ConfigDeltaSchema.optional(),
    evacuations: EvacuationsSchema,
  }),
  /** Asks for what is newer than the sender's state. */
  z.strictObject({
    kind: z.literal('pull'),
    version: SequenceSchema,
    revision: SequenceSchema,
    /** Ages of the sender's list and configuration. */
    ageMs: DurationMsSchema,
    configAgeMs: DurationMsSchema,
  }),
  /**
   * Answers a pull, with differences to the version of its sender where they are
   * kept, or with the configuration, compressed in the body.
   */
  z.strictObject({
    kind: z.literal('state'),
    ageMs: z.number().min(0),
    /** Position of the sender's list and version of its configuration. */
    revision: SequenceSchema,
    version: SequenceSchema,
    fleet: FleetUpdateSchema.optional(),
    deltas: z.array(ConfigDeltaSchema).readonly(),
    configRevision: SequenceSchema,
    ...ConfigAgeFields,
    hasConfig: z.boolean(),
    evacuations: EvacuationsSchema,
  }),
  /** A long poll of the sender was answered; failed: it was not. */
  z.strictObject({
    kind: z.literal('polled'),
    failed: z.boolean(),
    version: SequenceSchema,
    configRevision: SequenceSchema,
    ...ConfigAgeFields,
    evacuations: EvacuationsSchema,
  }),
  z.strictObject({
    kind: z.literal('suspects'),
    suspects: z.array(SuspectInfoSchema).max(64).readonly(),
  }),
  z.strictObject({
    kind: z.literal('leaving'),
    address: AddressSchema,
    /** The sender refuses whatever arrives now, and its process ends. */
    final: z.boolean().optional(),
  }),
  /** The sender's upstream refuses connections, or accepts them again. */
  z.strictObject({
    kind: z.literal('upstreamState'),
    instanceId: IdSchema,
    up: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('attempt'),
    attempt: MeshAttemptSchema,
    method: z.string(),
    path: z.string(),
    headers: HeadersSchema,
  }),
  z.strictObject({kind: z.literal('cancel'), attemptId: IdSchema}),
  /** Asks for the result of an attempt; an unknown one must not start later. */
  z.strictObject({kind: z.literal('resume'), attemptId: IdSchema}),
  z.strictObject({
    kind: z.literal('answer'),
    attemptId: IdSchema,
    status: z.int(),
    headers: HeadersSchema,
    unframed: z.boolean().optional(),
    load: LoadReportSchema,
  }),
  z.strictObject({
    kind: z.literal('refusal'),
    attemptId: IdSchema,
    reason: z.string(),
    outcome: z.enum(['not-run', 'unknown']),
    retryAfterMs: z.number().optional(),
    /** The upstream received it, whether or not it ran it. */
    reachedUpstream: z.boolean(),
    load: LoadReportSchema,
  }),
]);

export type MeshRoute = z.infer<typeof MeshRouteSchema>;
export type MeshService = z.infer<typeof MeshServiceSchema>;
export type MeshConfig = z.infer<typeof MeshConfigSchema>;
export type CallerLimits = z.infer<typeof CallerLimitsSchema>;
export type Appointment = z.infer<typeof AppointmentSchema>;
export type Evacuation = z.infer<typeof EvacuationSchema>;
export type Instance = z.infer<typeof InstanceSchema>;
export type LaterChanges = z.infer<typeof LaterChangesSchema>;
export type FleetUpdate = z.infer<typeof FleetUpdateSchema>;
export type ConfigDelta = z.infer<typeof ConfigDeltaSchema>;
export type MeshAttempt = z.infer<typeof MeshAttemptSchema>;
export type LinkMessage = z.infer<typeof LinkMessageSchema>;

/** The message of an attempt. */
export type AttemptMessage = Extract<LinkMessage, {kind: 'attempt'}>;
export type Hello = Extract<LinkMessage, {kind: 'hello'}>;
