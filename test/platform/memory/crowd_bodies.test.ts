/** Crowds of clients whose request bodies together exceed the memory of a VM. */
import {
  BodyForm,
  GIB,
  KIB,
  MIB,
  createBody,
  createHead,
  createUploadHead,
  cutShort,
  encodeBody,
} from './bodies.js';
import {Handler, answerWithSummary, readNothing} from './upstream_handlers.js';
import {LAST_MACHINE_PATH, WatchedFleet} from './watched_fleet.js';

const CROWD = 24;
/** Clients of the crowd that stop short of the end of their body. */
const MOST = 22;

/** What one client of a crowd sends. */
type Sending = (n: number) => readonly Uint8Array[];

interface Crowd {
  readonly send: Sending;
  /** Number of machines; two where the upstream is beside another machine. */
  readonly machines?: number;
  /** By default the largest that operators may set. */
  readonly maxBodyBytes?: number;
  readonly handler?: Handler;
}

/**
 * Sends a body.
 * @param form - Form of the body.
 * @param bytes - Its length.
 * @param missingBytes - Bytes at its end that some clients do not send.
 * @param path - Path of the request.
 * @param short - Number of clients that do not send them.
 */
function upload(
  form: BodyForm,
  bytes: number,
  missingBytes = 0,
  path = '/charge/crowd',
  short = MOST,
): Sending {
  const parts = encodeBody(form, createBody(bytes));
  const cut = cutShort(parts, missingBytes);
  return n => [
    createUploadHead(form, path, `r-${n}`, bytes),
    ...(n < short ? cut : parts),
  ];
}

/** Sends parts over and over after a head; the limit ends what has no end. */
function sendTimes(
  body: number | 'chunked',
  part: Buffer,
  times: number,
): Sending {
  return n => [
    createHead('POST', '/charge/crowd', `r-${n}`, body),
    ...Array.from({length: times}, () => part),
  ];
}

const piece = createBody(64 * KIB);
const largeChunk = encodeBody('in large chunks', piece)[0];
const smallChunks = encodeBody('in small chunks', createBody(10 * KIB))[0];

const limit16 = {maxBodyBytes: 16 * MIB};

/** Forms by title; bodies are created when their test runs. */
const CROWDS: Readonly<Record<string, () => Crowd>> = {
  'whole bodies': () => ({send: upload('whole', 16 * MIB), ...limit16}),
  'whole bodies of which most lack a byte': () => ({
    send: upload('whole', 16 * MIB, 1),
    ...limit16,
  }),
  'bodies in pieces': () => ({send: upload('in pieces', 16 * MIB), ...limit16}),
  'bodies in pieces of which most lack a byte': () => ({
    send: upload('in pieces', 16 * MIB, 1),
    ...limit16,
  }),
  'the first quarters of bodies of 64 MiB': () => ({
    send: upload('in pieces', 64 * MIB, 49 * MIB, '/charge/crowd', CROWD),
  }),
  'bodies in large chunks': () => ({
    send: upload('in large chunks', 16 * MIB),
    ...limit16,
  }),
  'bodies in large chunks of which most lack a byte': () => ({
    send: upload('in large chunks', 16 * MIB, 1),
    ...limit16,
  }),
  'bodies in small chunks': () => ({
    send: upload('in small chunks', 256 * KIB),
    ...limit16,
  }),
  'bodies in small chunks of which most lack a byte': () => ({
    send: upload('in small chunks', 256 * KIB, 1),
    ...limit16,
  }),
  'announced bodies over the limit': () => ({
    send: sendTimes(GIB, piece, 1_024),
    ...limit16,
  }),
  'large chunks over the limit': () => ({
    send: sendTimes('chunked', largeChunk, 1_024),
    ...limit16,
  }),
  'small chunks over the limit': () => ({
    send: sendTimes('chunked', smallChunks, 52),
    maxBodyBytes: 256 * KIB,
  }),
  'large bodies to no route': () => ({
    send: upload('whole', 16 * MIB, 1, '/unknown/'),
    ...limit16,
  }),
  'bodies that the upstream does not read': () => ({
    send: upload('in pieces', 16 * MIB),
    handler: readNothing,
    ...limit16,
  }),
  'whole bodies to another machine': () => ({
    send: upload('whole', 16 * MIB, 0, LAST_MACHINE_PATH),
    machines: 2,
    ...limit16,
  }),
  'bodies in large chunks to another machine': () => ({
    send: upload('in large chunks', 16 * MIB, 0, LAST_MACHINE_PATH),
    machines: 2,
    ...limit16,
  }),
  'bodies that the upstream beside another machine does not read': () => ({
    send: upload('in pieces', 16 * MIB, 0, LAST_MACHINE_PATH),
    machines: 2,
    handler: readNothing,
    ...limit16,
  }),
};

describe('a crowd that sends', () => {
  let fleet: WatchedFleet;

  beforeEach(() => {
    fleet = new WatchedFleet();
  });

  afterEach(() => fleet.stop());

  // Guards against FAULT: a proxy runs out of memory and ends.
  for (const [title, createCrowd] of Object.entries(CROWDS)) {
    it(`${title} ends no proxy`, async () => {
      const {send, machines = 1, maxBodyBytes, handler} = createCrowd();
      await fleet.start(machines, maxBodyBytes);
      fleet.handleCrowd(handler ?? answerWithSummary);
      for (let n = 0; n < CROWD; n += 1) {
        fleet.connect(send(n));
      }
      await fleet.check(title);
    });
  }
});
