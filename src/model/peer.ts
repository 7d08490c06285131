/** Schemas of the messages between proxies, validated on receipt. */
import * as z from 'zod';
import {SubmissionSchema} from './config.js';
import {CatchUpSchema} from './fold_state.js';
import {VmChangesSchema, VmListSchema} from './platform.js';
import {NameSchema, SequenceSchema} from './primitives.js';

const MAX_SUBMISSIONS_PER_MESSAGE = 1_024;
const MAX_MEMBERS_PER_MESSAGE = 64;
const MAX_SUSPECTS_PER_MESSAGE = 64;
const MAX_VM_CHANGES_PER_MESSAGE = 64;
const MAX_KEYS_PER_MESSAGE = 200_000;

const KeySchema = z.string().min(1).max(256);
const AttemptIdSchema = z.string().min(1).max(128);

/** Load of an upstream, which its owner reports with each answer. */
export const LoadReportSchema = z.strictObject({
  running: z.int().min(0),
  queued: z.int().min(0),
  slots: z.int().min(0),
  leaving: z.boolean(),
  /** Estimated processing time of a request, in milliseconds. */
  serviceTimeMs: z.number().min(0).optional(),
  /** Current processing time, as a multiple of the usual one. */
  slowness: z.number().min(0).optional(),
  /** Fraction of recent requests that failed or were shed. */
  failing: z.number().min(0).max(1).optional(),
  /** Requests per second that the upstream accepts; absent: no limit. */
  limitPerSecond: z.number().min(0).optional(),
  /** Time until the limit allows another request, in milliseconds. */
  limitDelayMs: z.number().min(0).optional(),
  /**
   * Requests per second that a cold upstream is given, and the time until it can
   * be given another one, in milliseconds; absent: it is not cold.
   */
  coldPerSecond: z.number().min(0).optional(),
  coldDelayMs: z.number().min(0).optional(),
  /** Time that waiting answers take on the VM's network connection. */
  linkDelayMs: z.number().min(0).optional(),
  /** Time that the bodies of requests take which are to arrive there. */
  requestDelayMs: z.number().min(0).optional(),
  /** Used share of the bandwidth of the upstream's VM; absent: little. */
  linkShare: z.number().min(0).max(1).optional(),
  /** The upstream that was asked has reported that it is leaving. */
  upstreamLeaving: z.boolean().optional(),
});

/** One attempt of a call, sent by the entry to an owner. */
export const AttemptSchema = z.strictObject({
  attemptId: AttemptIdSchema,
  service: NameSchema,
  upstreamId: NameSchema,
  /** Configuration version with which the entry chose the owner. */
  version: SequenceSchema,
  idempotent: z.boolean(),
  /** Idempotency key; present if the request must run at most once. */
  key: KeySchema.optional(),
  /** True if the entry generated the key, so that no other entry knows it. */
  privateKey: z.boolean(),
  /** Time remaining when the attempt was sent, in milliseconds. */
  timeoutMs: z.number().min(0),
  fingerprint: z.string().max(128),
  /** True if an earlier attempt was running when its upstream crashed. */
  suspect: z.boolean(),
  priority: z.enum(['interactive', 'batch']),
});

/** State of one proxy, as proxies exchange it. */
export const MemberInfoSchema = z.strictObject({
  id: NameSchema,
  peerAddress: z.string(),
  /** Start time of the process, in Unix milliseconds. */
  incarnation: z.number(),
  /** Increases with each heartbeat of one incarnation. */
  heartbeat: SequenceSchema,
  /** Sequence number in force. */
  sequence: SequenceSchema,
  /** Configuration version in force. */
  version: SequenceSchema,
  /** First characters of the digest at `sequence`. */
  digest: z.string(),
  leaving: z.boolean(),
  /**
   * True if the health endpoint of its upstream reports that it drains. Such
   * reports can be wrong, so this does not imply `leaving`.
   */
  drainHint: z.boolean().optional(),
  ready: z.boolean(),
});

/** A fingerprint of requests that ran when an upstream crashed. */
export const SuspectInfoSchema = z.strictObject({
  fingerprint: z.string().max(128),
  /** Identifiers of the crashes at which such a request ran. */
  crashedAt: z.array(z.string()).max(64).readonly(),
  /** Those of the crashes at which no other suspect ran. */
  soleAt: z.array(z.string()).max(64).readonly(),
  /** Those of the crashes after which such a request has completed. */
  clearedAt: z.array(z.string()).max(64).readonly(),
  /** True if such a request completed after each crash: it is not the cause. */
  cleared: z.boolean(),
  expiresAt: z.number(),
});

/** State of one idempotency key, as a key holder reports it. */
export const KeyVerdictSchema = z.strictObject({
  key: KeySchema,
  /**
   * `never-ran`: the key holder had no record of the key and has closed it.
   * `closed`: a caller was answered that the request did not run, so no key
   * holder may run it.
   */
  status: z.enum(['never-ran', 'closed', 'running', 'finished', 'in-doubt']),
});

