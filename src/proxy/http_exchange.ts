/**
 * Sends one HTTP request to a peer or an upstream and buffers the complete
 * answer. Uses undici's dispatch interface, which needs no stream per answer.
 */
import {err, ok, Result} from 'neverthrow';
import {Dispatcher} from 'undici';
import {FailureKind} from '../core/types.js';
import {BodyBuffer} from './body_buffer.js';
import {classifyFailure} from './classify_failure.js';
import {HeaderRecord} from './headers.js';
import {MemoryBudget, MemoryHolder} from './memory_budget.js';

export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderRecord;
  readonly body: Uint8Array;
  /** Timeout of the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
  /** Time until the head of the answer; undefined: only `timeoutMs` counts. */
  readonly headTimeoutMs?: number;
  readonly maxAnswerBytes: number;
  /** Limits the bytes of all answers that share it; undefined: no such limit. */
  readonly buffers?: AnswerBuffers;
  /** Counts the memory of the answer; undefined: it is not limited otherwise. */
  readonly memory?: MemoryBudget;
  /**
   * Reports whether an answer ends with its head, without its body, and its connection
   * is not used again; undefined: no answer does.
   */
  readonly endsWithHead?: (status: number, headers: HeaderRecord) => boolean;
}

/** A complete HTTP answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: HeaderRecord;
  readonly body: Uint8Array;
}

export type ExchangeResult = Result<HttpAnswer, FailureKind>;

/** An exchange in progress. */
export interface RunningExchange {
  readonly result: Promise<ExchangeResult>;
  /** Headers of the answer, once they have arrived. */
  readonly headers?: HeaderRecord;
  /** Fails the exchange immediately with `timeout`, unless it has ended. */
  abort(): void;
}

const EMPTY_BODY = new Uint8Array(0);

const UNLIMITED = new MemoryBudget(Infinity, 0);

/** Lower statuses are informational; the answer follows. */
const FIRST_FINAL_STATUS = 200;

/** Informational heads that an answer may have; the HTTP client limits each of them. */
export const MAX_INFORMATIONAL_HEADS = 32;

/** An answer of which not all bytes have arrived. */
export interface IncompleteAnswer {
  readonly receivedBytes: number;
  /** Gives it up; its bytes are released at once. */
  abortAsTooLarge(): void;
}

/**
 * Limits the memory that incomplete answers take together. Where it is exceeded,
 * the largest answer is given up.
 */
export class AnswerBuffers {
  private usedBytes = 0;
  private readonly answers = new Set<IncompleteAnswer>();

  /** @param maxBytes - Most bytes of all incomplete answers. */
  constructor(private readonly maxBytes: number) {}

  /** Counts received bytes, which `receivedBytes` includes. */
  add(answer: IncompleteAnswer, bytes: number): void {
    this.answers.add(answer);
    this.usedBytes += bytes;
    if (this.usedBytes > this.maxBytes) {
      const [largest] = [...this.answers].sort(
        (first, second) => second.receivedBytes - first.receivedBytes,
      );
      largest.abortAsTooLarge();
    }
  }

  /** Releases the bytes of an answer that is complete or given up. */
  release(answer: IncompleteAnswer): void {
    if (this.answers.delete(answer)) {
      this.usedBytes -= answer.receivedBytes;
    }
  }
}

