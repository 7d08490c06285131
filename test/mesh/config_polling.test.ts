/** Who waits for the next version, and what a proxy asks for that missed some. */
import {expect} from '../support/chai_setup.js';
import {ConfigDelta, Hello} from '../../src/model/mesh.js';
import {
  findDeltasSince,
  recordDelta,
} from '../../src/core/mesh/config_history.js';
import {getPollWaitMs} from '../../src/core/mesh/config_polling.js';
import {
  MeshFixture,
  SELF,
  createConfig,
  createHello,
  createInstance,
  createRoute,
} from './mesh_fixture.js';

const OWN = `${SELF}:7000`;
const FLEET = [1, 2, 3, 4].map(host =>
  createInstance(host, {
    incarnation: host,
    zone: host === 4 ? 'south' : 'north',
  }),
);

/** Creates the reader of the list, with links to three peers. */
function createReader(hellos: ReadonlyArray<Partial<Hello>> = []): MeshFixture {
  const reader = new MeshFixture();
  reader.loadFromSource(FLEET);
  for (const [n, host] of [2, 3, 4].entries()) {
    const from = `10.0.0.${host}:7000`;
    const zone = host === 4 ? 'south' : 'north';
    const message = createHello({address: from, zone, ...hellos[n]});
    reader.post({kind: 'messageReceived', from, message});
  }
  return reader;
}

/** Reads the list again; returns who is appointed. */
function getPollers(reader: MeshFixture, revision: number): string[] {
  const effects = reader.readFleet(FLEET, revision);
  for (const effect of effects) {
    if (effect.kind === 'sendMessage' && effect.message.kind === 'news') {
      return [...(effect.message.appointment?.pollers ?? [])];
    }
  }
  return [];
}

function createDelta(base: number, routes = 1): ConfigDelta {
  return {
    base,
    version: base + 1,
    routes: Array.from({length: routes}, () => createRoute()),
    removedRoutes: [],
    services: [],
    removedServices: [],
    limits: createConfig().limits,
  };
}

describe('config polling', () => {
  it('go on until the next reading, however rarely the list is read', () => {
    const reader = new MeshFixture({readIntervalMs: 1_800});
    reader.loadFromSource(FLEET);
    const readAt = reader.at;
    expect(getPollWaitMs(reader.state, readAt)).not.to.equal(undefined);
    const nextAt = readAt + 1_800 + 250;
    expect(getPollWaitMs(reader.state, nextAt)).not.to.equal(undefined);
  });

  it('is done by the reader of the list and a proxy of another zone', () => {
    expect(getPollers(createReader(), 11)).to.deep.equal([
      OWN,
      '10.0.0.4:7000',
    ]);
  });

  it('is done by the proxies with the fastest links', () => {
    const hellos = [{}, {linkMbps: 5_000}, {linkMbps: 5_000}];
    const pollers = getPollers(createReader(hellos), 11);
    expect(pollers.sort()).to.deep.equal(['10.0.0.3:7000', '10.0.0.4:7000']);
  });

  // Guards against CONFIG: the source may answer the reader and none of the pollers.
  it('is done by the reader, too, until the first poller reports an answer', () => {
    const hellos = [{}, {linkMbps: 5_000}, {linkMbps: 5_000}];
    const reader = createReader(hellos);
    const [first, second] = getPollers(reader, 11);
    const isPolling = () => getPollWaitMs(reader.state, reader.at) === 1_000;
    const report = (from: string) => {
      const message = {
        kind: 'polled',
        failed: false,
        version: 1,
        configRevision: 10,
        configAgeMs: 0,
        versionAgeMs: 0,
      } as const;
      reader.post({kind: 'messageReceived', from, message});
    };
    expect([first, second]).not.to.include(OWN);
    expect(isPolling()).to.equal(true);
    report(second);
    expect(isPolling()).to.equal(true);
    report(first);
    expect(isPolling()).to.equal(false);
    reader.at += 500;
    getPollers(reader, 12);
    reader.at += 1_000;
    expect(isPolling()).to.equal(false);
    reader.at += 101;
    expect(isPolling()).to.equal(true);
  });

  it('is left to another proxy by one whose poll failed', () => {
    const reader = createReader();
    getPollers(reader, 11);
    const message = {
      kind: 'polled',
      failed: true,
      version: 1,
      configRevision: 10,
      configAgeMs: 0,
      versionAgeMs: 0,
    } as const;
    const from = '10.0.0.4:7000';
    reader.post({kind: 'messageReceived', from, message});
    expect(getPollers(reader, 12)).not.to.include(from);
  });

  it('is left to another proxy by one that falls silent', () => {
    const hellos = [{linkMbps: 5_000}, {linkMbps: 2_000}, {linkMbps: 2_000}];
    const reader = createReader(hellos);
    const silent = '10.0.0.2:7000';
    expect(getPollers(reader, 11)).to.include(silent);
    for (let revision = 12; revision < 15; revision += 1) {
      reader.advance(600);
      getPollers(reader, revision);
    }
    expect(getPollers(reader, 15)).not.to.include(silent);
  });

  it('reads at once what a poll may have missed that was cut', () => {
    const reader = createReader();
    getPollers(reader, 11);
    reader.drainEffects();
    const request = {kind: 'nextConfig', after: 10, waitMs: 1_000} as const;
    reader.post({kind: 'sourceFailed', request, detail: 'cut'});
    expect(reader.drainEffects()).to.include('readSource config');
  });

  it('is not confirmed by a peer that has an older version', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET, createConfig(7));
    const {confirmedAt} = proxy.state.configFreshness;
    proxy.at += 500;
    const from = '10.0.0.2:7000';
    const post = (version: number) =>
      proxy.post({
        kind: 'messageReceived',
        from,
        message: {
          kind: 'news',
          ageMs: 0,
          forwardTo: [],
          fleet: {base: 10, revision: 10, changed: [], removed: []},
          version,
          configRevision: 10,
          configAgeMs: 100,
          versionAgeMs: 100,
        },
      });
    post(8);
    expect(proxy.state.configFreshness.confirmedAt).to.equal(confirmedAt);
    expect(proxy.drainEffects()).to.include(`sendMessage pull to ${from}`);
    post(7);
    expect(proxy.state.configFreshness.confirmedAt).to.equal(proxy.at - 100);
  });
});

