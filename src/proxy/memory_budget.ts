/**
 * The memory that a process holds for callers, peers and upstreams together. Bytes are
 * counted from their reservation until they are free, garbage included.
 */
import {
  setImmediate as nextTurn,
  setTimeout as delay,
} from 'node:timers/promises';
import {collectGarbage} from './garbage_collector.js';

/** Reservations up to this size may use the room that is kept for ordinary requests. */
export const MAX_ORDINARY_BYTES = 65_536;

/** Bytes of ended requests after which garbage is collected, if half of it is used. */
const COLLECT_AFTER_BYTES = 16 * 1_048_576;

/**
 * Heap that objects of callers' heads may take. The heap is limited by itself, and below
 * the budget of large VMs, most of which is for buffers outside the heap.
 */
const MAX_HEAP_BYTES = 100_000_000;

/** Least time between two collections. */
const MIN_COLLECTION_GAP_MS = 250;

/** Time without progress after which a holder may be given up for any other. */
const STALLED_AFTER_MS = 1_000;

/** Turns of the event loop in which the buffers of a collection are reported free. */
const FINALIZATION_TURNS = 3;

/** Collections after the end of requests until one frees buffers. */
const MAX_RECLAIMS = 3;

/** A transfer that holds reserved bytes and can be given up. */
export interface MemoryHolder {
  readonly heldBytes: number;
  /** @returns A number that changes whenever the transfer makes progress. */
  getProgress(): number;
  /** Gives the transfer up and releases its bytes. */
  evict(): void;
}

interface Progress {
  value: number;
  changedAt: number;
}

/** Counters of a budget. */
export type MemoryEvent = 'refused' | 'evicted' | 'collected';

/** Limits what a process holds; the parts of the process share one. */
export class MemoryBudget {
  private reservedBytes = 0;
  /** Bytes of transfers given up that count until the next collection. */
  private evictedBytes = 0;
  private retiredBytes = 0;
  private collectedAt = -Infinity;
  private collection?: Promise<void>;
  private readonly holders = new Map<MemoryHolder, Progress>();
  /** Bytes of buffers that count until they have been collected. */
  private uncollectedBytes = 0;
  private readonly buffers = new FinalizationRegistry<number>(bytes => {
    this.uncollectedBytes -= bytes;
    this.release(bytes);
  });

  /**
   * @param maxBytes - Most bytes that are held.
   * @param keptBytes - Part of them that only ordinary requests may use.
   * @param onEvent - Called for each event, for metrics.
   * @param now - Monotonic time in milliseconds.
   * @param collect - Collects garbage before it returns.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly keptBytes: number,
    private readonly onEvent: (event: MemoryEvent) => void = () => undefined,
    private readonly now: () => number = () => performance.now(),
    private readonly collect: () => void = collectGarbage,
  ) {}

  /** Bytes that are held now. */
  get usedBytes(): number {
    return this.reservedBytes;
  }

  /** Factor by which bytes on the heap count, so that they fit there, too. */
  get heapFactor(): number {
    return Math.max(1, this.maxBytes / MAX_HEAP_BYTES);
  }

  /**
   * Reserves bytes. Gives up stalled transfers for them; an ordinary reservation takes
   * the place of any transfer.
   * @param bytes - Number of bytes.
   * @returns False if there is no room; a repetition may find what is collected now.
   */
  tryReserve(bytes: number): boolean {
    if (!this.fits(bytes)) {
      this.makeRoom(bytes);
    }
    if (!this.fits(bytes)) {
      if (this.uncollectedBytes > 0) {
        void this.reclaim();
      }
      return false;
    }
    this.add(bytes);
    return true;
  }

  /** Counts bytes that are held already, whether or not there is room. */
  add(bytes: number): void {
    this.reservedBytes += bytes;
  }

  /**
   * The same, and collects garbage where there is no room without.
   * @param bytes - Number of bytes.
   * @returns False if there is no room.
   */
  async reserve(bytes: number): Promise<boolean> {
    if (this.tryReserve(bytes)) {
      return true;
    }
    await this.reclaim();
    if (this.tryReserve(bytes)) {
      return true;
    }
    this.onEvent('refused');
    return false;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }

