/** What the platform has published, as one of its replicas shows it. */
import {Submission} from '../../model/config.js';
import {Vm, VmList, WatchAnswer} from '../../model/platform.js';

/** Largest answer, and so largest value, in bytes. */
export const MAX_ANSWER_BYTES = 1_048_576;

/** Room that the fields around the submissions take in an answer. */
const ENVELOPE_BYTES = 128;

/** Largest submission that can be published, in bytes of JSON. */
export const MAX_SUBMISSION_BYTES = MAX_ANSWER_BYTES - ENVELOPE_BYTES;

interface StoredSubmission {
  readonly submission: Submission;
  readonly bytes: number;
}

/** Holds the submissions and the VM list, and wakes those that wait. */
export class Publications {
  private readonly stored: StoredSubmission[] = [];
  private vmList: VmList = {revision: 0, vms: []};
  private staleSnapshot:
    {readonly head: number; readonly vmList: VmList} | undefined;
  private readonly waiters = new Set<() => void>();

  /**
   * Appends a submission.
   * @param submission - What the operator submits.
   * @param publishedAt - Unix milliseconds.
   * @returns Its sequence number, or undefined where it is too large.
   */
  tryAppend(
    submission: Pick<Submission, 'id' | 'base' | 'patch'>,
    publishedAt: number,
  ): number | undefined {
    const sequence = this.stored.length + 1;
    const {id, base, patch} = submission;
    const whole: Submission = {sequence, id, base, publishedAt, patch};
    const bytes = getJsonByteLength(whole);
    if (bytes > MAX_SUBMISSION_BYTES) {
      return undefined;
    }
    this.stored.push({submission: whole, bytes});
    this.notifyWaiters();
    return sequence;
  }

  /**
   * Replaces the VM list.
   * @param vms - The new list.
   */
  setVms(vms: readonly Vm[]): void {
    this.vmList = {revision: this.vmList.revision + 1, vms: [...vms]};
    this.notifyWaiters();
  }

  /**
   * Makes reads show an older state, as a replica does that has lost touch.
   * @param sequence - Last sequence shown; undefined shows everything again.
   */
  setStaleAt(sequence: number | undefined): void {
    this.staleSnapshot =
      sequence === undefined
        ? undefined
        : {head: sequence, vmList: this.vmList};
    this.notifyWaiters();
  }

  /** @returns The VM list as shown. */
  getVmList(): VmList {
    return this.staleSnapshot?.vmList ?? this.vmList;
  }

  /** @returns The highest sequence shown. */
  getHead(): number {
    const head = this.stored.length;
    return this.staleSnapshot === undefined
      ? head
      : Math.min(head, this.staleSnapshot.head);
  }

  /** @returns How many watches wait. */
  getWaiterCount(): number {
    return this.waiters.size;
  }

  /**
   * Tells whether a watcher has something to learn.
   * @param after - Last sequence it has.
   * @param vmRevision - Revision of the VM list it has.
   * @returns True if so.
   */
  hasUpdates(after: number, vmRevision: number): boolean {
    return this.getHead() > after || this.getVmList().revision > vmRevision;
  }

  /**
   * Reads what follows a sequence, at most one answer's worth.
   * @param after - Last sequence that the reader has.
   * @param vmRevision - Revision of its VM list; undefined leaves the list out.
   * @returns The answer. A VM list that does not fit follows in a later one.
   */
  read(after: number, vmRevision: number | undefined): WatchAnswer {
    const head = this.getHead();
    const submissions: Submission[] = [];
    let remainingBytes = MAX_ANSWER_BYTES - ENVELOPE_BYTES;
    for (const {submission, bytes} of this.stored.slice(after, head)) {
      // The comma between two submissions takes one byte.
      const neededBytes = bytes + (submissions.length > 0 ? 1 : 0);
      if (neededBytes > remainingBytes) {
        break;
      }
      submissions.push(submission);
      remainingBytes -= neededBytes;
    }
    const vmList = this.getVmList();
    const isVmListNewer =
      vmRevision !== undefined && vmList.revision > vmRevision;
    return isVmListNewer && getJsonByteLength(vmList) <= remainingBytes
      ? {head, submissions, vmList}
      : {head, submissions};
  }

  /**
   * Waits for a change.
   * @param waitMs - Longest wait.
   * @param signal - Ends the wait early.
   */
  async waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      signal.addEventListener('abort', finish);
      this.waiters.add(finish);
    });
  }

  private notifyWaiters(): void {
    for (const finish of [...this.waiters]) {
      finish();
    }
  }
}

/**
 * Measures a value as it is sent.
 * @param value - The value.
 * @returns Its size in bytes of JSON.
 */
export function getJsonByteLength(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