describe('config history', () => {
  it('finds the differences since a version while it has them all', () => {
    const history: ConfigDelta[] = [];
    for (let base = 1; base <= 20; base += 1) {
      recordDelta(history, createDelta(base));
    }
    expect(findDeltasSince(history, 18)?.map(({base}) => base)).to.deep.equal([
      18, 19, 20,
    ]);
    expect(findDeltasSince(history, 2)).to.equal(undefined);
  });

  it('begins anew after a version of which only the whole is known', () => {
    const history = [createDelta(1)];
    recordDelta(history, undefined);
    recordDelta(history, createDelta(9));
    expect(findDeltasSince(history, 1)).to.equal(undefined);
    expect(findDeltasSince(history, 9)).to.have.length(1);
  });

  it('keeps no difference that changes hundreds of routes', () => {
    const history = [createDelta(1)];
    recordDelta(history, createDelta(2, 1_400));
    expect(findDeltasSince(history, 2)).to.equal(undefined);
  });
});

describe('missed updates', () => {
  it('are asked for where none has come for longer than readings take', () => {
    const proxy = createReader();
    // Another proxy reads the list.
    proxy.state.sourceReads.notBefore = Infinity;
    proxy.drainEffects();
    proxy.advance(900);
    expect(proxy.drainEffects().join()).not.to.include('pull');
    proxy.advance(300);
    const pulls = proxy.drainEffects().filter(e => e.includes('pull'));
    expect(pulls.join()).to.include('10.0.0.4:7000');
    expect(pulls).to.have.length(2);
  });

  it('arrive as differences, without the whole configuration', () => {
    const proxy = createReader();
    const add = createRoute({name: 'new', pathPrefix: '/new/'});
    const request = {kind: 'nextConfig', after: 10, waitMs: 1_000} as const;
    const config = createConfig(2, [...createConfig().routes, add]);
    const answer = {kind: 'config', revision: 12, config} as const;
    proxy.post({kind: 'sourceAnswered', request, answer});
    const effects = proxy.post({
      kind: 'messageReceived',
      from: '10.0.0.2:7000',
      message: {
        kind: 'pull',
        version: 1,
        revision: 10,
        ageMs: 0,
        configAgeMs: 0,
      },
    });
    const [reply] = effects.filter(effect => effect.kind === 'sendMessage');
    expect(reply).to.have.nested.property('message.deltas[0].version', 2);
    expect(reply).to.have.property('config', undefined);
  });
});
