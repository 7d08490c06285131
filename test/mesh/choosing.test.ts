/** Where an entry sends a call, by load, speed, failures and distance. */
import {chooseInstance} from '../../src/core/mesh/choose_instance.js';
import {
  getOrCreateLoad,
  recordConnectionRefused,
  recordLoadReport,
} from '../../src/core/entry/load_view.js';
import {LoadReport} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  DEFAULT_ENTROPY,
  createInstance,
  createRoute,
} from './mesh_fixture.js';

const NEAR = createInstance(2);
const FAR = createInstance(3, {zone: 'south'});

function choose(
  reports: Readonly<Record<string, Partial<LoadReport>>>,
  down: readonly string[] = [],
  callBytes?: number,
): string | undefined {
  const proxy = new MeshFixture();
  proxy.loadFromSource([NEAR, FAR]);
  const {state, at} = proxy;
  for (const [id, report] of Object.entries(reports)) {
    const idle = {running: 0, queued: 0, slots: 2, leaving: false};
    recordLoadReport(
      getOrCreateLoad(state.loads, id),
      {...idle, ...report},
      at,
    );
  }
  down.forEach(id =>
    recordConnectionRefused(getOrCreateLoad(state.loads, id), at),
  );
  const route = createRoute();
  if (callBytes !== undefined) {
    state.callBytesByRoute.set(route.name, callBytes);
  }
  const none = new Set<string>();
  return chooseInstance(state, 'desk', route, none, at, DEFAULT_ENTROPY)?.id;
}

describe('choice of an upstream', () => {
  it('prefers the own zone while it has room', () => {
    expect(choose({'i-2': {running: 1}, 'i-3': {}})).to.equal('i-2');
  });

  it('goes to another zone before the queue costs the aim', () => {
    const full = {running: 2, queued: 3};
    expect(choose({'i-2': full, 'i-3': {}})).to.equal('i-3');
  });

  it('keeps large calls in the zone longer than small ones', () => {
    const busy = {'i-2': {running: 2}, 'i-3': {}};
    expect(choose(busy, [], 400)).to.equal('i-3');
    expect(choose(busy, [], 6_000)).to.equal('i-2');
  });

  it('leaves a slow upstream to its neighbours', () => {
    expect(choose({'i-2': {slowness: 5}, 'i-3': {}})).to.equal('i-3');
  });

  it('is not drawn to one that fails fast', () => {
    const grey = {slowness: 0.5, failing: 0.8};
    expect(choose({'i-2': grey, 'i-3': {running: 1}})).to.equal('i-3');
  });

  it('leaves out one that refuses connections, unless no other is left', () => {
    expect(choose({}, ['i-2'])).to.equal('i-3');
    expect(choose({}, ['i-2', 'i-3'])).not.to.equal(undefined);
  });
});
