/** Messages between proxies, checked on arrival. */
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

/** Load of one upstream, as its owner reports it with each answer. */
export const LoadReportSchema = z.strictObject({
  running: z.int().min(0),
  queued: z.int().min(0),
  slots: z.int().min(0),
  leaving: z.boolean(),
  /** Estimated time that a request runs there, in milliseconds. */
  serviceTimeMs: z.number().min(0).optional(),
  /** Time that requests take there, as a multiple of what is usual. */
  slowness: z.number().min(0).optional(),
  /** Share of recent requests that the upstream failed or shed. */
  failing: z.number().min(0).max(1).optional(),
});

/** One try of a call at one owner. */
export const AttemptSchema = z.strictObject({
  attemptId: AttemptIdSchema,
  service: NameSchema,
  upstreamId: NameSchema,
  /** Configuration version under which the entry chose the owner. */
  version: SequenceSchema,
  idempotent: z.boolean(),
  /** Present for a request that must run at most once under this key. */
  key: KeySchema.optional(),
  /** The key was made by the entry, so no other entry can know it. */
  privateKey: z.boolean(),
  /** Time left when the attempt was sent, in milliseconds. */
  timeoutMs: z.number().min(0),
  fingerprint: z.string().max(128),
  /** An earlier attempt was running when its upstream crashed. */
  suspect: z.boolean(),
  priority: z.enum(['interactive', 'batch']),
});

/** What a proxy tells its peers about one proxy of the fleet. */
export const MemberInfoSchema = z.strictObject({
  id: NameSchema,
  peerAddress: z.string(),
  /** Start time of the process, in Unix milliseconds. */
  incarnation: z.number(),
  /** Counts up with each heartbeat of one incarnation. */
  heartbeat: SequenceSchema,
  /** Last sequence number folded. */
  sequence: SequenceSchema,
  /** Version in force. */
  version: SequenceSchema,
  /** First characters of the digest at `sequence`. */
  digest: z.string(),
  leaving: z.boolean(),
  /** Its upstream says that it drains, which may mislead. */
  drainHint: z.boolean().optional(),
  ready: z.boolean(),
});

/** A request fingerprint that was running when an upstream crashed. */
export const SuspectInfoSchema = z.strictObject({
  fingerprint: z.string().max(128),
  /** Crashes during which it ran, each named once. */
  crashedAt: z.array(z.string()).max(64).readonly(),
  /** Of these, the crashes at which no other suspect ran. */
  soleAt: z.array(z.string()).max(64).readonly(),
  /** Of these, the crashes after which it has run to its end. */
  clearedAt: z.array(z.string()).max(64).readonly(),
  /** It ran to its end after each crash, so it did not cause them. */
  cleared: z.boolean(),
  expiresAt: z.number(),
});

/** What a home says of one key. */
export const KeyVerdictSchema = z.strictObject({
  key: KeySchema,
  /**
   * `never-ran`: it had no record and is closed now. `closed`: a caller was
   * told that it did not run, so no home may run it.
   */
  status: z.enum(['never-ran', 'closed', 'running', 'finished', 'in-doubt']),
});

const GossipFields = {
  kind: z.literal('gossip'),
  from: MemberInfoSchema,
  members: z.array(MemberInfoSchema).max(MAX_MEMBERS_PER_MESSAGE).readonly(),
  suspects: z.array(SuspectInfoSchema).max(MAX_SUSPECTS_PER_MESSAGE).readonly(),
  /** What the receiver's VM list lacks, where the sender still knows it. */
  vmChanges: z
    .array(VmChangesSchema)
    .max(MAX_VM_CHANGES_PER_MESSAGE)
    .readonly()
    .optional(),
  /** The whole list, for a receiver that is too far behind. */
  vmList: VmListSchema.optional(),
};

/** Control message between proxies. */
export const PeerRequestSchema = z.discriminatedUnion('kind', [
  z.strictObject({...GossipFields, vmRevision: SequenceSchema}),
  z.strictObject({
    kind: z.literal('push'),
    submissions: z
      .array(SubmissionSchema)
      .max(MAX_SUBMISSIONS_PER_MESSAGE)
      .readonly(),
    vmChanges: VmChangesSchema.optional(),
    /** Sent a second time, because the first got no answer. */
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
    /** The asker's digest at `afterSequence`. */
    digest: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal('announce'),
    sequence: SequenceSchema,
    /** The second round finds out which witnesses restarted meanwhile. */
    round: z.literal([1, 2]),
  }),
  z.strictObject({
    kind: z.literal('join'),
    id: NameSchema,
    /** Counts the times that the asker has asked. */
    round: z.int().min(1),
  }),
  z.strictObject({
    kind: z.literal('closeKey'),
    service: NameSchema,
    key: KeySchema,
    attemptId: AttemptIdSchema,
    /** `give-up`: an entry stops waiting. `moved`: another home takes over. */
    cause: z.enum(['give-up', 'moved']),
    version: SequenceSchema,
  }),
  z.strictObject({
    kind: z.literal('handOver'),
    service: NameSchema,
    fromId: NameSchema,
    /** Start time of the stopping process, in Unix milliseconds. */
    incarnation: z.number(),
    /** The upstreams among which its keys are shared out. */
    heirs: z.array(NameSchema).max(10_000).readonly(),
    records: z.array(KeyVerdictSchema).max(MAX_KEYS_PER_MESSAGE).readonly(),
  }),
]);

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
    /** The sender, with its digest at the sequence that was asked about. */
    from: NameSchema.optional(),
    digest: z.string().optional(),
    region: NameSchema,
    /** Sequence that the sender has in force; 0 while it starts. */
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
    /** Highest sequence that the sender has heard of as a witness. */
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