/** Fields of both a gossip request and its reply. */
const GossipFields = {
  kind: z.literal('gossip'),
  from: MemberInfoSchema,
  members: z.array(MemberInfoSchema).max(MAX_MEMBERS_PER_MESSAGE).readonly(),
  suspects: z.array(SuspectInfoSchema).max(MAX_SUSPECTS_PER_MESSAGE).readonly(),
  /** Changes since the receiver's VM list, if the sender still has them. */
  vmChanges: z
    .array(VmChangesSchema)
    .max(MAX_VM_CHANGES_PER_MESSAGE)
    .readonly()
    .optional(),
  /** The whole VM list, if the receiver is too far behind. */
  vmList: VmListSchema.optional(),
};

/** Control message of a proxy to a peer. */
export const PeerRequestSchema = z.discriminatedUnion('kind', [
  z.strictObject({...GossipFields, vmRevision: SequenceSchema}),
  z.strictObject({
    kind: z.literal('push'),
    submissions: z
      .array(SubmissionSchema)
      .max(MAX_SUBMISSIONS_PER_MESSAGE)
      .readonly(),
    vmChanges: VmChangesSchema.optional(),
    /** True if the push is sent again because the first one failed. */
    isRetry: z.boolean().optional(),
    members: z
      .array(MemberInfoSchema)
      .max(MAX_MEMBERS_PER_MESSAGE)
      .readonly()
      .optional(),
  }),
  z.strictObject({
    kind: z.literal('pull'),
    afterSequence: SequenceSchema,
    /** The sender's digest at `afterSequence`. */
    digest: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal('announce'),
    sequence: SequenceSchema,
    /** The second round detects witnesses that restarted since the first. */
    round: z.literal([1, 2]),
  }),
  z.strictObject({
    kind: z.literal('join'),
    id: NameSchema,
    /** Number of the sender's round of join requests. */
    round: z.int().min(1),
  }),
  z.strictObject({
    kind: z.literal('closeKey'),
    service: NameSchema,
    key: KeySchema,
    attemptId: AttemptIdSchema,
    /**
     * `give-up`: an entry stops waiting. `moved`: the key has another key
     * holder now.
     */
    cause: z.enum(['give-up', 'moved']),
    version: SequenceSchema,
  }),
  z.strictObject({
    kind: z.literal('handOver'),
    service: NameSchema,
    fromId: NameSchema,
    /** Start time of the stopping process, in Unix milliseconds. */
    incarnation: z.number(),
    /** The upstreams among which its keys are distributed. */
    heirs: z.array(NameSchema).max(10_000).readonly(),
    records: z.array(KeyVerdictSchema).max(MAX_KEYS_PER_MESSAGE).readonly(),
  }),
]);

/** Answer of a proxy to a control message. */
export const PeerReplySchema = z.discriminatedUnion('kind', [
  z.strictObject(GossipFields),
  z.strictObject({kind: z.literal('ok')}),
  z.strictObject({
    kind: z.literal('announce'),
    /** Start time of the witness, in Unix milliseconds. */
    incarnation: z.number(),
  }),
  z.strictObject({
    kind: z.literal('pull'),
    catchUp: CatchUpSchema,
    /** The sender; `digest` is its digest at `afterSequence` of the request. */
    from: NameSchema.optional(),
    digest: z.string().optional(),
    region: NameSchema,
    /** Sequence that the sender has in force; 0 while it is starting. */
    sequence: SequenceSchema,
  }),
  z.strictObject({
    kind: z.literal('join'),
    ready: z.boolean(),
    /** Start time of the sender, in Unix milliseconds. */
    incarnation: z.number(),
    region: NameSchema,
    /** Sequence that the sender has in force. */
    sequence: SequenceSchema,
    /** Highest sequence that the sender, as a witness, has heard of. */
    heard: SequenceSchema,
    members: z.array(MemberInfoSchema).max(MAX_MEMBERS_PER_MESSAGE).readonly(),
  }),
  z.strictObject({kind: z.literal('closeKey'), verdict: KeyVerdictSchema}),
  z.strictObject({
    kind: z.literal('refused'),
    code: z.enum(['not_ready', 'behind', 'bad_message']),
    detail: z.string(),
  }),
]);

export type LoadReport = z.infer<typeof LoadReportSchema>;
export type Attempt = z.infer<typeof AttemptSchema>;
export type MemberInfo = z.infer<typeof MemberInfoSchema>;
export type SuspectInfo = z.infer<typeof SuspectInfoSchema>;
export type KeyVerdict = z.infer<typeof KeyVerdictSchema>;
export type PeerRequest = z.infer<typeof PeerRequestSchema>;
export type PeerReply = z.infer<typeof PeerReplySchema>;
