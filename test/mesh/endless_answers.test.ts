/** Upstreams whose answers have no end, in the head or in the body. */
import {once} from 'node:events';
import {Server, Socket, createServer} from 'node:net';
import {AddressInfo} from 'node:net';
import {MeshEventBody} from '../../src/core/mesh/mesh_types.js';
import {
  AnswerBuffers,
  MAX_INFORMATIONAL_HEADS,
} from '../../src/proxy/http_exchange.js';
import {
  MAX_ANSWER_BYTES,
  MAX_HEAD_BYTES,
  MeshUpstreamClient,
} from '../../src/mesh/mesh_upstream_client.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNK = 'x'.repeat(65_536);

/** The beginning of an answer, and what follows it again and again. */
interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
  /** Whether another answer may look complete, so that it is passed on. */
  readonly completes?: boolean;
  /** Most bytes that are taken of it; `MAX_BYTES` by default. */
  readonly maxBytes?: number;
}

/** Most bytes that the client may take before it closes the connection. */
const MAX_BYTES = MAX_ANSWER_BYTES + MAX_HEAD_BYTES;
/** Limit of the HTTP client on each head. */
const MAX_HEAD_BYTES_EACH = 16_384;
/** Bytes in the buffers of both sockets, which are taken but not read. */
const SOCKET_BYTES = 8 * 1_048_576;

const ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'header fields': {start: OK, repeated: 'a: b\r\n'},
  'one header field': {start: `${OK}a: `, repeated: CHUNK},
  'a status line': {
    start: 'HTTP/1.1 200 ',
    repeated: CHUNK,
  },
  'bytes that are no answer': {start: '', repeated: CHUNK},
  'empty lines': {start: '', repeated: '\r\n'},
  'informational heads': {
    start: '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
    maxBytes: MAX_INFORMATIONAL_HEADS * MAX_HEAD_BYTES_EACH,
  },
  'informational heads with fields': {
    start: '',
    repeated: `HTTP/1.1 103 Early Hints\r\n${'a: b\r\n'.repeat(1_000)}\r\n`,
    maxBytes: MAX_INFORMATIONAL_HEADS * MAX_HEAD_BYTES_EACH,
  },
  'a body without length': {
    start: `${OK}\r\n`,
    repeated: CHUNK,
  },
  'a body of chunks': {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: `10000\r\n${CHUNK}\r\n`,
  },
  'a body of chunks of one byte': {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: '1\r\nx\r\n',
  },
  'an extension of a chunk': {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n1;`,
    repeated: CHUNK,
  },
  trailers: {
    start: `${OK}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`,
    repeated: 'a: b\r\n',
  },
  'bytes behind a whole answer': {
    start: `${OK}X-Request-Id: r-0\r\nContent-Length: 1\r\n\r\na`,
    repeated: CHUNK,
    completes: true,
  },
};

/** Writes one endless answer to each connection, until it is closed. */
class EndlessUpstream {
  writtenBytes = 0;
  /** Connections with a request, until they are closed. */
  readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor({start, repeated}: EndlessAnswer) {
    const block = repeated.repeat(Math.ceil(CHUNK.length / repeated.length));
    this.server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        this.sockets.add(socket);
        socket.once('close', () => this.sockets.delete(socket));
        socket.write(start);
        const write = () => {
          while (!socket.destroyed && socket.write(block)) {
            this.writtenBytes += block.length;
          }
        };
        socket.on('drain', write);
        write();
      });
    });
  }

  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async allClosed(): Promise<void> {
    await waitUntil('closed connections', async () => this.sockets.size === 0);
  }

  stop(): void {
    this.sockets.forEach(socket => socket.destroy());
    this.server.close();
  }
}

describe('answers without end', () => {
  /** Long, so that it is not the deadline that ends the answers. */
  const TIMEOUT_MS = 60_000;

  async function ask(
    endless: EndlessAnswer,
    count: number,
    memory = new MemoryBudget(100e6, 0),
  ): Promise<{events: MeshEventBody[]; writtenBytes: number}> {
    const upstream = new EndlessUpstream(endless);
    const events: MeshEventBody[] = [];
    const client = new MeshUpstreamClient(
      await upstream.start(),
      HEADER_NAMES,
      event => events.push(event),
      memory,
    );
    const asked = Array.from({length: count}, (_, n) => {
      const headers = {[HEADER_NAMES.requestId]: `r-${n}`};
      const body = new Uint8Array(0);
      const outbound = {method: 'GET', path: '/read/1', headers, body};
      return client.dispatch(`a-${n}`, 'i-1', TIMEOUT_MS, outbound);
    });
    await Promise.all(asked);
    await upstream.allClosed();
    await client.destroy();
    upstream.stop();
    expect(memory.usedBytes).to.equal(0);
    return {events, writtenBytes: upstream.writtenBytes};
  }

  for (const [name, endless] of Object.entries(ANSWERS)) {
    it(`are cut off: ${name}`, async () => {
      const {events, writtenBytes} = await ask(endless, 1);
      const kind = endless.completes ? 'upstreamAnswered' : 'upstreamFailed';
      expect(events.map(event => event.kind)).to.deep.equal([kind]);
      const {maxBytes = MAX_BYTES} = endless;
      expect(writtenBytes).to.be.at.most(maxBytes + SOCKET_BYTES);
    });
  }

  it('are all cut off if many come at once', async () => {
    const {events} = await ask(ANSWERS['a body of chunks'], 12);
    expect(events.map(({kind}) => kind)).to.deep.equal(
      Array(12).fill('upstreamFailed'),
    );
  });

  it('are cut off where the memory of the process ends', async () => {
    const memory = new MemoryBudget(4 * 1_048_576, 0);
    const {events, writtenBytes} = await ask(
      ANSWERS['a body of chunks'],
      1,
      memory,
    );
    expect(events.map(({kind}) => kind)).to.deep.equal(['upstreamFailed']);
    expect(writtenBytes).to.be.at.most(4 * 1_048_576 + SOCKET_BYTES);
  });

  it('take no more memory together than the limit, the largest goes first', () => {
    const buffers = new AnswerBuffers(100);
    const aborted: string[] = [];
    const receive = (name: string, receivedBytes: number) => {
      const answer = {
        receivedBytes,
        abortAsTooLarge: () => {
          aborted.push(name);
          buffers.release(answer);
        },
      };
      buffers.add(answer, receivedBytes);
      return answer;
    };
    receive('large', 60);
    const complete = receive('complete', 30);
    buffers.release(complete);
    receive('small', 30);
    receive('last', 20);
    expect(aborted).to.deep.equal(['large']);
  });
});
