/** Which ends of a run count as a crash of the upstream, and whom that makes suspect. */
import {
  DispatchFailure,
  MeshEffect,
  MeshEventBody,
} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createHello,
  createInstance,
  createUpstreamAnswer,
} from './mesh_fixture.js';

/** Time after which a broken run can have nothing to do with a crash any more. */
const LONG_MS = 1_000;

function createOwner(startedAt = 1): MeshFixture {
  const owner = new MeshFixture({startedAt});
  owner.loadFromSource([createInstance(1, {slots: 8}), createInstance(2)]);
  owner.drainEffects();
  return owner;
}

/** Lets the upstream run a request, whose fingerprint is its identifier. */
function run(owner: MeshFixture, ...ids: readonly string[]): void {
  for (const attemptId of ids) {
    const attempt = createAttempt({attemptId, fingerprint: attemptId});
    owner.post({kind: 'attemptArrived', attempt});
  }
}

function fail(
  owner: MeshFixture,
  attemptId: string,
  failure: DispatchFailure,
): void {
  owner.post({kind: 'upstreamFailed', attemptId, failure});
}

/** Creates the event of an answer that ends with its connection. */
function createUnframed(attemptId: string): MeshEventBody {
  const event = createUpstreamAnswer(attemptId);
  return event.kind === 'upstreamAnswered'
    ? {...event, answer: {...event.answer, unframed: true}}
    : event;
}

function probe(owner: MeshFixture, accepted: boolean): void {
  owner.post({kind: 'connectProbed', accepted});
}

function getSuspects(owner: MeshFixture): string[] {
  const {byFingerprint} = owner.state.suspects;
  return [...byFingerprint.values()]
    .map(
      ({fingerprint, soleAt}) =>
        fingerprint + (soleAt.length > 0 ? ' alone' : ''),
    )
    .sort();
}

/** Gets how attempts ended since the last call. */
function drainEnds(owner: MeshFixture): string[] {
  return owner.drainEffects().filter(line => line.startsWith('finishAttempt'));
}

describe('a run that its upstream breaks', () => {
  const breaks: Readonly<Record<string, (owner: MeshFixture) => void>> = {
    'before its answer': owner => fail(owner, 'poison', 'reset'),
    'after the head of its answer': owner => fail(owner, 'poison', 'truncated'),
    'with bytes that are no answer': owner =>
      fail(owner, 'poison', 'foreign-answer'),
    'in an answer without a length': owner =>
      void owner.post(createUnframed('poison')),
  };
  // Guards against BUDGET: only a reset before the first byte counted as a crash.
  for (const [where, breakRun] of Object.entries(breaks)) {
    it(`${where} makes it suspect if the upstream has crashed`, () => {
      const owner = createOwner();
      run(owner, 'poison');
      owner.drainEffects();
      breakRun(owner);
      expect(owner.drainEffects()).to.deep.equal(['probeConnect']);
      probe(owner, false);
      expect(getSuspects(owner)).to.deep.equal(['poison alone']);
      expect(drainEnds(owner)).toMatchSnapshot();
    });

    it(`${where} makes it suspect if the upstream crashes a moment later`, () => {
      const owner = createOwner();
      run(owner, 'poison');
      breakRun(owner);
      probe(owner, true);
      expect(drainEnds(owner)).toMatchSnapshot();
      owner.advance(100);
      expect(owner.drainEffects()).to.include('probeConnect');
      probe(owner, false);
      expect(getSuspects(owner)).to.deep.equal(['poison alone']);
    });

    it(`${where} makes nothing suspect if the upstream lives on`, () => {
      const owner = createOwner();
      run(owner, 'poison');
      breakRun(owner);
      probe(owner, true);
      owner.advance(100);
      probe(owner, true);
      owner.drainEffects();
      run(owner, 'next');
      fail(owner, 'next', 'connect');
      expect(getSuspects(owner)).to.deep.equal([]);
    });
  }

  it('is not probed again once a later run was answered', () => {
    const owner = createOwner();
    run(owner, 'broken');
    fail(owner, 'broken', 'truncated');
    probe(owner, true);
    owner.advance(25);
    run(owner, 'later');
    owner.post(createUpstreamAnswer('later'));
    owner.drainEffects();
    owner.advance(500);
    expect(owner.drainEffects()).not.to.include('probeConnect');
  });
});

describe('a crash of an upstream', () => {
  it('makes all suspect that ran, also what its owner had just given up', () => {
    const owner = createOwner();
    run(owner, 'late', 'first', 'second');
    fail(owner, 'late', 'timeout');
    fail(owner, 'first', 'truncated');
    fail(owner, 'second', 'reset');
    probe(owner, false);
    expect(getSuspects(owner)).to.deep.equal(['first', 'late', 'second']);
  });

  it('is found by a refused connection, too', () => {
    const owner = createOwner();
    run(owner, 'poison');
    fail(owner, 'poison', 'truncated');
    probe(owner, true);
    run(owner, 'next');
    fail(owner, 'next', 'connect');
    expect(getSuspects(owner)).to.deep.equal(['poison alone']);
  });

  it('makes nothing suspect if the upstream has broken no run', () => {
    const owner = createOwner();
    run(owner, 'answered', 'late');
    owner.post(createUpstreamAnswer('answered'));
    fail(owner, 'late', 'timeout');
    run(owner, 'next', 'other');
    fail(owner, 'next', 'connect');
    fail(owner, 'other', 'connect');
    expect(getSuspects(owner)).to.deep.equal([]);
  });

  it('makes nothing suspect that was broken long before', () => {
    const owner = createOwner();
    run(owner, 'broken');
    fail(owner, 'broken', 'truncated');
    probe(owner, true);
    owner.advance(LONG_MS);
    run(owner, 'poison');
    fail(owner, 'poison', 'reset');
    probe(owner, false);
    expect(getSuspects(owner)).to.deep.equal(['poison alone']);
  });

  // Guards against DENIED: a popular request runs at two upstreams that crash by
  // themselves, and is refused everywhere although it has completed meanwhile.
  it('is forgotten everywhere once the request that it cut completes', () => {
    const [first, second, third] = [1, 2, 3].map(startedAt =>
      createOwner(startedAt),
    );
    const peers = new Map([
      [first, [second, third]],
      [second, [first, third]],
      [third, [first, second]],
    ]);
    for (const owner of peers.keys()) {
      const from = '10.0.0.2:7000';
      owner.post({kind: 'messageReceived', from, message: createHello()});
    }
    const spread = (owner: MeshFixture, effects: readonly MeshEffect[]) => {
      for (const effect of effects) {
        if (effect.kind === 'sendMessage') {
          const {message} = effect;
          const from = '10.0.0.2:7000';
          peers
            .get(owner)
            ?.forEach(peer =>
              peer.post({kind: 'messageReceived', from, message}),
            );
        }
      }
    };
    const crash = (owner: MeshFixture) => {
      run(owner, 'popular');
      fail(owner, 'popular', 'reset');
      const accepted = false;
      spread(owner, owner.post({kind: 'connectProbed', accepted}));
    };
    crash(first);
    run(third, 'popular');
    spread(third, third.post(createUpstreamAnswer('popular')));
    crash(second);
    third.drainEffects();
    run(third, 'popular');
    expect(third.drainEffects()).to.deep.equal(['dispatch popular']);
    run(first, 'popular');
    expect(first.drainEffects().at(-1)).to.equal(
      'finishAttempt popular upstream_down reached=false',
    );
  });
});
