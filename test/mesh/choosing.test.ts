/** The choice of an upstream by load, slowness, failures and zone. */
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
  createHello,
  createInstance,
  createRoute,
} from './mesh_fixture.js';

const NEAR = createInstance(2);
const FAR = createInstance(3, {zone: 'south'});

function choose(
  reports: Readonly<Record<string, Partial<LoadReport>>>,
  down: readonly string[] = [],
  bodyBytes = 0,
  linkMbps = 1_000,
  answerBytes = 400,
): string | undefined {
  const proxy = new MeshFixture({linkMbps});
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
  state.answerBytesByRoute.set(route.name, answerBytes);
  const tried = new Set<string>();
  const query = {service: 'desk', route, tried, bodyBytes, timeLeftMs: 1_200};
  return chooseInstance(state, query, at, DEFAULT_ENTROPY)?.id;
}

describe('choice of an upstream', () => {
  it('prefers its own zone while a slot is free there', () => {
    expect(choose({'i-2': {running: 1}, 'i-3': {}})).to.equal('i-2');
  });

  it('chooses another zone over a long queue in its own', () => {
    const full = {running: 2, queued: 3};
    expect(choose({'i-2': full, 'i-3': {}})).to.equal('i-3');
  });

  it('keeps large calls in its zone under loads at which small ones leave it', () => {
    const busy = {'i-2': {running: 2}, 'i-3': {}};
    expect(choose(busy, [], 0)).to.equal('i-3');
    expect(choose(busy, [], 5_600)).to.equal('i-2');
  });

  it('keeps an upload in its zone while it can be answered in time there', () => {
    const loaded = {running: 2, queued: 2};
    expect(choose({'i-2': loaded, 'i-3': {}}, [], 60_000)).to.equal('i-2');
    const overloaded = {running: 2, queued: 7};
    expect(choose({'i-2': overloaded, 'i-3': {}}, [], 60_000)).to.equal('i-3');
  });

  it('sends uploads past busy connections, and calls without a body to them', () => {
    const busy = {'i-2': {linkShare: 0.8}, 'i-3': {}};
    const idle = {'i-2': {linkShare: 0.1}, 'i-3': {}};
    expect(choose(busy, [], 60_000, 5)).to.equal('i-3');
    expect(choose(idle, [], 60_000, 5)).to.equal('i-2');
    expect(choose(busy, [], 0, 5)).to.equal('i-2');
  });

  it('avoids a slow upstream', () => {
    expect(choose({'i-2': {slowness: 5}, 'i-3': {}})).to.equal('i-3');
  });

  it('does not prefer an upstream that fails quickly', () => {
    const failsQuickly = {slowness: 0.5, failing: 0.8};
    expect(choose({'i-2': failsQuickly, 'i-3': {running: 1}})).to.equal('i-3');
  });

  it('excludes one that refuses connections, unless no other is left', () => {
    expect(choose({}, ['i-2'])).to.equal('i-3');
    expect(choose({}, ['i-2', 'i-3'])).not.to.equal(undefined);
  });
});

