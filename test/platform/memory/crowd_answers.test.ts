/** Crowds whose answers together exceed the memory of a VM. */
import {KIB, MIB, createBody, createHead, encodeBody} from './bodies.js';
import {Reading} from './client.js';
import {
  Handler,
  answerWithSummary,
  createAnswer,
  createInterimHeads,
  readNothing,
} from './upstream_handlers.js';
import {WatchedFleet} from './watched_fleet.js';

const CROWD = 24;

interface Crowd {
  readonly handler: Handler;
  readonly reading: Reading;
  /** What each client sends; by default one request. */
  readonly send?: (n: number) => Iterable<Uint8Array>;
}

/** Yields pipelined requests of a client, some at a time. */
function* pipeline(
  client: number,
  times: number,
  perWrite: number,
  bodyBytes?: number,
): Generator<Buffer> {
  const method = bodyBytes === undefined ? 'GET' : 'POST';
  const body = createBody(bodyBytes ?? 0);
  for (let n = 0; n < times; n += 1) {
    const requests = Array.from({length: perWrite}, (_, m) => [
      createHead(method, '/read/crowd', `r-${client}-${n}-${m}`, bodyBytes),
      body,
    ]);
    yield Buffer.concat(requests.flat());
  }
}

function createLargeAnswer(inTurn = false): Handler {
  const body = createBody(15 * MIB);
  return createAnswer(
    `Content-Length: ${body.length}`,
    encodeBody('in pieces', body),
    inTurn,
  );
}

function createInterim(status: string, fieldBytes: number): Buffer {
  const field = 'x'.repeat(fieldBytes);
  return Buffer.from(`HTTP/1.1 ${status}\r\nLink: ${field}\r\n\r\n`);
}

function repeat(part: Buffer, times: number): Buffer {
  return Buffer.concat(Array.from({length: times}, () => part));
}

const CROWDS: Readonly<Record<string, () => Crowd>> = {
  'reads none of its large answers': () => ({
    handler: createLargeAnswer(),
    reading: 'reads nothing',
  }),
  'reads large answers slowly': () => ({
    handler: createLargeAnswer(),
    reading: 'reads slowly',
  }),
  'reads none of its large answers, sent in turn,': () => ({
    handler: createLargeAnswer(true),
    reading: 'reads nothing',
  }),
  'reads large answers, sent in turn, slowly': () => ({
    handler: createLargeAnswer(true),
    reading: 'reads slowly',
  }),
  'gets answers in small chunks': () => ({
    handler: createAnswer(
      'Transfer-Encoding: chunked',
      encodeBody('in small chunks', createBody(256 * KIB)),
    ),
    reading: 'reads',
  }),
  'gets many interim heads': () => ({
    handler: createInterimHeads(
      repeat(createInterim('102 Processing', 16), 1_000),
      40,
    ),
    reading: 'reads',
  }),
  'gets large interim heads': () => ({
    handler: createInterimHeads(
      createInterim('103 Early Hints', 12 * KIB),
      1_000,
    ),
    reading: 'reads',
  }),
  'gets interim heads without end': () => ({
    handler: createInterimHeads(
      createInterim('103 Early Hints', 12 * KIB),
      100_000,
    ),
    reading: 'reads',
  }),
  'sends pipelined requests and reads nothing': () => ({
    handler: answerWithSummary,
    reading: 'reads nothing',
    send: n => pipeline(n, 50, 100),
  }),
  'sends pipelined bodies and reads nothing': () => ({
    handler: answerWithSummary,
    reading: 'reads nothing',
    send: n => pipeline(n, 200, 1, 64 * KIB),
  }),
  'sends pipelined requests for large answers and reads nothing': () => ({
    handler: createLargeAnswer(),
    reading: 'reads nothing',
    send: n => pipeline(n, 1, 10),
  }),
};

describe('a crowd that', () => {
  let fleet: WatchedFleet;

  beforeEach(async () => {
    fleet = new WatchedFleet();
    await fleet.start(1);
  });

  afterEach(() => fleet.stop());

  // Guards against FAULT: a proxy runs out of memory and ends.
  for (const [title, createCrowd] of Object.entries(CROWDS)) {
    it(`${title} ends no proxy`, async () => {
      const {handler, reading, send} = createCrowd();
      fleet.handleCrowd(handler);
      for (let n = 0; n < CROWD; n += 1) {
        const request = createHead('GET', '/read/crowd', `r-${n}`);
        fleet.connect(send?.(n) ?? [request], reading);
      }
      await fleet.check(title);
    });
  }

  const FIELD = 'x'.repeat(30_000);
  // Each takes far more memory than its characters.
  const FIELDS = Array.from({length: 900}, (_, n) => `f${n}: v\r\n`).join('');
  for (const [title, clients, field, times] of [
    ['many tiny requests', 400, '', 1_000],
    ['large heads', 200, `x: ${FIELD}\r\n`, 63],
    ['heads with many short fields', 250, FIELDS, 63],
  ] as const) {
    it(`sends ${title} behind one that waits ends no proxy`, async () => {
      fleet.handleCrowd(readNothing);
      const next = Buffer.from(`GET / HTTP/1.1\r\nHost: a\r\n${field}\r\n`);
      const parts = repeat(next, times);
      for (let n = 0; n < clients; n += 1) {
        const head = createHead('GET', '/read/crowd', `r-${n}`);
        fleet.connect([Buffer.concat([head, parts])], 'reads nothing');
      }
      await fleet.check(title);
    });
  }

  for (const count of [500, 4_200]) {
    it(`sends parts of ${count} heads ends no proxy`, async () => {
      const head = createHead('GET', '/read/crowd', 'r');
      const part = Buffer.concat([
        head.subarray(0, -2),
        createBody(15 * KIB - head.length),
      ]);
      for (let n = 0; n < count; n += 1) {
        fleet.connect([part]);
      }
      await fleet.check(`parts of ${count} heads`);
    });
  }
});
