/** A client that writes requests without waiting for the answers before them. */
import {Socket, connect} from 'node:net';
import {HEADER_NAMES} from '../../platform/header_names.js';

export interface RawRequest {
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Time budget that is announced, in milliseconds; undefined: none is. */
  readonly budgetMs?: number;
  readonly body?: string;
}

/** A request, and how it ended. */
export interface RawExchange {
  readonly req: RawRequest;
  /** Whether another request was open on the connection when it was written. */
  readonly isPipelined: boolean;
  readonly startedAt: number;
  /** When its last byte was written, by `performance.now()`; undefined: never. */
  sentAt?: number;
  /** Undefined: the connection ended without a whole answer. */
  status?: number;
  endedAt?: number;
}

const LENGTH = /^content-length: (\d+)/im;

/** One connection. */
export class RawClient {
  /** The connection ended, or is to be used no more. */
  ended = false;
  /** Whether the connection was ever established. */
  connected = false;
  private readonly socket: Socket;
  private readonly open: RawExchange[] = [];
  private received = Buffer.alloc(0);
  private waiters: Array<() => void> = [];

  constructor(host: string, port: number) {
    this.socket = connect(port, host, () => {
      this.connected = true;
    });
    this.socket.on('data', (chunk: Buffer) => this.read(chunk));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => this.end());
  }

  get openCount(): number {
    return this.open.length;
  }

  /**
   * Writes a request.
   * @param req - The request.
   * @param sendRest - Delays the second half of the body; undefined: not delayed.
   * @returns The exchange, which is changed as it goes on.
   */
  send(req: RawRequest, sendRest?: Promise<unknown>): RawExchange {
    const isPipelined = this.open.length > 0;
    const startedAt = performance.now();
    const exchange: RawExchange = {req, isPipelined, startedAt};
    this.open.push(exchange);
    const {body = ''} = req;
    const half = sendRest === undefined ? body.length : body.length >> 1;
    this.socket.write(createHead(req) + body.slice(0, half));
    const finish = () => {
      if (!this.socket.destroyed) {
        exchange.sentAt = performance.now();
        this.socket.write(body.slice(half));
      }
    };
    if (sendRest === undefined) {
      finish();
    } else {
      void sendRest.then(finish);
    }
    return exchange;
  }

  /** Resolves when the number of open requests is at most `count`. */
  async waitFor(count: number): Promise<void> {
    while (this.open.length > count) {
      await new Promise<void>(resolve => this.waiters.push(resolve));
    }
  }

  /** Stops reading for some time. */
  pause(ms: number): void {
    this.socket.pause();
    setTimeout(() => this.socket.resume(), ms);
  }

  close(): void {
    this.socket.destroy();
  }

  private read(chunk: Buffer): void {
    this.received = Buffer.concat([this.received, chunk]);
    let headEnd = this.received.indexOf('\r\n\r\n');
    while (headEnd >= 0) {
      const head = this.received.toString('latin1', 0, headEnd);
      const end = headEnd + 4 + Number(LENGTH.exec(head)?.[1]);
      if (!(this.received.length >= end)) {
        return;
      }
      this.received = this.received.subarray(end);
      const exchange = this.open.shift();
      if (exchange !== undefined) {
        exchange.status = Number(head.slice(9, 12));
        exchange.endedAt = performance.now();
      }
      this.ended ||= /^connection: close/im.test(head);
      this.wake();
      headEnd = this.received.indexOf('\r\n\r\n');
    }
  }

  private end(): void {
    this.ended = true;
    for (const exchange of this.open.splice(0)) {
      exchange.endedAt = performance.now();
    }
    this.wake();
  }

  private wake(): void {
    this.waiters.splice(0).forEach(resolve => resolve());
  }
}

function createHead({id, method, path, budgetMs, body}: RawRequest): string {
  return [
    `${method} ${path} HTTP/1.1`,
    'Host: shop.example',
    `${HEADER_NAMES.requestId}: ${id}`,
    ...(budgetMs === undefined
      ? []
      : [`${HEADER_NAMES.timeoutMs}: ${budgetMs}`]),
    ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
    '\r\n',
  ].join('\r\n');
}
