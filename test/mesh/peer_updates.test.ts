/** Reads of the source, updates between peers, and the state that follows. */
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createConfig,
  createInstance,
  createRoute,
} from './mesh_fixture.js';
import {SourceAnswer, SourceRequest} from '../../src/core/mesh/mesh_types.js';
import {createPosition} from '../../src/core/mesh/source_position.js';
import {Instance, LinkMessage} from '../../src/model/mesh.js';

const FLEET = [1, 2, 3].map(host =>
  createInstance(host, {
    incarnation: host,
    zone: host === 3 ? 'south' : 'north',
  }),
);

/** Lists the fleet with some instances replaced or removed. */
function listFleetWith(
  changed: readonly Instance[],
  removed: readonly string[] = [],
): Instance[] {
  const kept = FLEET.filter(
    ({id}) => !removed.includes(id) && !changed.some(c => c.id === id),
  );
  return [...kept, ...changed];
}

function getAcceptingIds(proxy: MeshFixture): string[] {
  const accepting = proxy.state.fleet.acceptingByService.get('desk') ?? [];
  return accepting.map(({id}) => id);
}

type UpdateMessage = Extract<LinkMessage, {kind: 'news'}>;

/** Delivers a peer's update. */
function postUpdate(
  proxy: MeshFixture,
  overrides: Pick<UpdateMessage, 'fleet'> & Partial<UpdateMessage>,
): void {
  const from = '10.0.0.2:7000';
  const message: UpdateMessage = {
    kind: 'news',
    forwardTo: [],
    ageMs: 0,
    version: 1,
    configRevision: 0,
    configAgeMs: 0,
    versionAgeMs: 0,
    ...overrides,
  };
  proxy.post({kind: 'messageReceived', from, message});
}

