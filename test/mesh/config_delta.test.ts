/** Differences between configurations apply to their base version only. */
import * as fc from 'fast-check';
import {
  createConfigDelta,
  tryApplyConfigDelta,
} from '../../src/core/mesh/config_delta.js';
import {MeshConfig, MeshRoute} from '../../src/model/mesh.js';
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

/** Sorts routes: a difference does not preserve their order. */
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

  it('is rejected for any other base version', () => {
    const delta = createConfigDelta(createConfig(3), createConfig(8));
    expect(tryApplyConfigDelta(createConfig(4), delta)).to.equal(undefined);
    expect(tryApplyConfigDelta(undefined, delta)).to.equal(undefined);
  });
});
