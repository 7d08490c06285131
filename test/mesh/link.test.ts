/** Links between proxies: messages beside large bodies on a slow connection. */
import {Duplex} from 'node:stream';
import {Link} from '../../src/mesh/link.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {expect} from '../support/chai_setup.js';
import {createTestLink} from './link_fixture.js';
import {createAttempt} from './mesh_fixture.js';

const UPLOAD_BYTES = 360_000;

/** A connection that passes bytes on only when the test lets it. */
class SlowConnection extends Duplex {
  passedBytes = 0;
  peer?: SlowConnection;
  /** Whether written bytes are held until {@link passHeld}. */
  holds = false;
  /** Whether written bytes reach the peer at once. */
  isFast = false;
  /** Number of frames in each piece that is written to the socket. */
  readonly pieces: number[] = [];
  readonly held: Buffer[] = [];
  private readonly waiting: Array<{
    readonly bytes: Buffer;
    readonly done: () => void;
  }> = [];

  constructor() {
    super({highWaterMark: 16_384});
  }

  setNoDelay(): this {
    return this;
  }

  override _read(): void {}

  override _write(bytes: Buffer, _encoding: string, done: () => void): void {
    if (this.isFast) {
      this.peer?.push(bytes);
      done();
      return;
    }
    if (this.holds) {
      this.pieces.push(1);
      this.held.push(bytes);
      done();
      return;
    }
    this.waiting.push({bytes, done});
  }

  /** Takes what was written while the socket was corked. */
  override _writev(
    chunks: ReadonlyArray<{readonly chunk: Buffer}>,
    done: () => void,
  ): void {
    const bytes = Buffer.concat(chunks.map(({chunk}) => chunk));
    this._write(bytes, 'buffer', done);
    if (this.holds) {
      this.pieces[this.pieces.length - 1] = chunks.length;
    }
  }

  /** Passes what was held on in one piece, as to a process that stood still. */
  async passHeld(): Promise<void> {
    this.peer?.push(Buffer.concat(this.held));
    await new Promise(resolve => setImmediate(resolve));
  }

  /** Passes one write on to the peer; returns whether there was one. */
  async pass(): Promise<boolean> {
    const next = this.waiting.shift();
    if (next === undefined) {
      return false;
    }
    this.passedBytes += next.bytes.length;
    this.peer?.push(next.bytes);
    next.done();
    await new Promise(resolve => setImmediate(resolve));
    return true;
  }
}

