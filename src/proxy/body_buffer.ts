/** Assembles a body of unknown length in one buffer, within a memory budget. */
import {MAX_ORDINARY_BYTES, MemoryBudget} from './memory_budget.js';

/** Capacity of the first buffer of a body of unknown length. */
const FIRST_CAPACITY_BYTES = 4_096;

/**
 * Size from which a body is assembled in memory that grows in place; smaller ones are
 * copied to a buffer of twice the size.
 */
const GROWS_IN_PLACE_BYTES = 1_048_576;

/** Step by which such memory grows. */
const STEP_BYTES = 1_048_576;

const EMPTY_BODY = new Uint8Array(0);

export type AppendResult = 'ok' | 'too-large' | 'no-memory';

/** What is known about a body before its first byte. */
export interface BodyLimits {
  /** Largest body that is accepted, in bytes. */
  readonly maxBytes: number;
  /** Its announced size in bytes, if it has one. */
  readonly announcedBytes?: number;
}

/** One body that is being received. */
export class BodyBuffer {
  private bytes: Uint8Array = EMPTY_BODY;
  private growing?: ArrayBuffer;
  private usedBytes = 0;
  private ended = false;

  /**
   * @param budget - Counts the buffer.
   * @param limits - Its sizes.
   * @param reservedBytes - Bytes that were reserved for it already.
   */
  constructor(
    private readonly budget: MemoryBudget,
    private readonly limits: BodyLimits,
    private reservedBytes = 0,
  ) {}

  /** Bytes that the body has so far. */
  get length(): number {
    return this.usedBytes;
  }

  /** Bytes that are reserved for it. */
  get heldBytes(): number {
    return this.reservedBytes;
  }

  /**
   * Adds bytes to the body; after any other result than `ok` nothing is held.
   * @param chunk - The bytes, which are copied.
   */
  append(chunk: Uint8Array): AppendResult {
    const result = this.tryAppend(chunk);
    if (result === 'no-memory') {
      this.discard();
    }
    return result;
  }

  /**
   * The same, but the body may go on after `no-memory`, once there is room.
   * @param chunk - The bytes, which are copied.
   */
  tryAppend(chunk: Uint8Array): AppendResult {
    if (this.ended) {
      return 'no-memory';
    }
    const end = this.usedBytes + chunk.length;
    if (end > this.limits.maxBytes) {
      this.discard();
      return 'too-large';
    }
    const hasRoom = end <= this.bytes.length || this.grow(end);
    if (this.ended) {
      // The budget has given up this body to make room for it.
      this.discard();
    }
    if (!hasRoom || this.ended) {
      return 'no-memory';
    }
    this.bytes.set(chunk, this.usedBytes);
    this.usedBytes = end;
    return 'ok';
  }

  /**
   * Ends the body. Its bytes count until the buffer is free, small ones until
   * {@link BodyBuffer.discard}.
   * @returns The body.
   */
  finish(): Uint8Array {
    this.ended = true;
    const body = this.bytes.subarray(0, this.usedBytes);
    if (this.bytes.length > MAX_ORDINARY_BYTES) {
      this.budget.releaseWith(this.bytes.buffer, this.reservedBytes);
      this.reservedBytes = 0;
    }
    this.bytes = EMPTY_BODY;
    this.growing = undefined;
    return body;
  }

  /** Releases what is held for a body that is not needed, or not any more. */
  discard(): void {
    this.ended = true;
    this.bytes = EMPTY_BODY;
    this.growing?.resize(0);
    this.growing = undefined;
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
  }

  /** Makes room for a number of bytes; false if the budget has none. */
  private grow(neededBytes: number): boolean {
    const {announcedBytes, maxBytes} = this.limits;
    const expectedBytes = Math.max(neededBytes, announcedBytes ?? 0);
    if (expectedBytes > GROWS_IN_PLACE_BYTES) {
      const steps = Math.ceil(neededBytes / STEP_BYTES);
      const capacity = Math.min(announcedBytes ?? maxBytes, steps * STEP_BYTES);
      return this.growInPlace(Math.max(capacity, neededBytes));
    }
    const doubled = Math.max(FIRST_CAPACITY_BYTES, this.bytes.length * 2);
    const capacity =
      announcedBytes ?? Math.min(maxBytes, Math.max(neededBytes, doubled));
    if (!this.reserve(Math.max(capacity, neededBytes))) {
      return false;
    }
    const larger = Buffer.allocUnsafeSlow(Math.max(capacity, neededBytes));
    larger.set(this.bytes.subarray(0, this.usedBytes));
    this.bytes = larger;
    return true;
  }

  private growInPlace(capacity: number): boolean {
    if (!this.reserve(capacity)) {
      return false;
    }
    if (this.growing === undefined) {
      const maxByteLength = this.limits.announcedBytes ?? this.limits.maxBytes;
      this.growing = new ArrayBuffer(0, {
        maxByteLength: Math.max(capacity, maxByteLength),
      });
      this.growing.resize(capacity);
      const grown = Buffer.from(this.growing, 0, capacity);
      grown.set(this.bytes.subarray(0, this.usedBytes));
      this.bytes = grown;
    } else {
      this.growing.resize(capacity);
      this.bytes = Buffer.from(this.growing, 0, capacity);
    }
    return true;
  }

  /** Reserves the rest of a capacity; false also if that has given up this body. */
  private reserve(capacity: number): boolean {
    const missingBytes = capacity - this.reservedBytes;
    if (missingBytes <= 0) {
      return true;
    }
    if (!this.budget.tryReserve(missingBytes)) {
      return false;
    }
    // The budget may have released the rest to make room.
    this.reservedBytes += missingBytes;
    return !this.ended;
  }
}