describe('mesh updates', () => {
  it('lets the proxy of rank 0 read the source, and rank 1 if it does not', () => {
    const first = new MeshFixture();
    const second = new MeshFixture({
      address: '10.0.0.2:7000',
      upstreamAddress: '10.0.0.2:8000',
    });
    for (const proxy of [first, second]) {
      proxy.loadFromSource(FLEET);
      proxy.drainEffects();
      proxy.at += 2_000;
      proxy.state.sourceReads.freshAt = proxy.at;
      proxy.advance(600);
    }
    expect(first.drainEffects()).to.include('readSource fleet');
    expect(second.drainEffects()).not.to.include('readSource fleet');
    second.advance(250);
    expect(second.drainEffects()).to.include('readSource fleet');
  });

  // Guards against a late list: a proxy that the source does not answer stays first.
  it('lets a proxy that read in place of the first one read on without delay', () => {
    const second = new MeshFixture({
      address: '10.0.0.2:7000',
      upstreamAddress: '10.0.0.2:8000',
    });
    second.loadFromSource(FLEET);
    second.drainEffects();
    second.advance(850);
    expect(second.drainEffects()).to.include('readSource fleet');
    second.readFleet(FLEET, 11);
    second.drainEffects();
    second.advance(600);
    expect(second.drainEffects()).to.include('readSource fleet');
    second.readFleet(FLEET, 12);
    second.post({
      kind: 'messageReceived',
      from: '10.0.0.1:7000',
      message: {
        kind: 'news',
        ageMs: 0,
        forwardTo: [],
        fleet: {base: 12, revision: 13, changed: [], removed: []},
        version: 1,
        configRevision: 10,
        configAgeMs: 0,
        versionAgeMs: 0,
        appointment: {by: '10.0.0.1:7000', pollers: ['10.0.0.1:7000']},
      },
    });
    second.drainEffects();
    second.advance(600);
    expect(second.drainEffects()).not.to.include('readSource fleet');
  });

  it('backs off while the source does not answer', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.drainEffects();
    let reads = 0;
    for (let n = 0; n < 400; n += 1) {
      for (const effect of proxy.advance(25)) {
        if (effect.kind === 'readSource') {
          const {request} = effect;
          reads += request.kind === 'fleet' ? 1 : 0;
          proxy.post({kind: 'sourceFailed', request, detail: 'silent'});
        }
      }
    }
    expect(reads).to.be.within(4, 8);
  });

  it('sends updates to its own zone and one proxy of each other zone', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.drainEffects();
    proxy.readFleet(listFleetWith([createInstance(1, {heartbeat: 2})]), 11);
    expect(proxy.drainEffects()).to.deep.equal([
      'sendMessage news to 10.0.0.2:7000',
      'sendMessage news to 10.0.0.3:7000',
    ]);
  });

  it('opens missing links without sending `hello` itself', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.advance(600);
    const effects = proxy.drainEffects();
    expect(effects).to.include('openLink 10.0.0.2:7000');
    expect(effects.some(effect => effect.includes('hello'))).to.equal(false);
  });

  it('never adopts a lower version', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET, createConfig(7));
    proxy.loadFromSource(FLEET, createConfig(5), 11);
    expect(proxy.state.config?.version).to.equal(7);
  });

  it('applies a difference only to its base version', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET, createConfig(7));
    proxy.drainEffects();
    const limits = createConfig().limits;
    const post = (base: number, version: number) =>
      postUpdate(proxy, {
        fleet: {base: 10, revision: 10, changed: [], removed: []},
        version,
        delta: {
          base,
          version,
          routes: [createRoute({name: 'new', pathPrefix: '/new/'})],
          removedRoutes: ['read'],
          services: [],
          removedServices: [],
          limits,
        },
      });
    post(6, 8);
    expect(proxy.state.config?.version).to.equal(7);
    expect(proxy.drainEffects()).to.deep.equal([
      'sendMessage pull to 10.0.0.2:7000',
    ]);
    post(7, 8);
    expect(proxy.state.config?.routes.map(({name}) => name)).to.deep.equal([
      'charge',
      'new',
    ]);
  });

  it('pulls the fleet from a peer whose update has a higher base revision', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.drainEffects();
    postUpdate(proxy, {
      fleet: {base: 20, revision: 21, changed: [], removed: ['i-3']},
    });
    expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
    expect(proxy.drainEffects()).to.include(
      'sendMessage pull to 10.0.0.2:7000',
    );
  });

  it('ignores an older report that arrives after a drain', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    const draining = createInstance(2, {
      incarnation: 2,
      state: 'draining',
      heartbeat: 9,
    });
    proxy.readFleet(listFleetWith([draining]), 11);
    proxy.readFleet(
      listFleetWith([createInstance(2, {incarnation: 2, heartbeat: 8})]),
      12,
    );
    expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-3']);
  });

  it('accepts a lower heartbeat from a later incarnation', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.readFleet(
      listFleetWith([createInstance(2, {incarnation: 2, heartbeat: 50})]),
      11,
    );
    proxy.readFleet(
      listFleetWith([createInstance(2, {incarnation: 9, heartbeat: 1})]),
      12,
    );
    expect(proxy.state.fleet.instances.get('i-2')?.incarnation).to.equal(9);
  });

  it('removes an upstream at once while the source answers', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.advance(600);
    proxy.readFleet(listFleetWith([], ['i-2']), 11);
    expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-3']);
  });

  it('keeps upstreams that expired during an outage for two seconds', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.at += 6_000;
    proxy.readFleet(listFleetWith([], ['i-2', 'i-3']), 20);
    proxy.advance(1_000);
    proxy.readFleet(
      listFleetWith(
        [createInstance(2, {incarnation: 2, heartbeat: 9})],
        ['i-3'],
      ),
      21,
    );
    expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
    proxy.advance(1_000);
    expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2']);
  });

  describe('after a restore of the source', () => {
    const RESTORED = createPosition(1, 5);

    it('keeps upstreams that the copy lacks until they can register again', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET);
      proxy.advance(600);
      proxy.readFleet(listFleetWith([], ['i-2', 'i-3']), RESTORED);
      expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
      proxy.advance(1_500);
      const again = createInstance(2, {
        incarnation: 2,
        registeredAt: RESTORED + 2,
        heartbeat: 9,
      });
      proxy.readFleet(listFleetWith([again], ['i-3']), RESTORED + 3);
      proxy.advance(500);
      expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2']);
    });

    it('keeps upstreams that a peer with the copy does not list', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET);
      const changed = listFleetWith([], ['i-2']);
      const fleet = {base: 0, revision: RESTORED, changed, removed: []};
      proxy.post({
        kind: 'messageReceived',
        from: '10.0.0.2:7000',
        message: {
          kind: 'state',
          configAgeMs: 0,
          versionAgeMs: 0,
          ageMs: 0,
          revision: RESTORED,
          version: 0,
          deltas: [],
          fleet,
          configRevision: RESTORED,
          hasConfig: false,
        },
      });
      expect(getAcceptingIds(proxy)).to.include('i-2');
      proxy.advance(2_000);
      expect(getAcceptingIds(proxy)).not.to.include('i-2');
    });

    it('sends nothing to an upstream known as draining that the copy lists as ready', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET);
      const known = {incarnation: 2, registeredAt: 4};
      const draining = createInstance(2, {
        ...known,
        state: 'draining',
        heartbeat: 9,
      });
      proxy.readFleet(listFleetWith([draining]), 11);
      for (const heartbeat of [8, 9]) {
        const listed = createInstance(2, {
          ...known,
          registeredAt: createPosition(1, 4),
          heartbeat,
        });
        proxy.readFleet(listFleetWith([listed]), RESTORED + heartbeat);
        expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-3']);
      }
    });

    it('sends nothing to an upstream known as gone until it reports again', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET);
      proxy.advance(600);
      proxy.readFleet(listFleetWith([], ['i-2']), 11);
      // This proxy did not hear of every heartbeat that the copy holds.
      const listed = (heartbeat: number) =>
        createInstance(2, {
          incarnation: 2,
          registeredAt: createPosition(1, 4),
          heartbeat,
        });
      proxy.readFleet(listFleetWith([listed(40)]), RESTORED);
      proxy.readFleet(listFleetWith([listed(40)]), RESTORED + 1);
      expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-3']);
      proxy.readFleet(listFleetWith([listed(41)]), RESTORED + 2);
      expect(getAcceptingIds(proxy)).to.include('i-2');
    });

    it('orders reports without a start time by heartbeat, not by revision', () => {
      const proxy = new MeshFixture();
      const report = (registeredAt: number, heartbeat: number) => [
        createInstance(1, {incarnation: 0, registeredAt, heartbeat}),
      ];
      proxy.loadFromSource(report(90, 7), undefined, 100);
      proxy.readFleet(report(createPosition(1, 60), 8), createPosition(1, 61));
      expect(getAcceptingIds(proxy)).to.deep.equal(['i-1']);
      const {heartbeat} = proxy.state.fleet.instances.get('i-1')!;
      expect(heartbeat).to.equal(8);
    });

    it('ignores updates of peers that were cut off since before it', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET, undefined, RESTORED);
      postUpdate(proxy, {
        fleet: {base: 900, revision: 901, changed: [], removed: ['i-3']},
      });
      expect(getAcceptingIds(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
    });

    it('keeps its version, and adopts the next one that is written', () => {
      const proxy = new MeshFixture();
      proxy.loadFromSource(FLEET, createConfig(7), 90);
      const request = {kind: 'nextConfig', after: 90, waitMs: 1_000} as const;
      const answer = {kind: 'compacted'} as const;
      proxy.post({kind: 'sourceAnswered', request, answer});
      proxy.readConfig(createConfig(5), RESTORED);
      expect(proxy.state.config?.version).to.equal(7);
      expect(proxy.state.sourceReads.configRevision).to.equal(RESTORED);
      proxy.readConfig(createConfig(9), RESTORED + 1);
      expect(proxy.state.config?.version).to.equal(9);
    });
  });

  it('ignores a listing that is older than what peers have told', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    const added = createInstance(4, {incarnation: 4});
    postUpdate(proxy, {
      fleet: {base: 10, revision: 12, changed: [added], removed: []},
    });
    proxy.readFleet(FLEET, 11);
    expect(getAcceptingIds(proxy)).to.include('i-4');
  });

  it('reads the latest configuration where the history was compacted', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET);
    proxy.drainEffects();
    const request = {kind: 'nextConfig', after: 10, waitMs: 1_000} as const;
    const answer = {kind: 'compacted'} as const;
    proxy.post({kind: 'sourceAnswered', request, answer});
    expect(proxy.drainEffects()).to.deep.equal(['readSource config']);
    proxy.readConfig(createConfig(9), 30);
    expect(proxy.state.config?.version).to.equal(9);
  });

  it('pauses where the source returns the current version again', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET, createConfig(3), 10);
    const config = createConfig(4);
    const answer = {kind: 'config', revision: 12, config} as const;
    const request = {kind: 'nextConfig', after: 10, waitMs: 1_000} as const;
    const event = {kind: 'sourceAnswered', request, answer} as const;
    proxy.drainEffects();
    proxy.post(event);
    expect(proxy.drainEffects()).to.include('readSource nextConfig');
    proxy.post(event);
    expect(proxy.drainEffects()).not.to.include('readSource nextConfig');
    proxy.advance(250);
    expect(proxy.drainEffects()).to.include('readSource nextConfig');
  });

  it('pauses where the source answers a long poll at once', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(FLEET, createConfig(3), 10);
    const answer = {kind: 'config', revision: 12} as const;
    const request = {kind: 'nextConfig', after: 10, waitMs: 1_000} as const;
    proxy.at += 20;
    proxy.post({kind: 'sourceAnswered', request, answer});
    proxy.drainEffects();
    proxy.at += 20;
    proxy.post({kind: 'sourceAnswered', request, answer});
    expect(proxy.drainEffects()).not.to.include('readSource nextConfig');
    proxy.advance(250);
    expect(proxy.drainEffects()).to.include('readSource nextConfig');
  });

  it('waits for versions after the last certain revision', () => {
    const proxy = new MeshFixture();
    // A listing of the fleet proves nothing about configurations.
    let due = [
      ...proxy.loadFromSource(FLEET, createConfig(3), 10),
      ...proxy.readFleet(FLEET, 30),
    ];
    const answer = (request: SourceRequest): SourceAnswer =>
      request.kind === 'fleet'
        ? {kind: 'fleet', revision: 30, instances: FLEET}
        : {kind: 'config', revision: 30};
    const asked: number[] = [];
    for (let second = 0; second < 10; second += 1) {
      // The source answers each long poll at its timeout.
      due.push(...proxy.advance(1_000));
      const answered = due;
      due = [];
      for (const effect of answered) {
        if (effect.kind === 'readSource') {
          const {request} = effect;
          asked.push(...(request.kind === 'nextConfig' ? [request.after] : []));
          const event = {kind: 'sourceAnswered', request} as const;
          due.push(...proxy.post({...event, answer: answer(request)}));
        }
      }
    }
    expect(asked[0]).to.equal(10);
    expect(asked.at(-1)).to.equal(30);
  });
});
