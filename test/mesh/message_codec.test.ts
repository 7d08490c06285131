/** Encoding of link messages, with and without compression. */
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {LinkMessage} from '../../src/model/mesh.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const MESSAGE: LinkMessage = {
  kind: 'attempt',
  attempt: createAttempt(),
  method: 'GET',
  path: '/read/1',
  headers: {host: 'shop.example'},
};

describe('message codec', () => {
  const codec = new MessageCodec(['x-id']);

  it('decodes what it encoded, with and without compression', () => {
    for (const compress of [true, false]) {
      const encoded = codec.encode(MESSAGE, compress);
      expect(codec.decode(encoded)._unsafeUnwrap()).to.deep.equal(MESSAGE);
    }
  });

  it('compresses a message to less than half of its JSON text', () => {
    const message = {
      kind: 'refusal',
      attemptId: 'a-1',
      reason: 'queue_full',
      outcome: 'not-run',
      retryAfterMs: 61.23,
      reachedUpstream: false,
      load: {running: 9, queued: 4, slots: 9, leaving: false},
    } as const;
    const encoded = codec.encode(message, true);
    expect(codec.decode(encoded)._unsafeUnwrap()).to.deep.equal(message);
    expect(encoded.length).to.be.below(JSON.stringify(message).length / 2);
  });

  it('rejects noise, data without a format byte and invalid fields', () => {
    const foreign = new MessageCodec(['x-other']).encode(
      {kind: 'ping', id: 1},
      true,
    );
    for (const encoded of [Buffer.from('noise'), foreign.subarray(1)]) {
      expect(codec.decode(encoded).isErr()).to.equal(true);
    }
    const invalid = codec.encode({kind: 'ping', id: 0.5}, true);
    expect(codec.decode(invalid)._unsafeUnwrapErr()).to.contain('id');
  });

  it('rejects malformed messages with a remedy', () => {
    for (const bytes of [[], [2, 1, 1], [0, 123], [1, 255, 255]]) {
      const decoded = codec.decode(Uint8Array.from(bytes));
      expect(decoded._unsafeUnwrapErr()).to.include('run the same build');
    }
  });
});
