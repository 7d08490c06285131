/** Frames on links: round trips in pieces of any size, and malformed bytes. */
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {FrameReader} from '../../src/mesh/frame_reader.js';
import {Frame, encodeFrame} from '../../src/mesh/frames.js';
import {expect} from '../support/chai_setup.js';

const STAMP = {sentAt: 2 ** 33, behindMs: 700};

const FRAMES: readonly Frame[] = [
  {kind: 'whole', message: Buffer.from('hello'), body: Buffer.alloc(0)},
  {
    kind: 'chunk',
    transfer: 7,
    bodyTotal: 11,
    message: Buffer.from('upload'),
    body: Buffer.from('first'),
    last: false,
  },
  {kind: 'discarded', transfer: 9},
  {
    kind: 'chunk',
    transfer: 7,
    bodyTotal: 11,
    message: Buffer.alloc(0),
    body: Buffer.from('second'),
    last: true,
  },
  {kind: 'granted', transfer: 7, bytes: 24_576},
];

/** Reads all frames that the bytes hold. */
function read(
  pieces: readonly Buffer[],
  budget = new MemoryBudget(100_000, 0),
): unknown[] {
  const reader = new FrameReader(budget);
  const frames: unknown[] = [];
  for (const piece of pieces) {
    reader.push(piece);
    for (
      let frame = reader.read();
      frame !== undefined;
      frame = reader.read()
    ) {
      frames.push(frame);
      if ('error' in frame) {
        return frames;
      }
    }
  }
  return frames;
}

describe('frames', () => {
  const message = Buffer.from('hello');
  const bytes = Buffer.concat(FRAMES.map(frame => encodeFrame(frame, STAMP)));

  for (const size of [1, 5, 1_000]) {
    it(`are read from pieces of ${size} bytes`, () => {
      const pieces: Buffer[] = [];
      for (let at = 0; at < bytes.length; at += size) {
        pieces.push(bytes.subarray(at, at + size));
      }
      expect(read(pieces)).to.deep.equal(
        FRAMES.map(frame => ({...frame, stamp: STAMP})),
      );
    });
  }

  it('name the remedy where bytes are no frame', () => {
    const unknownType = Buffer.from(encodeFrame(FRAMES[0], STAMP));
    unknownType.writeUInt8(77, 0);
    const tooLarge = Buffer.from(encodeFrame(FRAMES[0], STAMP));
    tooLarge.writeUInt32BE(2 ** 31, 13);
    const body = Buffer.alloc(8_193);
    const tooLong = encodeFrame({kind: 'whole', message, body}, STAMP);
    const errors = [unknownType, tooLarge, tooLong].flatMap(piece =>
      read([piece]),
    );
    expect(errors).toMatchSnapshot();
  });

  // Guards against a buffer, and what was read with it, for each piece of a frame.
  it('are held in one buffer while they are incomplete', () => {
    const budget = new MemoryBudget(100_000, 0);
    const body = Buffer.alloc(4_000, 7);
    const whole = encodeFrame({kind: 'whole', message, body}, STAMP);
    const pieces = Array.from(whole, byte => Buffer.of(byte));
    expect(read(pieces.slice(0, -1), budget)).to.deep.equal([]);
    expect(budget.usedBytes).to.equal(whole.length);
    const other = new MemoryBudget(100_000, 0);
    expect(read(pieces, other)).to.have.length(1);
    expect(other.usedBytes).to.equal(0);
  });

  it('are refused at their head if they are large and there is no memory', () => {
    const budget = new MemoryBudget(100_000, 0);
    const large = Buffer.alloc(200_000);
    const bytes = encodeFrame(
      {kind: 'whole', message: large, body: Buffer.alloc(0)},
      STAMP,
    );
    const [refused] = read([bytes.subarray(0, 60)], budget);
    expect(refused).to.have.property('error');
  });
});
