/** Clients on raw sockets, which need not keep to the protocol. */
import {once} from 'node:events';
import {Socket, connect} from 'node:net';

/** Most bytes of an answer that are kept. */
const KEPT_BYTES = 2_048;

/** Interval at which a slow reader reads, and its bytes at a time. */
const SLOW_READ_MS = 100;
const SLOW_READ_BYTES = 1_024;

/** Whether a client reads what it is answered. */
export type Reading = 'reads' | 'reads slowly' | 'reads nothing';

/** Sends parts as fast as the server takes them, and then stays open. */
export class RawClient {
  /** The first bytes that were received. */
  received = '';
  private readonly socket: Socket;
  private readonly parts: Iterator<Uint8Array>;
  private slowReader?: NodeJS.Timeout;

  /**
   * @param host - Address of the server.
   * @param port - Port of the server.
   * @param parts - What is sent.
   * @param reading - Whether answers are read.
   */
  constructor(
    host: string,
    port: number,
    parts: Iterable<Uint8Array>,
    reading: Reading = 'reads',
  ) {
    this.parts = parts[Symbol.iterator]();
    this.socket = connect({host, port, noDelay: true});
    this.socket.on('error', () => undefined);
    this.socket.once('connect', () => this.sendNext());
    if (reading === 'reads') {
      this.socket.on('data', chunk => this.keep(chunk));
    } else if (reading === 'reads slowly') {
      this.slowReader = setInterval(() => {
        this.keep(this.socket.read(SLOW_READ_BYTES) ?? Buffer.alloc(0));
      }, SLOW_READ_MS);
    }
  }

  private keep(chunk: Buffer): void {
    const room = KEPT_BYTES - this.received.length;
    if (room > 0) {
      this.received += chunk.toString('latin1', 0, room);
    }
  }

  private sendNext(): void {
    const next = this.parts.next();
    if (next.done !== true && this.socket.writable) {
      this.socket.write(next.value, err => {
        if (!err) {
          setImmediate(() => this.sendNext());
        }
      });
    }
  }

  get isOpen(): boolean {
    return !this.socket.destroyed;
  }

  /** Status of the first answer; undefined before it. */
  get status(): number | undefined {
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(this.received)?.[1];
    return status === undefined ? undefined : Number(status);
  }

  /** Whether a first answer that has a length has arrived. */
  get hasAnswer(): boolean {
    const [head, body] = this.received.split('\r\n\r\n');
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    return body !== undefined && body.length >= Number(length ?? 0);
  }

  /** Ends the connection with a reset. */
  async stop(): Promise<void> {
    clearInterval(this.slowReader);
    if (!this.socket.closed) {
      const closed = once(this.socket, 'close');
      this.socket.resetAndDestroy();
      await closed;
    }
  }
}
