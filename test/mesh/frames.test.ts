/** Frames on links: round trips in pieces of any size, and malformed bytes. */
import {Frame, FrameReader, encodeFrame} from '../../src/mesh/frames.js';
import {expect} from '../support/chai_setup.js';

const STAMP = {sentAt: 2 ** 33, behindMs: 700};

const FRAMES: readonly Frame[] = [
  {kind: 'whole', message: Buffer.from('hello'), body: Buffer.alloc(0)},
  {
    kind: 'chunk',
    transfer: 7,
    message: Buffer.from('upload'),
    body: Buffer.from('first'),
    last: false,
  },
  {kind: 'discarded', transfer: 9},
  {
    kind: 'chunk',
    transfer: 7,
    message: Buffer.alloc(0),
    body: Buffer.from('second'),
    last: true,
  },
];

/** Reads all frames that the bytes hold. */
function read(pieces: readonly Buffer[]): unknown[] {
  const reader = new FrameReader();
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
    const errors = [unknownType, tooLarge].flatMap(piece => read([piece]));
    expect(errors).toMatchSnapshot();
  });
});
