/** Tests malformed and hostile input at each address of a proxy. */
import {once} from 'node:events';
import {Caller} from '../../src/standins/harness/caller.js';
import {Fleet, FleetNode} from '../../src/standins/harness/fleet.js';
import {describeResult} from '../../src/standins/harness/load_generator.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';
import {BILLING_PLAN, createRead, startFleet} from './fleet_support.js';
import {openSocket, RawAnswer, sendRaw} from './raw_socket.js';

const MAX_REQUEST_BYTES = 1_000;
const MAX_CONNECTIONS = 8;
const RECEIVE_TIMEOUT_MS = 300;

/** Creates the head of a request: its lines and the empty line after them. */
function createRequestHead(...lines: string[]): string {
  return [...lines, 'Host: a', 'Connection: close', '', ''].join('\r\n');
}

const POST_LINE = 'POST /stock/bad HTTP/1.1';
const GET_LINE = 'GET /stock/bad HTTP/1.1';
const SMUGGLED_REQUEST = 'GET /stock/smuggled HTTP/1.1\r\nHost: a\r\n\r\n';

/** Malformed HTTP, which any client may send. */
const MALFORMED: Readonly<Record<string, readonly string[]>> = {
  'not HTTP': ['\x16\x03\x01\x02 hello\r\n\r\n'],
  'unknown method': [createRequestHead('BREW /stock/bad HTTP/1.1')],
  'header too large': [
    createRequestHead(GET_LINE, `X-Filler: ${'x'.repeat(20_000)}`),
  ],
  'length and chunks': [
    createRequestHead(
      POST_LINE,
      'Content-Length: 4',
      'Transfer-Encoding: chunked',
    ),
    `0\r\n\r\n${SMUGGLED_REQUEST}`,
  ],
  'two lengths': [
    createRequestHead(POST_LINE, 'Content-Length: 4', 'Content-Length: 5'),
    `abcd${SMUGGLED_REQUEST}`,
  ],
  'space before the colon': [
    createRequestHead(POST_LINE, 'Content-Length : 4'),
    'abcd',
  ],
  'chunked is not last': [
    createRequestHead(POST_LINE, 'Transfer-Encoding: chunked, identity'),
    `0\r\n\r\n${SMUGGLED_REQUEST}`,
  ],
  'bad chunk size': [
    createRequestHead(POST_LINE, 'Transfer-Encoding: chunked'),
    'zz\r\nabc\r\n',
  ],
  'folded header': [
    createRequestHead(POST_LINE, 'X-A: 1\r\n Content-Length: 4'),
    'abcd',
  ],
};

const BAD_CALLS: Readonly<Record<string, readonly string[]>> = {
  'declared body too large': [
    createRequestHead(POST_LINE, `Content-Length: ${MAX_REQUEST_BYTES + 1}`),
  ],
  'chunked body too large': [
    createRequestHead(POST_LINE, 'Transfer-Encoding: chunked'),
    `7d0\r\n${'x'.repeat(2_000)}\r\n0\r\n\r\n`,
  ],
  'bad deadline': [
    createRequestHead(GET_LINE, 'Fireflysill-Deadline-Ms: soon'),
  ],
  'key too long': [
    createRequestHead(POST_LINE, `Idempotency-Key: ${'k'.repeat(1_000)}`),
  ],
  'two keys': [
    createRequestHead(POST_LINE, 'Idempotency-Key: a', 'Idempotency-Key: b'),
  ],
  'absolute target': [
    createRequestHead('GET http://elsewhere/stock/bad HTTP/1.1'),
  ],
  'slow sender': [`${GET_LINE}\r\nHost: a\r\n`],
  'slow body': [createRequestHead(POST_LINE, 'Content-Length: 10'), 'abc'],
};

/** Creates a request for the control channel with any body. */
function createControlRequest(body: string): readonly string[] {
  return [
    createRequestHead('POST /rpc HTTP/1.1', `Content-Length: ${body.length}`),
    body,
  ];
}

const BAD_PEER_MESSAGES: Readonly<Record<string, readonly string[]>> = {
  'unknown path': [createRequestHead('GET /nowhere HTTP/1.1')],
  'attempt is not JSON': [
    createRequestHead(GET_LINE, 'Fireflysill-Attempt: {'),
  ],
  'attempt of another shape': [
    createRequestHead(GET_LINE, 'Fireflysill-Attempt: {"key":7}'),
  ],
  'control is not JSON': createControlRequest('{"jsonrpc":'),
  'control without identifier': createControlRequest(
    '{"jsonrpc":"2.0","method":"peer"}',
  ),
  'control of unknown method': createControlRequest(
    '{"jsonrpc":"2.0","id":1,"method":"drop"}',
  ),
  'control of another shape': createControlRequest(
    '{"jsonrpc":"2.0","id":1,"method":"peer","params":{"kind":"pull"}}',
  ),
  'control too large': [
    createRequestHead('POST /rpc HTTP/1.1', 'Content-Length: 100000000'),
  ],
  'slow control': [
    createRequestHead('POST /rpc HTTP/1.1', 'Content-Length: 9'),
    '{',
  ],
};