describe('choice of an upstream for downloads', () => {
  const DOWNLOAD_BYTES = 90_000;
  const STEP_MS = 6.5;

  // Slots show nothing of the bytes: each upstream would get as many downloads.
  it('spreads them by free bandwidth', () => {
    const entry = new MeshFixture({upstreamAddress: '10.0.0.1:9999'});
    const hosts = [2, 3, 4, 5, 6, 7, 8];
    entry.loadFromSource(hosts.map(host => createInstance(host)));
    const {state} = entry;
    const route = createRoute({aimMs: 669});
    state.answerBytesByRoute.set(route.name, DOWNLOAD_BYTES);
    const upstreams = hosts.map(host => {
      const linkMbps = host === 2 ? 28 : 14;
      const from = `10.0.0.${host}:7000`;
      const message = createHello({address: from, linkMbps});
      entry.post({kind: 'messageReceived', from, message});
      return {id: `i-${host}`, linkMbps, delayMs: 0, downloads: 0};
    });
    const tried = new Set<string>();
    const query = {
      service: 'desk',
      route,
      tried,
      bodyBytes: 0,
      timeLeftMs: 2_789,
    };
    let longestMs = 0;
    for (let step = 1; step <= 800; step += 1) {
      entry.at += STEP_MS;
      for (const upstream of upstreams) {
        upstream.delayMs = Math.max(0, upstream.delayMs - STEP_MS);
        const idle = {running: 0, queued: 0, slots: 2, leaving: false};
        const report = {...idle, linkDelayMs: upstream.delayMs};
        recordLoadReport(
          getOrCreateLoad(state.loads, upstream.id),
          report,
          entry.at,
        );
      }
      const entropy = (DEFAULT_ENTROPY + step * 0x9e37_79b9) % 2 ** 32;
      const chosen = chooseInstance(state, query, entry.at, entropy);
      const upstream = upstreams.find(({id}) => id === chosen?.id);
      if (upstream === undefined) {
        throw new Error('No upstream was chosen.');
      }
      upstream.downloads += 1;
      upstream.delayMs += (DOWNLOAD_BYTES * 8) / (upstream.linkMbps * 1_000);
      longestMs = Math.max(longestMs, upstream.delayMs);
    }
    expect(longestMs).to.be.below(200);
    const [wide, ...narrow] = upstreams.map(({downloads}) => downloads);
    expect(wide).to.be.above(Math.max(...narrow) * 1.5);
  });

  // Reports of waiting bytes appear only once a narrow connection is full.
  it('sends a download over the wider of two idle connections', () => {
    const entry = new MeshFixture({upstreamAddress: '10.0.0.1:9999'});
    entry.loadFromSource([createInstance(2), createInstance(3)]);
    for (const [host, linkMbps] of [
      [2, 14],
      [3, 140],
    ]) {
      const from = `10.0.0.${host}:7000`;
      const message = createHello({address: from, linkMbps});
      entry.post({kind: 'messageReceived', from, message});
    }
    const route = createRoute();
    entry.state.answerBytesByRoute.set(route.name, DOWNLOAD_BYTES);
    const query = {
      service: 'desk',
      route,
      tried: new Set<string>(),
      bodyBytes: 0,
      timeLeftMs: 1_200,
    };
    const chosen = [1, 2, 3, 4].map(
      n => chooseInstance(entry.state, query, entry.at, n * 2 ** 29)?.id,
    );
    expect(new Set(chosen)).to.deep.equal(new Set(['i-3']));
  });

  it('sends a download past a connection where others wait, a small call to it', () => {
    const waiting = {'i-2': {linkDelayMs: 900}, 'i-3': {}};
    expect(choose(waiting, [], 0, 14, 90_000)).to.equal('i-3');
    expect(choose(waiting, [], 0, 14)).to.equal('i-2');
    const few = {'i-2': {linkDelayMs: 40}, 'i-3': {}};
    expect(choose(few, [], 0, 14, 90_000)).to.equal('i-2');
  });
});

describe('choice among the preferred upstreams of a large service', () => {
  const near = Array.from({length: 30}, (_, n) => createInstance(n + 2));
  const far = Array.from({length: 60}, (_, n) =>
    createInstance(n + 40, {zone: 'south'}),
  );

  /** Gets the zones that are chosen while a share of the near upstreams fail. */
  function chooseZones(fail: (proxy: MeshFixture, id: string) => void) {
    const proxy = new MeshFixture();
    proxy.loadFromSource([...near, ...far]);
    near.forEach(({id}) => fail(proxy, id));
    const query = {
      service: 'desk',
      route: createRoute(),
      tried: new Set<string>(),
      bodyBytes: 0,
      timeLeftMs: 1_200,
    };
    const zones = new Set<string | undefined>();
    for (let draw = 1; draw <= 40; draw += 1) {
      const entropy = DEFAULT_ENTROPY + draw * 0x2_0000_01;
      zones.add(chooseInstance(proxy.state, query, proxy.at, entropy)?.zone);
    }
    return [...zones];
  }

  it('stays in its zone while nothing fails', () => {
    expect(chooseZones(() => undefined)).to.deep.equal(['north']);
  });

  it('leaves a zone whose upstreams are all ejected', () => {
    const zones = chooseZones(({state, at}, id) => {
      getOrCreateLoad(state.loads, id).ejectedUntil = at + 1_000;
    });
    expect(zones).to.deep.equal(['south']);
  });

  it('leaves a zone whose upstreams all refuse connections', () => {
    const zones = chooseZones(({state, at}, id) =>
      recordConnectionRefused(getOrCreateLoad(state.loads, id), at),
    );
    expect(zones).to.deep.equal(['south']);
  });
});
