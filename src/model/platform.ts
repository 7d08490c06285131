/** Schemas of the platform's answers. */
import * as z from 'zod';
import {SubmissionSchema} from './config.js';
import {NameSchema, SequenceSchema} from './primitives.js';

/** One VM in the platform's list, which may lag behind the VM's real state. */
export const VmSchema = z.strictObject({
  upstreamId: NameSchema,
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of VMs at one revision. */
export const VmListSchema = z.strictObject({
  revision: SequenceSchema,
  vms: z.array(VmSchema),
});

/** The difference between two revisions of the VM list. */
export const VmChangesSchema = z.strictObject({
  /** Revision to which the changes apply. */
  base: SequenceSchema,
  revision: SequenceSchema,
  changed: z.array(VmSchema),
  removed: z.array(NameSchema),
});

/**
 * Answer to `GET /v1/watch?after=S&vms=R&waitMs=W`: the submissions that follow
 * sequence S, and the VM list if its revision is above R. The platform answers
 * as soon as there is either, and otherwise after W milliseconds.
 */
export const WatchAnswerSchema = z.strictObject({
  /** Highest sequence number known to the replica that answered. */
  head: SequenceSchema,
  submissions: z.array(SubmissionSchema),
  vmList: VmListSchema.optional(),
});

export type Vm = z.infer<typeof VmSchema>;
export type VmChanges = z.infer<typeof VmChangesSchema>;
export type VmList = z.infer<typeof VmListSchema>;
export type WatchAnswer = z.infer<typeof WatchAnswerSchema>;