  /**
   * Releases reserved bytes once a buffer is free.
   * @param buffer - The buffer.
   * @param bytes - Number of reserved bytes.
   */
  releaseWith(buffer: ArrayBufferLike, bytes: number): void {
    this.uncollectedBytes += bytes;
    this.buffers.register(buffer, bytes);
  }

  /** Collects garbage, not too often; resolves when freed buffers were counted. */
  reclaim(): Promise<void> {
    this.collection ??= this.collectAndFinalize().finally(() => {
      this.collection = undefined;
    });
    return this.collection;
  }

  /**
   * Tells that buffers have served their purpose, so that they are worth collecting.
   * @param bytes - Their size.
   */
  retire(bytes: number): void {
    this.retiredBytes += bytes;
    const isHalfUsed = this.reservedBytes > this.maxBytes / 2;
    if (isHalfUsed && this.retiredBytes >= COLLECT_AFTER_BYTES) {
      this.retiredBytes = 0;
      void this.reclaimRetired();
    }
  }

  /** Adds a transfer that may be given up. */
  addHolder(holder: MemoryHolder): void {
    const value = holder.getProgress();
    this.holders.set(holder, {value, changedAt: this.now()});
  }

  /** Removes a transfer that has ended. */
  removeHolder(holder: MemoryHolder): void {
    this.holders.delete(holder);
  }

  /** Records the progress of the transfers; called at regular intervals. */
  recordProgress(): void {
    const now = this.now();
    for (const [holder, progress] of this.holders) {
      const value = holder.getProgress();
      if (value !== progress.value) {
        progress.value = value;
        progress.changedAt = now;
      }
    }
  }

  private fits(bytes: number): boolean {
    // An ordinary reservation is small enough to count on the next collection.
    const isOrdinary = bytes <= MAX_ORDINARY_BYTES;
    return this.getMissingBytes(bytes) <= (isOrdinary ? this.evictedBytes : 0);
  }

  /** Gets the bytes that have to become free for a reservation. */
  private getMissingBytes(bytes: number): number {
    const kept = bytes <= MAX_ORDINARY_BYTES ? 0 : this.keptBytes;
    return this.reservedBytes + bytes + kept - this.maxBytes;
  }

  /** Gives up the largest transfers until a reservation fits, stalled ones first. */
  private makeRoom(bytes: number): void {
    this.recordProgress();
    const stalledSince = this.now() - STALLED_AFTER_MS;
    const isStalled = ([, {changedAt}]: [MemoryHolder, Progress]) =>
      changedAt <= stalledSince;
    const candidates = [...this.holders]
      .filter(entry => bytes <= MAX_ORDINARY_BYTES || isStalled(entry))
      .sort(
        (first, second) =>
          Number(isStalled(second)) - Number(isStalled(first)) ||
          second[0].heldBytes - first[0].heldBytes,
      );
    for (const [holder] of candidates) {
      if (this.getMissingBytes(bytes) <= this.evictedBytes) {
        break;
      }
      this.evict(holder);
    }
    if (this.evictedBytes > 0) {
      this.retire(COLLECT_AFTER_BYTES);
    }
  }

  private evict(holder: MemoryHolder): void {
    const {heldBytes} = holder;
    const reservedBefore = this.reservedBytes;
    this.holders.delete(holder);
    holder.evict();
    this.onEvent('evicted');
    const freedBytes = reservedBefore - this.reservedBytes;
    this.evictedBytes += Math.max(0, heldBytes - freedBytes);
  }

  /** Collects garbage until some buffers are free; some are in use for a while. */
  private async reclaimRetired(): Promise<void> {
    const {reservedBytes} = this;
    for (let tries = 0; tries < MAX_RECLAIMS; tries += 1) {
      await this.reclaim();
      if (this.reservedBytes < reservedBytes) {
        return;
      }
    }
  }

  private async collectAndFinalize(): Promise<void> {
    const waitMs = this.collectedAt + MIN_COLLECTION_GAP_MS - this.now();
    await (waitMs > 0 ? delay(waitMs, undefined, {ref: false}) : nextTurn());
    const {evictedBytes} = this;
    this.collect();
    this.collectedAt = this.now();
    this.onEvent('collected');
    for (let turn = 0; turn < FINALIZATION_TURNS; turn += 1) {
      await nextTurn();
    }
    this.evictedBytes -= evictedBytes;
  }
}
