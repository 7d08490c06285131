/** Bodies that a link receives in chunks, within a memory budget of a few KiB. */
import {BodyGrants} from '../../src/mesh/body_grants.js';
import {FrameStamp, ReceivedFrame} from '../../src/mesh/frames.js';
import {IncomingBodies} from '../../src/mesh/incoming_bodies.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const MAX_BYTES = 100_000;
const BODY = Buffer.from(Array.from({length: 40_000}, (_, at) => at % 251));
const CHUNK_BYTES = 8_000;
const STAMP: FrameStamp = {sentAt: 5, behindMs: 0};

const UPLOAD: LinkMessage = {
  kind: 'attempt',
  attempt: createAttempt({attemptId: 'a-1'}),
  method: 'POST',
  path: '/upload/1',
  headers: {},
};

const STATE: LinkMessage = {
  kind: 'state',
  ageMs: 0,
  revision: 1,
  version: 1,
  deltas: [],
  configRevision: 1,
  configAgeMs: 0,
  versionAgeMs: 0,
  hasConfig: true,
};

describe('bodies that arrive on a link', () => {
  const codec = new MessageCodec([]);
  let budget: MemoryBudget;
  let incoming: IncomingBodies;
  let events: string[];

  beforeEach(() => {
    budget = new MemoryBudget(MAX_BYTES, 0);
    events = [];
    incoming = new IncomingBodies(
      budget,
      codec,
      {
        onRefused: message => events.push(`refused ${message.kind}`),
        sendGrant: (transfer, bytes) =>
          events.push(`granted ${transfer} ${bytes}`),
        onBadFrame: () => events.push('bad frame'),
      },
      new BodyGrants(() => 1_000),
    );
  });

  /** Creates the chunks of a message. */
  function createChunks(
    transfer: number,
    message = UPLOAD,
    bodyTotal = BODY.length,
  ): Array<Extract<ReceivedFrame, {kind: 'chunk'}>> {
    const count = Math.ceil(BODY.length / CHUNK_BYTES);
    return Array.from({length: count}, (_, n) => ({
      kind: 'chunk',
      stamp: STAMP,
      transfer,
      bodyTotal,
      message: n === 0 ? codec.encode(message, false) : Buffer.alloc(0),
      body: BODY.subarray(n * CHUNK_BYTES, (n + 1) * CHUNK_BYTES),
      last: n === count - 1,
    }));
  }

  /** Receives chunks; returns the sizes of the bodies that are complete. */
  function receive(chunks: readonly ReceivedFrame[]): number[] {
    return chunks.flatMap(chunk => {
      const received =
        chunk.kind === 'whole' || chunk.kind === 'granted'
          ? undefined
          : incoming.receive(chunk);
      return received === undefined ? [] : [received.body.length];
    });
  }

  it('are assembled in one buffer that counts from the first chunk on', () => {
    const chunks = createChunks(1);
    receive(chunks.slice(0, 1));
    expect(budget.usedBytes).to.be.within(BODY.length, BODY.length + 2_000);
    receive(chunks.slice(1, -1));
    const received = incoming.receive(chunks[chunks.length - 1]);
    expect(received).to.deep.include({message: UPLOAD, sentAt: 5});
    expect(BODY.equals(received?.body ?? BODY.subarray(1))).to.equal(true);
    expect(received?.body.buffer.byteLength).to.equal(BODY.length);
    expect(budget.usedBytes).to.equal(0);
  });

  it('are refused with the first chunk if there is no room, others are not', async () => {
    budget.add(MAX_BYTES - BODY.length);
    const chunks = createChunks(1);
    expect(receive(chunks.slice(0, 1))).to.deep.equal([]);
    await Promise.resolve();
    expect(events).to.deep.equal(['refused attempt']);
    expect(budget.usedBytes).to.equal(MAX_BYTES - BODY.length);
    budget.release(MAX_BYTES - BODY.length);
    expect(receive([...chunks.slice(1), ...createChunks(2)])).to.deep.equal([
      BODY.length,
    ]);
  });

  it('are refused when they have to make room for a request', async () => {
    const chunks = createChunks(1);
    receive(chunks.slice(0, 3));
    expect(budget.tryReserve(MAX_BYTES - BODY.length)).to.equal(true);
    expect(events).to.deep.equal([]);
    await Promise.resolve();
    expect(events).to.deep.equal(['refused attempt']);
    expect(receive(chunks.slice(3))).to.deep.equal([]);
  });

  it('are released when they are discarded or the link closes', async () => {
    const [first, ...rest] = createChunks(1);
    receive([first, {kind: 'discarded', stamp: STAMP, transfer: 1}, ...rest]);
    expect(budget.usedBytes).to.equal(0);
    receive(createChunks(2).slice(0, 2));
    incoming.close();
    expect(budget.usedBytes).to.equal(0);
    await Promise.resolve();
    expect(events).to.deep.equal([]);
  });

  it('have what is garbage collected when they are refused', async () => {
    const events: string[] = [];
    const full = new MemoryBudget(MAX_BYTES, 0, event => events.push(event));
    const handlers = {
      onRefused: () => undefined,
      sendGrant: () => undefined,
      onBadFrame: () => undefined,
    };
    const [first] = createChunks(1, UPLOAD, 20e6);
    const grants = new BodyGrants(() => 1_000);
    new IncomingBodies(full, codec, handlers, grants).receive(first);
    while (!events.includes('collected')) {
      await new Promise(resolve => setImmediate(resolve));
    }
  });

  // A full memory must not keep configurations from spreading.
  it('are never refused if they are no calls', () => {
    budget.add(MAX_BYTES);
    expect(receive(createChunks(1, STATE))).to.deep.equal([BODY.length]);
    expect(budget.usedBytes).to.equal(MAX_BYTES);
  });

  it('are refused if they are longer or shorter than announced, or too long', async () => {
    const sizes = [
      ...receive(createChunks(1, UPLOAD, BODY.length - 1)),
      ...receive(createChunks(2, UPLOAD, BODY.length + 1)),
      ...receive(createChunks(3, UPLOAD, 2 ** 31)),
    ];
    expect(sizes).to.deep.equal([]);
    await Promise.resolve();
    expect(events.sort()).to.deep.equal([
      ...['bad frame', 'bad frame', 'bad frame'],
      ...['refused attempt', 'refused attempt', 'refused attempt'],
    ]);
    expect(budget.usedBytes).to.equal(0);
  });
});
