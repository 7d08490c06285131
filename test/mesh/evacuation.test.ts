/** Evacuated zones: how an entry and an owner treat them, and what messages carry. */
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {createPosition} from '../../src/core/mesh/source_position.js';
import {
  EvacuationReading,
  MeshEffect,
  PeerMessage,
  SourceRequest,
} from '../../src/core/mesh/mesh_types.js';
import {
  Appointment,
  Evacuation,
  Instance,
  LinkMessage,
} from '../../src/model/mesh.js';
import {createStatus} from '../../src/mesh/operator_handlers.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createConfig,
  createHello,
  createInstance,
} from './mesh_fixture.js';
import {SimulatedFleet} from './soak/simulated_fleet.js';

const PEER = '10.0.0.2:7000';

/** One upstream beside the proxy in `north`, and two in other zones. */
const FLEET = [
  createInstance(1, {zone: 'north'}),
  createInstance(2, {zone: 'south'}),
  createInstance(3, {zone: 'east'}),
];

function evacuate(zone: string, revision: number): Evacuation {
  return {zone, revision, evacuated: true};
}

function takeBack(zone: string, revision: number): Evacuation {
  return {zone, revision, evacuated: false};
}

function createProxy(instances: readonly Instance[] = FLEET): MeshFixture {
  const proxy = new MeshFixture();
  proxy.loadFromSource(instances);
  proxy.drainEffects();
  return proxy;
}

/** Delivers what a read of the configuration shows of evacuated zones. */
function read(
  proxy: MeshFixture,
  evacuations: EvacuationReading,
  kind: 'config' | 'nextConfig' = 'config',
): readonly MeshEffect[] {
  const request: SourceRequest =
    kind === 'config'
      ? {kind}
      : {kind, after: proxy.state.sourceReads.configRevision, waitMs: 1_000};
  const {revision} = evacuations;
  const config = kind === 'config' ? createConfig() : undefined;
  const answer = {kind: 'config', revision, config, evacuations} as const;
  return proxy.post({kind: 'sourceAnswered', request, answer});
}

function poll(
  proxy: MeshFixture,
  ...changes: Evacuation[]
): readonly MeshEffect[] {
  const revision = Math.max(...changes.map(change => change.revision));
  return read(proxy, {complete: false, revision, changes}, 'nextConfig');
}

/** Delivers a peer's update that changes nothing but evacuations. */
function postNews(
  proxy: MeshFixture,
  evacuations: readonly Evacuation[],
  appointment?: Appointment,
): readonly MeshEffect[] {
  const message: PeerMessage = {
    kind: 'news',
    forwardTo: [],
    ageMs: 0,
    fleet: {base: 0, revision: 0, changed: [], removed: []},
    version: 1,
    configRevision: 0,
    configAgeMs: 0,
    versionAgeMs: 0,
    evacuations,
    appointment,
  };
  return proxy.post({kind: 'messageReceived', from: PEER, message});
}

/** Lets a peer appoint the proxy to wait for the next change. */
function appoint(proxy: MeshFixture): void {
  const pollers = [proxy.state.settings.address];
  postNews(proxy, [], {by: PEER, pollers});
}

function getZones(proxy: MeshFixture): string[] {
  return (createStatus(proxy.state, proxy.at) as {evacuatedZones: string[]})
    .evacuatedZones;
}

function getLogs(effects: readonly MeshEffect[]): string[] {
  return effects.flatMap(effect =>
    effect.kind === 'log' && effect.message.startsWith('Zone')
      ? `${effect.message} ${JSON.stringify(effect.fields)}`
      : [],
  );
}

function getMessages(
  effects: readonly MeshEffect[],
  kind: LinkMessage['kind'],
): LinkMessage[] {
  return effects.flatMap(effect =>
    effect.kind === 'sendMessage' && effect.message.kind === kind
      ? effect.message
      : [],
  );
}

/**
 * Runs many calls at a time, so that the load of each upstream makes others the better
 * choice; returns the upstreams that were chosen.
 */
