/**
 * Schemas of the result of folding the published submissions, which proxies
 * also send to each other.
 */
import * as z from 'zod';
import {ConfigSchema, SubmissionSchema} from './config.js';
import {NameSchema, SequenceSchema} from './primitives.js';

/**
 * The upstreams that a service had until a later version replaced the set. They
 * may still hold records of idempotency keys.
 */
export const FormerKeyHoldersSchema = z.strictObject({
  service: NameSchema,
  /** First version without the set. */
  untilVersion: SequenceSchema,
  /** When the replacing submission was published, in Unix milliseconds. */
  untilMs: z.number(),
  upstreams: z.array(z.strictObject({id: NameSchema, peerAddress: z.string()})),
});

/** Whether the fold accepted a submission; `detail` explains a refusal. */
export const VerdictSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('accepted'), version: SequenceSchema}),
  z.strictObject({
    kind: z.literal('refused'),
    code: z.string(),
    detail: z.string(),
  }),
]);

/** The verdict on one submission. */
export const SubmissionOutcomeSchema = z.strictObject({
  sequence: SequenceSchema,
  id: z.string(),
  base: SequenceSchema,
  verdict: VerdictSchema,
});

/** The state after folding all submissions up to `sequence`. */
export const FoldStateSchema = z.strictObject({
  /** Sequence number of the last submission folded. */
  sequence: SequenceSchema,
  version: SequenceSchema,
  /** Chained digest of all submissions and verdicts up to `sequence`. */
  digest: z.string(),
  config: ConfigSchema,
  /** Former key holders; this stored field calls a key holder a `home`. */
  formerHomes: z.array(FormerKeyHoldersSchema),
  /** The most recent outcomes, oldest first. */
  outcomes: z.array(SubmissionOutcomeSchema),
});

/** Answer to a peer that pulls what follows a sequence number. */
export const CatchUpSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('submissions'),
    submissions: z.array(SubmissionSchema),
  }),
  z.strictObject({kind: z.literal('state'), state: FoldStateSchema}),
]);

export type FormerKeyHolders = z.infer<typeof FormerKeyHoldersSchema>;
export type Verdict = z.infer<typeof VerdictSchema>;
export type SubmissionOutcome = z.infer<typeof SubmissionOutcomeSchema>;
export type FoldState = z.infer<typeof FoldStateSchema>;
export type CatchUp = z.infer<typeof CatchUpSchema>;