describe('bad input', () => {
  let fleet: Fleet;
  let node: FleetNode;
  let caller: Caller;

  before(async () => {
    fleet = await startFleet({
      ...BILLING_PLAN,
      limits: {
        ...BILLING_PLAN.limits,
        maxRequestBytes: MAX_REQUEST_BYTES,
        maxCallerConnections: MAX_CONNECTIONS,
        receiveTimeoutMs: RECEIVE_TIMEOUT_MS,
      },
    });
    [node] = fleet.nodes;
  });

  beforeEach(() => {
    caller = new Caller();
  });

  after(() => fleet.stop());

  /** Checks that the proxy still serves calls and ran no malformed request. */
  afterEach(async () => {
    const read = createRead('good');
    const result = await caller.send(node.proxy.ports.callers, read);
    await caller.close();
    const journal = await fleet.readJournal();
    const paths = new Set(journal.map(({path}) => path));
    expect(describeResult(result)).to.equal('answered 200');
    expect([...paths]).to.deep.equal(['/stock/good']);
  });

  async function sendAll(
    port: number,
    cases: Readonly<Record<string, readonly string[]>>,
  ): Promise<Record<string, RawAnswer>> {
    const answers: Record<string, RawAnswer> = {};
    for (const [name, pieces] of Object.entries(cases)) {
      answers[name] = await sendRaw(port, pieces);
    }
    return answers;
  }

  /** Lists the counters that are not 0, without their values. */
  async function listNonzeroCounters(name: string): Promise<readonly string[]> {
    const metrics = await node.proxy.getMetrics();
    return metrics
      .split('\n')
      .filter(line => line.startsWith(name) && !line.endsWith(' 0'))
      .map(line => line.slice(0, line.lastIndexOf(' ')))
      .sort();
  }

  it('from callers gets a clear error', async () => {
    const {callers} = node.proxy.ports;
    expect(await sendAll(callers, MALFORMED)).toMatchSnapshot();
    expect(await sendAll(callers, BAD_CALLS)).toMatchSnapshot();
  });

  it('from peers gets a clear error', async () => {
    const {peers} = node.proxy.ports;
    expect(await sendAll(peers, MALFORMED)).toMatchSnapshot();
    expect(await sendAll(peers, BAD_PEER_MESSAGES)).toMatchSnapshot();
  });

  it('from operators gets a clear error', async () => {
    const {operators} = node.proxy.ports;
    const requests = {
      'unknown path': [createRequestHead('GET /nowhere HTTP/1.1')],
      'wrong method': [createRequestHead('DELETE /v1/status HTTP/1.1')],
    };
    expect(await sendAll(operators, MALFORMED)).toMatchSnapshot();
    expect(await sendAll(operators, requests)).toMatchSnapshot();
  });

  it('that ends half-way runs nothing', async () => {
    const pieces = [createRequestHead(POST_LINE, 'Content-Length: 100'), 'abc'];
    const {callers, peers} = node.proxy.ports;
    const answers = [
      await sendRaw(callers, pieces, true),
      await sendRaw(peers, pieces, true),
    ];
    expect(answers).toMatchSnapshot();
  });

  it('behind a good request never takes the place of its answer', async () => {
    const good = 'GET /stock/good HTTP/1.1\r\nHost: a\r\nX-Work-Ms: 50\r\n\r\n';
    const {callers} = node.proxy.ports;
    expect(await sendRaw(callers, [good, 'garbage\r\n\r\n'])).to.deep.equal({
      statuses: [200],
      errors: [],
    });
  });

  it('by too many connections leaves room for others afterwards', async () => {
    const {callers} = node.proxy.ports;
    const sockets = [];
    for (let n = 0; n < MAX_CONNECTIONS; n += 1) {
      sockets.push(await openSocket(callers));
    }
    const extra = await openSocket(callers);
    if (!extra.closed) {
      await once(extra, 'close');
    }
    sockets.forEach(socket => socket.destroy());
    await waitUntil('connections to be free again', async () => {
      const read = createRead('good');
      const result = await caller.send(callers, read);
      return result.kind === 'answered';
    });
  });

  it('is counted by its kind', async () => {
    expect(
      await listNonzeroCounters('fireflysill_bad_input_total'),
    ).toMatchSnapshot();
    expect(
      await listNonzeroCounters('fireflysill_call_refused_total'),
    ).toMatchSnapshot();
  });
});
