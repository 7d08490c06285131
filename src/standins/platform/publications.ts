/** Published submissions and VM list, as one replica of the platform has them. */
import {Submission} from '../../model/config.js';
import {Vm, VmList, WatchAnswer} from '../../model/platform.js';

/** Maximum size of a response, and thus of a published value, in bytes. */
export const MAX_ANSWER_BYTES = 1_048_576;

/** Bytes reserved for the other fields of a response. */
const ENVELOPE_BYTES = 128;

/** Maximum size of a submission, in bytes of JSON. */
export const MAX_SUBMISSION_BYTES = MAX_ANSWER_BYTES - ENVELOPE_BYTES;

interface StoredSubmission {
  readonly submission: Submission;
  readonly bytes: number;
}

/** Stores submissions and the VM list, and notifies watches of changes. */
export class Publications {
  private readonly stored: StoredSubmission[] = [];
  private vmList: VmList = {revision: 0, vms: []};
  private staleSnapshot:
    {readonly head: number; readonly vmList: VmList} | undefined;
  private readonly waiters = new Set<() => void>();

  /**
   * Appends a submission.
   * @param submission - The submission of an operator.
   * @param publishedAt - Time of publication, in Unix milliseconds.
   * @returns Its sequence number, or undefined if it is too large.
   */
  tryAppend(
    submission: Pick<Submission, 'id' | 'base' | 'patch'>,
    publishedAt: number,
  ): number | undefined {
    const sequence = this.stored.length + 1;
    const {id, base, patch} = submission;
    const numbered: Submission = {sequence, id, base, publishedAt, patch};
    const bytes = getJsonByteLength(numbered);
    if (bytes > MAX_SUBMISSION_BYTES) {
      return undefined;
    }
    this.stored.push({submission: numbered, bytes});
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
   * Makes reads return an older state, to simulate a replica that lags behind.
   * @param sequence - Last visible sequence; undefined makes all visible again.
   */
  setStaleAt(sequence: number | undefined): void {
    this.staleSnapshot =
      sequence === undefined
        ? undefined
        : {head: sequence, vmList: this.vmList};
    this.notifyWaiters();
  }

  /** @returns The visible VM list. */
  getVmList(): VmList {
    return this.staleSnapshot?.vmList ?? this.vmList;
  }

  /** @returns The highest visible sequence. */
  getHead(): number {
    const head = this.stored.length;
    return this.staleSnapshot === undefined
      ? head
      : Math.min(head, this.staleSnapshot.head);
  }

  /** @returns Number of waiting watches. */
  getWaiterCount(): number {
    return this.waiters.size;
  }

  /**
   * Reports whether there is a visible change that a watcher does not have.
   * @param after - Last sequence that the watcher has.
   * @param vmRevision - Revision of the VM list that the watcher has.
   * @returns True if there is.
   */
  hasUpdates(after: number, vmRevision: number): boolean {
    return this.getHead() > after || this.getVmList().revision > vmRevision;
  }

  /**
   * Reads the submissions after a sequence that fit into one response.
   * @param after - Last sequence that the reader has.
   * @param vmRevision - Revision of its VM list; undefined omits the list.
   * @returns The response. A VM list that does not fit is left to a later one.
   */
  read(after: number, vmRevision: number | undefined): WatchAnswer {
    const head = this.getHead();
    const submissions: Submission[] = [];
    let remainingBytes = MAX_ANSWER_BYTES - ENVELOPE_BYTES;
    for (const {submission, bytes} of this.stored.slice(after, head)) {
      // Submissions are separated by a comma.
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
   * Waits for the next change.
   * @param waitMs - Longest wait.
   * @param signal - Ends the wait when aborted.
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
 * Gets the serialized size of a value.
 * @param value - The value.
 * @returns Length of its JSON text, in bytes of UTF-8.
 */
export function getJsonByteLength(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
