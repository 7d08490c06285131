/** Reads request bodies within the memory budget. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, Result} from 'neverthrow';
import {Refusal, createRefusal} from '../core/refusals.js';
import {BodyBuffer} from './body_buffer.js';
import {
  MAX_ORDINARY_BYTES,
  MemoryBudget,
  MemoryHolder,
} from './memory_budget.js';

export type BodyError = 'too-large' | 'no-memory' | 'timeout' | 'aborted';

/** Retry delay that is advised where there is no memory for a request. */
const MEMORY_RETRY_AFTER_MS = 500;

/** Longest delay of a timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

const EMPTY_BODY = new Uint8Array(0);

/** A whole body. */
export interface ReceivedBody {
  readonly bytes: Uint8Array;
  /** Releases what only the request holds; called when it has ended. */
  release(): void;
}

const NO_BODY: ReceivedBody = {bytes: EMPTY_BODY, release: () => undefined};

/**
 * Reports whether a request has a body.
 * @param req - The request.
 */
export function hasBody({headers}: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}

/**
 * Reads a whole body. Decides at the head where its size is announced.
 * @param req - The request.
 * @param maxBytes - Largest body that is accepted, in bytes.
 * @param budget - Counts the body.
 * @param timeoutMs - Time within which it must arrive, in milliseconds.
 * @returns The body, or why it was not received; never rejects.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  budget: MemoryBudget,
  timeoutMs = Infinity,
): Promise<Received> {
  if (!hasBody(req)) {
    req.resume();
    return ok(NO_BODY);
  }
  const startedAt = performance.now();
  const length = req.headers['content-length'];
  const announcedBytes = length === undefined ? undefined : Number(length);
  if (announcedBytes !== undefined && announcedBytes > maxBytes) {
    return err('too-large');
  }
  const reservedBytes = announcedBytes ?? 0;
  if (!budget.tryReserve(reservedBytes)) {
    if (!(await budget.reserve(reservedBytes))) {
      return err('no-memory');
    }
  }
  const limits = {maxBytes, announcedBytes};
  const buffer = new BodyBuffer(budget, limits, reservedBytes);
  const endsAt = startedAt + timeoutMs;
  return new Promise(
    resolve => new Upload(req, buffer, budget, endsAt, resolve),
  );
}

type Received = Result<ReceivedBody, BodyError>;

/** Creates the refusal where there is no memory for a request. */
export function createMemoryRefusal(): Refusal {
  return createRefusal('memory_full', MEMORY_RETRY_AFTER_MS);
}

/**
 * Creates the refusal of a request whose body was not read.
 * @param error - Why it was not read.
 * @returns The refusal; undefined where nobody waits for it.
 */
export function createBodyRefusal(error: BodyError): Refusal | undefined {
  switch (error) {
    case 'too-large':
      return createRefusal('body_too_large');
    case 'no-memory':
      return createMemoryRefusal();
    case 'timeout':
      return createRefusal('receive_timeout');
    case 'aborted':
      return undefined;
  }
}

/** Releases a body once the response to its request is written or lost. */
export function releaseAfter(res: ServerResponse, release: () => void): void {
  if (res.closed) {
    release();
  } else {
    res.once('close', release);
  }
}

/** One body in progress. */
class Upload implements MemoryHolder {
  private readonly timer?: NodeJS.Timeout;

  /**
   * @param req - The request.
   * @param buffer - Holds what has arrived.
   * @param budget - Counts it.
   * @param endsAt - When it must be whole, by `performance.now()`.
   * @param resolve - Called once, at the end.
   */
  constructor(
    private readonly req: IncomingMessage,
    private readonly buffer: BodyBuffer,
    private readonly budget: MemoryBudget,
    endsAt: number,
    private resolve: ((result: Received) => void) | undefined,
  ) {
    if (endsAt < Infinity) {
      // Timers come before input that arrived meanwhile; read it first.
      const fail = () => setImmediate(() => this.fail('timeout'));
      const leftMs = Math.max(0, endsAt - performance.now());
      this.timer = setTimeout(fail, Math.min(leftMs, MAX_TIMER_MS));
    }
    budget.addHolder(this);
    req.on('data', (chunk: Buffer) => this.append(chunk));
    req.on('end', () => this.finish());
    req.on('error', () => this.fail('aborted'));
    req.on('close', () => this.fail('aborted'));
    if (req.destroyed) {
      this.fail('aborted');
    }
  }

  get heldBytes(): number {
    return this.buffer.heldBytes;
  }

  getProgress(): number {
    return this.buffer.length;
  }

  evict(): void {
    this.fail('no-memory');
  }

  private append(chunk: Buffer): void {
    if (this.resolve === undefined) {
      return;
    }
    const appended = this.buffer.tryAppend(chunk);
    if (appended === 'no-memory') {
      this.req.pause();
      void this.appendAfterReclaim(chunk);
    } else if (appended === 'too-large') {
      this.fail(appended);
    }
  }

  /** Goes on if collecting garbage makes room. */
  private async appendAfterReclaim(chunk: Buffer): Promise<void> {
    await this.budget.reclaim();
    if (this.resolve !== undefined) {
      const appended = this.buffer.append(chunk);
      if (appended !== 'ok') {
        this.fail(appended);
      }
    }
    this.req.resume();
  }

  private finish(): void {
    if (this.resolve === undefined) {
      return;
    }
    const {buffer} = this;
    const bytes = buffer.finish();
    this.settle(
      ok({
        bytes,
        release: () => {
          buffer.discard();
          if (bytes.length > MAX_ORDINARY_BYTES) {
            this.budget.retire(bytes.length);
          }
        },
      }),
    );
  }

  private fail(failure: BodyError): void {
    if (this.resolve !== undefined) {
      this.buffer.discard();
      this.settle(err(failure));
    }
  }

  private settle(result: Received): void {
    const {resolve} = this;
    // The request refers to this object for as long as its connection is open, so that
    // the body must not be reachable from here.
    this.resolve = undefined;
    clearTimeout(this.timer);
    this.budget.removeHolder(this);
    resolve?.(result);
  }
}
