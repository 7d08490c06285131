/** What the platform publishes, as its answers are read. */
import * as z from 'zod';
import {SubmissionSchema} from './config.js';
import {NameSchema, SequenceSchema} from './primitives.js';

/** One VM as the platform's lagging list shows it. */
export const VmSchema = z.strictObject({
  upstreamId: NameSchema,
  state: z.enum(['live', 'leaving']),
});

export const VmListSchema = z.strictObject({
  revision: SequenceSchema,
  vms: z.array(VmSchema),
});

/** What turns one revision of the VM list into a later one. */
export const VmChangesSchema = z.strictObject({
  /** Revision to which the changes apply. */
  base: SequenceSchema,
  revision: SequenceSchema,
  changed: z.array(VmSchema),
  removed: z.array(NameSchema),
});

/**
 * Answer of `GET /v1/watch?after=S&vms=R&waitMs=W`: the submissions that
 * follow sequence S, and the VM list where its revision is above R. The
 * platform answers at once when there is news and otherwise after W ms.
 */
export const WatchAnswerSchema = z.strictObject({
  /** Highest sequence number that this replica of the platform knows. */
  head: SequenceSchema,
  submissions: z.array(SubmissionSchema),
  vmList: VmListSchema.optional(),
});

export type Vm = z.infer<typeof VmSchema>;
export type VmChanges = z.infer<typeof VmChangesSchema>;
export type VmList = z.infer<typeof VmListSchema>;
export type WatchAnswer = z.infer<typeof WatchAnswerSchema>;