describe('link between proxies', () => {
  let connection: SlowConnection;
  let sender: Link;
  let receiver: Link;
  let now: number;
  let received: Array<{
    readonly kind: string;
    readonly bodyBytes: number;
    readonly passedBytes: number;
  }>;

  function createLink(
    socket: SlowConnection,
    onMessage: (message: LinkMessage, body: Uint8Array) => void,
  ): Link {
    return createTestLink(socket, () => now, {
      onMessage: (_link, message, body) => onMessage(message, body),
    });
  }

  beforeEach(() => {
    received = [];
    now = 0;
    connection = new SlowConnection();
    const far = new SlowConnection();
    connection.peer = far;
    sender = createLink(connection, () => undefined);
    receiver = createLink(far, ({kind}, body) => {
      const {passedBytes} = connection;
      received.push({kind, bodyBytes: body.length, passedBytes});
    });
  });

  /** Sends a body that the receiver grants without delay. */
  function sendUpload(attemptId: string): void {
    const granting = connection.peer as SlowConnection;
    granting.peer = connection;
    granting.isFast = true;
    const message: LinkMessage = {
      kind: 'attempt',
      attempt: createAttempt({attemptId}),
      method: 'POST',
      path: '/upload/1',
      headers: {},
    };
    sender.send(message, Buffer.alloc(UPLOAD_BYTES, 7), attemptId);
  }

  function createSmallAnswer(): {answer: LinkMessage; body: Buffer} {
    const load = {running: 0, queued: 0, slots: 1, leaving: false};
    const message = {kind: 'answer', attemptId: 'b', status: 200} as const;
    return {answer: {...message, headers: {}, load}, body: Buffer.alloc(8_000)};
  }

  async function passAll(): Promise<void> {
    while (await connection.pass()) {
      // Each write is passed on before the next.
    }
  }

  it('delivers small messages before the rest of a large body', async () => {
    sendUpload('a-1');
    await connection.pass();
    const before = connection.passedBytes;
    sender.send({kind: 'cancel', attemptId: 'a-2'});
    await passAll();
    expect(received.map(({kind}) => kind)).to.deep.equal(['cancel', 'attempt']);
    expect(received[0].passedBytes - before).to.be.below(33_000);
    expect(received[1].bodyBytes).to.equal(UPLOAD_BYTES);
  });

  it('delivers a cancellation before the attempt that arrives with it', async () => {
    const attempt = createAttempt({attemptId: 'a-1'});
    const request = {method: 'GET', path: '/', headers: {}};
    connection.holds = true;
    sender.send({kind: 'attempt', attempt, ...request});
    sender.send({kind: 'cancel', attemptId: 'a-1'});
    await connection.passHeld();
    expect(received.map(({kind}) => kind)).to.deep.equal(['cancel', 'attempt']);
  });

  // Guards against taking what was sent before a question for its answer.
  it('knows the age of messages only after an answer', async () => {
    connection.holds = true;
    sender.send({kind: 'resume', attemptId: 'a-1'});
    now = 700;
    receiver.askForCallers();
    await connection.passHeld();
    expect(receiver.getUnconfirmedMs()).to.equal(Infinity);
    const answering = connection.peer as SlowConnection;
    connection.held.length = 0;
    now = 720;
    answering.peer = connection;
    await answering.pass();
    await connection.passHeld();
    expect(receiver.getUnconfirmedMs()).to.be.closeTo(20, 1);
  });

  // Guards against the same after an answer that comes within a millisecond.
  it('still knows the age of messages that follow a quick answer', async () => {
    const answering = connection.peer as SlowConnection;
    answering.peer = connection;
    now = 10.1;
    receiver.askForCallers();
    now = 10.9;
    await answering.pass();
    await connection.pass();
    now = 11;
    sender.send({kind: 'resume', attemptId: 'a-1'});
    now = 11.05;
    await connection.pass();
    expect(receiver.getUnconfirmedMs()).to.be.within(0, 3);
  });

  // Guards against a system call for each of the answers to what arrives together.
  it('writes what it answers at once to several messages in one piece', async () => {
    const answering = connection.peer as SlowConnection;
    answering.holds = true;
    connection.holds = true;
    sender.send({kind: 'ping', id: 1});
    sender.send({kind: 'ping', id: 2});
    await connection.passHeld();
    expect(answering.pieces).to.deep.equal([2]);
  });

  // Guards against a body that no timer or write wakes: only chunks reported that
  // the socket has room again.
  it('sends a large body once small messages ahead of it have left', async () => {
    const {answer, body} = createSmallAnswer();
    for (let n = 0; n < 3; n += 1) {
      sender.send(answer, body);
    }
    sendUpload('a-1');
    await passAll();
    expect(received.map(({bodyBytes}) => bodyBytes)).to.deep.equal([
      ...[8_000, 8_000, 8_000],
      UPLOAD_BYTES,
    ]);
  });

  it('sends two large bodies that are sent at the same time in turn', async () => {
    sendUpload('a-1');
    sendUpload('a-2');
    await passAll();
    expect(received.map(({bodyBytes}) => bodyBytes)).to.deep.equal([
      UPLOAD_BYTES,
      UPLOAD_BYTES,
    ]);
    expect(received[0].passedBytes).to.be.above(UPLOAD_BYTES * 1.9);
  });

  it('closes a connection that carries nothing any more, without an error', () => {
    sender.send({
      kind: 'pull',
      version: 1,
      revision: 1,
      ageMs: 0,
      configAgeMs: 0,
    });
    for (now = 0; now < 1_400; now += 200) {
      sender.checkAlive();
      expect(sender.closed, `at ${now} ms`).to.equal(false);
    }
    for (; now <= 2_000; now += 200) {
      sender.checkAlive();
    }
    expect(sender.closed).to.equal(true);
  });

  // A large body counts where it was received, and its turn may be far away.
  it('closes a connection that takes no messages, but not for waiting bodies', () => {
    const {answer, body} = createSmallAnswer();
    for (let n = 0; n < 300; n += 1) {
      sendUpload(`a-${n}`);
    }
    expect(sender.closed).to.equal(false);
    for (let n = 0; n < 600; n += 1) {
      sender.send(answer, body);
    }
    expect(sender.closed).to.equal(true);
  });

  it('stops sending a body that is discarded', async () => {
    sendUpload('a-1');
    await connection.pass();
    sender.discard('a-1');
    sender.send({kind: 'cancel', attemptId: 'a-1'});
    await passAll();
    expect(received.map(({kind}) => kind)).to.deep.equal(['cancel']);
    expect(connection.passedBytes).to.be.below(33_000);
  });
});