class ExchangeHandler
  implements
    Dispatcher.DispatchHandler,
    RunningExchange,
    IncompleteAnswer,
    MemoryHolder
{
  readonly result: Promise<ExchangeResult>;
  private resolve: (result: ExchangeResult) => void = () => undefined;
  private controller?: Dispatcher.DispatchController;
  private readonly timer: NodeJS.Timeout;
  private readonly headTimer?: NodeJS.Timeout;
  private settled = false;
  private status = 0;
  private informationalHeads = 0;
  headers?: HeaderRecord;
  private body?: BodyBuffer;
  receivedBytes = 0;
  private readonly memory: MemoryBudget;

  constructor(private readonly request: ExchangeRequest) {
    const {timeoutMs, headTimeoutMs, memory = UNLIMITED} = request;
    this.memory = memory;
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    // After a suspension of the process, timers fire before data that arrived
    // meanwhile is read. One more turn of the event loop reads it first.
    const abortAfterReading = () => setImmediate(() => this.abort());
    this.timer = setTimeout(abortAfterReading, timeoutMs);
    if (headTimeoutMs !== undefined) {
      this.headTimer = setTimeout(abortAfterReading, headTimeoutMs);
    }
  }

  abort(): void {
    this.abortWith('timeout');
  }

  abortAsTooLarge(): void {
    this.abortWith('too-large');
  }

  get heldBytes(): number {
    return this.body?.heldBytes ?? 0;
  }

  getProgress(): number {
    return this.receivedBytes;
  }

  evict(): void {
    this.abortAsTooLarge();
  }

  private abortWith(failure: FailureKind): void {
    if (this.settle(err(failure))) {
      this.controller?.abort(new Error(failure));
    }
  }

  /** Returns false if the exchange had already ended. */
  private settle(result: ExchangeResult): boolean {
    if (this.settled) {
      return false;
    }
    this.settled = true;
    this.request.buffers?.release(this);
    this.memory.removeHolder(this);
    this.body?.discard();
    clearTimeout(this.timer);
    clearTimeout(this.headTimer);
    this.resolve(result);
    return true;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.settled) {
      // Aborted while it waited for a connection, so it must not be sent.
      controller.abort(
        new Error('The exchange was aborted before its request was sent.'),
      );
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderRecord,
  ): void {
    clearTimeout(this.headTimer);
    this.status = status;
    this.headers = headers;
    if (status < FIRST_FINAL_STATUS) {
      this.informationalHeads += 1;
      if (this.informationalHeads > MAX_INFORMATIONAL_HEADS) {
        this.abortAsTooLarge();
      }
    } else if (this.request.endsWithHead?.(status, headers)) {
      this.settle(ok({status, headers, body: EMPTY_BODY}));
      controller.abort(new Error('The connection is not used again.'));
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) {
      return;
    }
    this.receivedBytes += chunk.length;
    this.request.buffers?.add(this, chunk.length);
    if (this.settled) {
      return;
    }
    this.body ??= this.createBody();
    const appended = this.body.tryAppend(chunk);
    if (this.settled) {
      // The budget has given up this answer to make room for it.
      this.body.discard();
    } else if (appended === 'no-memory') {
      controller.pause();
      void this.appendAfterReclaim(controller, this.body, chunk);
    } else if (appended === 'too-large') {
      this.abortAsTooLarge();
    }
  }

  /** Goes on with the answer if collecting garbage makes room. */
  private async appendAfterReclaim(
    controller: Dispatcher.DispatchController,
    body: BodyBuffer,
    chunk: Buffer,
  ): Promise<void> {
    await this.memory.reclaim();
    if (this.settled) {
      return;
    }
    if (body.append(chunk) === 'ok') {
      controller.resume();
    } else {
      this.abortAsTooLarge();
    }
  }

  private createBody(): BodyBuffer {
    this.memory.addHolder(this);
    const {maxAnswerBytes: maxBytes} = this.request;
    const length = Number(this.headers?.['content-length']);
    const announcedBytes = length <= maxBytes ? length : undefined;
    return new BodyBuffer(this.memory, {maxBytes, announcedBytes});
  }

  onResponseEnd(): void {
    const {status, headers = {}} = this;
    const body = this.body?.finish() ?? EMPTY_BODY;
    this.settle(ok({status, headers, body}));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.settle(err(classifyFailure(error, this.status !== 0)));
  }
}

/**
 * Sends a request and buffers its answer.
 * @param dispatcher - Connection pool of the destination.
 * @param request - The request.
 * @returns The exchange; its result promise never rejects.
 */
export function startExchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): RunningExchange {
  const handler = new ExchangeHandler(request);
  dispatcher.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body.length === 0 ? null : request.body,
      // The handler's own timer limits the whole exchange instead.
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return handler;
}
