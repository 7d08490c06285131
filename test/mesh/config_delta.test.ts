/** A difference turns exactly its base into the later version. */
import * as fc from 'fast-check';
import {
  createConfigDelta,
  tryApplyConfigDelta,
} from '../../src/core/mesh/config_delta.js';
import {MeshConfig, MeshRoute} from '../../src/model/mesh.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {expect} from '../support/chai_setup.js';
import {createConfig, createRoute} from './mesh_fixture.js';

const routeArbitrary = fc.record({
  name: fc.integer({min: 0, max: 9}).map(n => `r-${n}`),
  timeoutMs: fc.integer({min: 1, max: 3}),
  priority: fc.integer({min: 0, max: 2}),
});

const configArbitrary = (version: number) =>
  fc
    .uniqueArray(routeArbitrary, {selector: ({name}) => name})
    .map(routes => createConfig(version, routes.map(createRoute)));

function sort({routes, ...rest}: MeshConfig) {
  const byName = (a: MeshRoute, b: MeshRoute) => (a.name < b.name ? -1 : 1);
  return {...rest, routes: [...routes].sort(byName)};
}

describe('configuration difference', () => {
  it('restores the later version', () => {
    fc.assert(
      fc.property(configArbitrary(3), configArbitrary(8), (before, after) => {
        const delta = createConfigDelta(before, after);
        const restored = tryApplyConfigDelta(before, delta);
        expect(restored && sort(restored)).to.deep.equal(sort(after));
      }),
      {seed: 20261203},
    );
  });

  it('is refused for any other version', () => {
    const delta = createConfigDelta(createConfig(3), createConfig(8));
    expect(tryApplyConfigDelta(createConfig(4), delta)).to.equal(undefined);
    expect(tryApplyConfigDelta(undefined, delta)).to.equal(undefined);
  });
});

describe('message codec', () => {
  const codec = new MessageCodec(['x-id']);

  it('restores a message, in fewer bytes than its text', () => {
    const message = {
      kind: 'refusal',
      attemptId: 'a-1',
      reason: 'queue_full',
      outcome: 'not-run',
      retryAfterMs: 61.23,
      reachedUpstream: false,
      load: {running: 9, queued: 4, slots: 9, leaving: false},
    } as const;
    const packed = codec.pack(message);
    expect(codec.unpack(packed)._unsafeUnwrap()).to.deep.equal(message);
    expect(packed.length).to.be.below(JSON.stringify(message).length / 2);
  });

  it('refuses what another build or no build has sent', () => {
    const other = new MessageCodec(['x-other']).pack({kind: 'ping', id: 1});
    for (const packed of [Buffer.from('noise'), other.subarray(1)]) {
      expect(codec.unpack(packed).isErr()).to.equal(true);
    }
    const unknown = codec.pack({kind: 'ping', id: 0.5});
    expect(codec.unpack(unknown)._unsafeUnwrapErr()).to.contain('id');
  });
});