function getChosen(proxy: MeshFixture): string[] {
  const chosen = new Set<string>();
  proxy.drainEffects();
  for (let n = 0; n < 200; n += 1) {
    const call = {
      requestId: `r-${n}`,
      host: 'shop.example',
      path: '/read/1',
      timeoutMs: 1_000,
      bodyBytes: 0,
      fingerprint: `f-${n}`,
    };
    const callId = `c-${n}`;
    // Low entropy explores an upstream without a recent report.
    const entropy = Math.floor((n / 200) ** 3 * 2 ** 32);
    const effects = proxy.post({kind: 'callArrived', callId, call}, entropy);
    for (const effect of effects) {
      if (effect.kind === 'sendAttempt') {
        chosen.add(effect.attempt.instanceId);
      }
    }
  }
  for (let n = 0; n < 200; n += 1) {
    proxy.post({kind: 'callerGone', callId: `c-${n}`});
  }
  return [...chosen].sort();
}

describe('evacuated zones at an entry', () => {
  it('get no call until they are taken back', () => {
    const proxy = createProxy();
    expect(getChosen(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
    poll(proxy, evacuate('south', 12));
    expect(getChosen(proxy)).to.deep.equal(['i-1', 'i-3']);
    poll(proxy, takeBack('south', 14));
    proxy.advance(30_000);
    expect(getChosen(proxy)).to.deep.equal(['i-1', 'i-2', 'i-3']);
  });

  it('get no call from their own proxies, which remain entries', () => {
    const proxy = createProxy();
    poll(proxy, evacuate('north', 12));
    expect(getChosen(proxy)).to.deep.equal(['i-2', 'i-3']);
  });

  it('may be two of three, which overlap in time', () => {
    const proxy = createProxy();
    poll(proxy, evacuate('north', 12));
    poll(proxy, evacuate('south', 13));
    expect(getChosen(proxy)).to.deep.equal(['i-3']);
    poll(proxy, takeBack('north', 14));
    expect(getZones(proxy)).to.deep.equal(['south']);
    expect(getChosen(proxy)).to.not.include('i-2');
  });

  it('hold for upstreams that register or move there later', () => {
    const proxy = createProxy();
    poll(proxy, evacuate('south', 12));
    const added = createInstance(4, {zone: 'south', registeredAt: 13});
    const moved = createInstance(3, {zone: 'south', heartbeat: 2});
    proxy.readFleet([FLEET[0], FLEET[1], moved, added], 14);
    expect(getChosen(proxy)).to.deep.equal(['i-1']);
  });

  it('are no last resort where all other upstreams are down', () => {
    // The rules that ignore failures of most of a service must not reach back to
    // upstreams that are left out by decision.
    const proxy = createProxy();
    poll(proxy, evacuate('south', 12));
    for (let n = 0; n < 6; n += 1) {
      proxy.call(`c-${n}`);
      for (let m = 0; m < 3; m += 1) {
        proxy.refuse(`c-${n}.1`, 'upstream_down');
        proxy.refuse(`c-${n}.2`, 'upstream_down');
      }
    }
    const sent = proxy.drainEffects().filter(l => l.startsWith('sendAttempt'));
    expect(sent.length).to.be.above(2);
    expect(sent.filter(line => line.endsWith('to i-2'))).to.deep.equal([]);
  });

  it('get no hedge', () => {
    const runSlowCall = (proxy: MeshFixture): number => {
      proxy.call('quick');
      proxy.answer('quick.1');
      proxy.drainEffects();
      proxy.call('slow');
      proxy.advance(900);
      const lines = proxy.drainEffects();
      return lines.filter(line => line.startsWith('sendAttempt')).length;
    };
    const proxy = createProxy();
    poll(proxy, evacuate('south', 12), evacuate('east', 13));
    expect(runSlowCall(createProxy()), 'no zone evacuated').to.equal(2);
    expect(runSlowCall(proxy)).to.equal(1);
  });

  it('let calls be refused at once where no other zone has an upstream', () => {
    const proxy = createProxy(FLEET.slice(0, 2));
    poll(proxy, evacuate('south', 12), evacuate('north', 13));
    proxy.drainEffects();
    proxy.call('c');
    expect(proxy.drainEffects()).to.deep.equal([
      'answerCall c no_upstream not-run',
    ]);
  });

  it('of which the entry has not heard cost one owner, as if it were down', () => {
    const proxy = createProxy(FLEET.slice(1));
    proxy.call('c');
    const [first] = proxy.drainEffects();
    const target = first.slice(-3);
    proxy.refuse('c.1', 'zone_evacuated');
    const [second] = proxy.drainEffects();
    expect(second).to.match(/^sendAttempt c\.2/);
    expect(second.slice(-3)).to.not.equal(target);
    const load = proxy.state.loads.get(target);
    expect(load?.downUntil).to.be.above(proxy.at);
  });
});

describe('an owner in an evacuated zone', () => {
  it('refuses new and waiting attempts, and completes those that run', () => {
    const owner = createProxy();
    for (const attemptId of ['runs-1', 'runs-2', 'waits']) {
      const attempt = createAttempt({attemptId});
      owner.post({kind: 'attemptArrived', attempt});
    }
    postNews(owner, [evacuate('north', 12)]);
    owner.post({
      kind: 'upstreamAnswered',
      attemptId: 'runs-1',
      answer: {
        kind: 'answer',
        status: 200,
        headers: {},
        body: new Uint8Array(0),
      },
      facts: {notRun: false, otherInstance: false},
    });
    owner.advance(25);
    const late = createAttempt({attemptId: 'late'});
    owner.post({kind: 'attemptArrived', attempt: late});
    const lines = owner
      .drainEffects()
      .filter(line => /^(dispatch|finish|abort)/.test(line));
    expect(lines).to.deep.equal([
      'dispatch runs-1',
      'dispatch runs-2',
      'finishAttempt runs-1 200 reached=true',
      'finishAttempt waits zone_evacuated reached=false',
      'finishAttempt late zone_evacuated reached=false',
    ]);
  });

  it('refuses by its own zone while its upstream is not registered', () => {
    const owner = createProxy(FLEET.slice(1));
    postNews(owner, [evacuate('north', 12)]);
    const attempt = createAttempt({attemptId: 'a'});
    owner.post({kind: 'attemptArrived', attempt});
    expect(owner.drainEffects()).to.include(
      'finishAttempt a zone_evacuated reached=false',
    );
  });

  it('accepts attempts again once the zone is taken back', () => {
    const owner = createProxy();
    postNews(owner, [evacuate('north', 12)]);
    postNews(owner, [takeBack('north', 13)]);
    const attempt = createAttempt({attemptId: 'a'});
    owner.post({kind: 'attemptArrived', attempt});
    expect(owner.drainEffects()).to.include('dispatch a');
  });
});

describe('registers of evacuated zones', () => {
  it('ignore a late older message', () => {
    const proxy = createProxy();
    postNews(proxy, [takeBack('south', 14)]);
    postNews(proxy, [evacuate('south', 12)]);
    expect(getZones(proxy)).to.deep.equal([]);
    postNews(proxy, [evacuate('south', 15)]);
    postNews(proxy, [takeBack('south', 14)]);
    expect(getZones(proxy)).to.deep.equal(['south']);
  });

  it('ignore a message older than a complete read that did not list the zone', () => {
    const proxy = createProxy();
    read(proxy, {complete: true, revision: 20, changes: []});
    postNews(proxy, [evacuate('south', 12)]);
    expect(getZones(proxy)).to.deep.equal([]);
  });

  it('are the same whatever the order of the messages', () => {
    const reports = [
      evacuate('south', 12),
      takeBack('south', 14),
      evacuate('east', 13),
      evacuate('south', createPosition(1, 2)),
    ];
    const orders = [
      reports,
      [...reports].reverse(),
      [1, 3, 0, 2].map(n => reports[n]),
    ];
    for (const order of orders) {
      const proxy = createProxy();
      order.forEach(report => postNews(proxy, [report]));
      expect(getZones(proxy)).to.deep.equal(['east', 'south']);
      const list = [...proxy.state.fleet.evacuations.byZone.values()];
      expect(list).to.have.deep.members([reports[2], reports[3]]);
    }
  });

  it('end with a complete read that does not list the zone, not with a poll', () => {
    const proxy = createProxy();
    poll(proxy, evacuate('south', 12));
    read(proxy, {complete: false, revision: 15, changes: []}, 'nextConfig');
    expect(getZones(proxy)).to.deep.equal(['south']);
    read(proxy, {complete: true, revision: 11, changes: []});
    expect(getZones(proxy), 'read before the change').to.deep.equal(['south']);
    read(proxy, {complete: true, revision: 16, changes: []});
    expect(getZones(proxy)).to.deep.equal([]);
  });

  it('of an earlier era yield to a restored source', () => {
    const proxy = createProxy();
    poll(proxy, evacuate('south', 90), takeBack('east', 91));
    const changes = [evacuate('east', createPosition(1, 30))];
    const revision = createPosition(1, 40);
    read(proxy, {complete: true, revision, changes});
    expect(getZones(proxy)).to.deep.equal(['east']);
    postNews(proxy, [evacuate('south', 90)]);
    expect(getZones(proxy)).to.deep.equal(['east']);
  });

  it('never make a message that peers reject', () => {
    // One invalid entry would cost peers all else that the message carries.
    const proxy = createProxy();
    poll(proxy, evacuate('', 12), evacuate('x'.repeat(257), 13));
    for (let n = 0; n < 70; n += 1) {
      poll(proxy, evacuate(`zone-${n}`, 20 + n));
    }
    expect(proxy.state.fleet.evacuations.list.length).to.equal(64);
    expect(getZones(proxy)).to.not.include('');
  });

  it('are logged and counted once for each change, with their origin', () => {
    const proxy = createProxy();
    const first = poll(proxy, evacuate('south', 12));
    const again = postNews(proxy, [evacuate('south', 12)]);
    const ended = postNews(proxy, [takeBack('south', 14)]);
    const unknown = postNews(proxy, [takeBack('west', 14)]);
    expect([first, again, ended, unknown].map(getLogs)).to.deep.equal([
      [
        'Zone evacuated. {"zone":"south","revision":12,"from":"source","ageMs":0,"upstreams":1}',
      ],
      [],
      [
        `Zone taken back. {"zone":"south","revision":14,"from":"${PEER}","ageMs":0,"upstreams":1}`,
      ],
      [],
    ]);
    const counts = [...first, ...again, ...ended, ...unknown].flatMap(effect =>
      effect.kind === 'count' && effect.counter === 'zone_changed'
        ? effect.reason
        : [],
    );
    expect(counts).to.deep.equal(['evacuated', 'taken_back']);
  });
});

describe('messages about evacuated zones', () => {
  it('are sent at once on both ways after a poll that returned nothing else', () => {
    const instances = [2, 3, 4, 5, 6, 7, 8, 9].map(host =>
      createInstance(host, {zone: host < 8 ? 'north' : 'south'}),
    );
    const proxy = createProxy([FLEET[0], ...instances]);
    const list = [evacuate('south', 12)];
    const news = getMessages(poll(proxy, ...list), 'news');
    const versions = getMessages(
      createProxy([FLEET[0], ...instances]).readConfig(createConfig(2), 12),
      'news',
    );
    expect(news).to.have.length(versions.length);
    news.forEach(message =>
      expect(message).to.deep.include({evacuations: list}),
    );
  });

  it('go to a neighbour a moment after the change, beside the update', () => {
    const proxy = createProxy();
    proxy.advance(1_000);
    postNews(proxy, [evacuate('south', 12)]);
    const news = getMessages(proxy.advance(300), 'news');
    const announced = news.filter(
      message => message.kind === 'news' && message.fleet.revision === 0,
    );
    expect(announced.length).to.be.above(0);
    expect(announced).to.deep.equal(
      announced.map(message => ({
        ...message,
        evacuations: [evacuate('south', 12)],
      })),
    );
  });

  it('answer a pull of a peer that lacks nothing else', () => {
    const proxy = createProxy();
    const pull = {
      kind: 'pull',
      version: 1,
      revision: 10,
      ageMs: 0,
      configAgeMs: 0,
    } as const;
    const ask = () =>
      getMessages(
        proxy.post({kind: 'messageReceived', from: PEER, message: pull}),
        'state',
      );
    expect(ask()).to.deep.equal([]);
    poll(proxy, evacuate('south', 12));
    expect(ask()).to.have.length(1);
    expect(ask()[0]).to.deep.include({evacuations: [evacuate('south', 12)]});
  });

  it('are adopted from a state message and from the report of a poll', () => {
    const common = {
      version: 1,
      configRevision: 10,
      configAgeMs: 0,
      versionAgeMs: 0,
    };
    const polled = {kind: 'polled', ...common} as const;
    const messages: Array<Extract<PeerMessage, {kind: 'state' | 'polled'}>> = [
      {
        kind: 'state',
        ageMs: 0,
        revision: 10,
        deltas: [],
        hasConfig: false,
        ...common,
      },
      {...polled, failed: false},
      {...polled, failed: true},
    ];
    for (const message of messages) {
      const proxy = createProxy();
      const evacuations = [evacuate('south', 12)];
      proxy.post({
        kind: 'messageReceived',
        from: PEER,
        message: {...message, evacuations},
      });
      expect(getZones(proxy), message.kind).to.deep.equal(['south']);
    }
  });

  it('have no further field where no zone was ever evacuated', () => {
    const proxy = createProxy();
    const effects = [
      ...read(proxy, {complete: true, revision: 12, changes: []}),
      ...proxy.advance(5_000),
    ];
    const sent = effects.filter(effect => effect.kind === 'sendMessage');
    expect(sent.length).to.be.above(0);
    sent.forEach(({message}) =>
      expect(message).not.to.have.any.keys('evacuations'),
    );
  });

  it('go on to a proxy whose upstream is not registered', () => {
    // No other proxy may know that it runs.
    const proxy = createProxy();
    const address = '10.0.0.9:7000';
    const message = createHello({address});
    proxy.post({kind: 'messageReceived', from: address, message});
    const list = [evacuate('south', 12)];
    const send = () =>
      postNews(proxy, list).filter(
        effect => effect.kind === 'sendMessage' && effect.to === address,
      );
    expect(send()).to.have.length(1);
    expect(send(), 'known').to.have.length(0);
  });

  it('go to the proxy that appointed the poller', () => {
    const proxy = createProxy();
    appoint(proxy);
    const list = [evacuate('south', 12)];
    const [polled, ...others] = getMessages(poll(proxy, ...list), 'polled');
    expect(others).to.deep.equal([]);
    expect(polled).to.deep.include({evacuations: list});
  });

  it('do not delay the next poll, unless they told nothing new', () => {
    // A pause after each change would delay the second of two quick evacuations.
    const proxy = createProxy();
    appoint(proxy);
    const countPolls = (effects: readonly MeshEffect[]) =>
      effects.filter(
        effect =>
          effect.kind === 'readSource' && effect.request.kind === 'nextConfig',
      ).length;
    expect(countPolls(poll(proxy, evacuate('south', 12)))).to.equal(1);
    expect(countPolls(poll(proxy, evacuate('south', 12)))).to.equal(0);
    expect(countPolls(proxy.advance(300))).to.equal(1);
  });

  it('do not make the next polls return the same change at once', () => {
    const fleet = new SimulatedFleet(new SeededRandom(1), 6);
    fleet.clock.runUntil(7_000);
    const count = () => fleet.sourceCalls.get('nextConfig') ?? 0;
    const before = count();
    fleet.clock.runUntil(10_000);
    const regular = count() - before;
    fleet.evacuate('south', true);
    fleet.clock.runUntil(13_000);
    // Two pollers each ask once more than they do while nothing changes.
    expect(count() - before - regular).to.be.at.most(regular + 3);
  });
});
