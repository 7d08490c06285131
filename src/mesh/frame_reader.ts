/** Reads frames from the bytes that arrive on a link between two proxies. */
import {MAX_ORDINARY_BYTES, MemoryBudget} from '../proxy/memory_budget.js';
import {ReceivedFrame, decodeFrame, getFrameBytes} from './frames.js';

const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of bytes into frames. A frame that is incomplete is copied, so that it
 * keeps no reads alive however small the pieces are in which it arrives.
 */
export class FrameReader {
  /** Received bytes that were not looked at. */
  private unread: Buffer = EMPTY;
  /** The incomplete frame, or as much of it as is known to be needed. */
  private partial: Buffer = EMPTY;
  private partialBytes = 0;

  /** @param budget - Counts the incomplete frame; it must fit if it is large. */
  constructor(private readonly budget: MemoryBudget) {}

  /** Adds received bytes, once those before them were read. */
  push(chunk: Buffer): void {
    this.unread = chunk;
  }

  /** Releases what is held. */
  close(): void {
    this.unread = EMPTY;
    this.dropPartial();
  }

  /**
   * Reads the next frame.
   * @returns The frame, a description of what is wrong with the bytes, or
   *     undefined while the frame is incomplete.
   */
  read(): ReceivedFrame | {readonly error: string} | undefined {
    for (;;) {
      if (this.partial.length > 0 && !this.fillPartial()) {
        return undefined;
      }
      const received = this.partial.length > 0 ? this.partial : this.unread;
      const neededBytes = getFrameBytes(received);
      if (typeof neededBytes !== 'number') {
        return neededBytes;
      }
      if (received.length >= neededBytes) {
        return this.take(received, neededBytes);
      }
      if (received.length === 0) {
        return undefined;
      }
      if (!this.growPartial(received, neededBytes)) {
        return {
          error: `no memory for a frame of ${neededBytes} bytes; the link is opened again`,
        };
      }
    }
  }

  /** Takes a whole frame from the front of what was received. */
  private take(
    received: Buffer,
    frameBytes: number,
  ): ReceivedFrame | {readonly error: string} {
    if (received === this.unread) {
      this.unread = takeRest(received, frameBytes);
    } else {
      this.dropPartial();
    }
    return decodeFrame(received.subarray(0, frameBytes));
  }

  /** Adds what was received to the incomplete frame; true: it has all that it needs. */
  private fillPartial(): boolean {
    const {partial, partialBytes, unread} = this;
    const added = Math.min(partial.length - partialBytes, unread.length);
    partial.set(unread.subarray(0, added), partialBytes);
    this.partialBytes += added;
    this.unread = takeRest(unread, added);
    return this.partialBytes === partial.length;
  }

  /** Makes room for the rest of an incomplete frame; false if there is none. */
  private growPartial(received: Buffer, neededBytes: number): boolean {
    if (neededBytes <= MAX_ORDINARY_BYTES) {
      this.budget.add(neededBytes);
    } else if (!this.budget.tryReserve(neededBytes)) {
      return false;
    }
    const larger = Buffer.allocUnsafeSlow(neededBytes);
    larger.set(received);
    if (received === this.unread) {
      this.unread = EMPTY;
    }
    this.dropPartial();
    this.partial = larger;
    this.partialBytes = received.length;
    return true;
  }

  private dropPartial(): void {
    this.budget.release(this.partial.length);
    this.partial = EMPTY;
    this.partialBytes = 0;
  }
}

/** Returns what follows; nothing does not keep the bytes before it alive. */
function takeRest(received: Buffer, start: number): Buffer {
  return start < received.length ? received.subarray(start) : EMPTY;
}
