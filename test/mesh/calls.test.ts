/** The entry role: where calls are sent, which are retried, and their results. */
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createHello,
  createInstance,
} from './mesh_fixture.js';

const NEAR = [2, 3, 4].map(host => createInstance(host));

describe('mesh calls', () => {
  it('refuses a call while no configuration is known', () => {
    const proxy = new MeshFixture();
    proxy.call('c-1');
    expect(proxy.drainEffects()).to.deep.equal([
      'answerCall c-1 config_unknown not-run',
    ]);
  });

  it('answers with the upstream of another VM', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource([createInstance(2)]);
    proxy.drainEffects();
    proxy.call('c-1');
    proxy.answer('c-1.1');
    expect(proxy.drainEffects()).to.deep.equal([
      'sendAttempt c-1.1 to i-2',
      'answerCall c-1 200',
    ]);
  });

  for (const reason of ['queue_full', 'memory_full'] as const) {
    it(`asks another owner after ${reason}, without spending the budget`, () => {
      const proxy = new MeshFixture({retryShare: 0, retryExtra: 0});
      proxy.loadFromSource(NEAR);
      proxy.drainEffects();
      proxy.call('c-1', '/charge/1');
      proxy.refuse('c-1.1', reason);
      proxy.answer('c-1.2');
      const lines = proxy.drainEffects();
      expect(lines[2]).to.equal('answerCall c-1 200');
      expect(new Set(lines.slice(0, 2)).size).to.equal(2);
    });
  }

  it('never retries a charge that may have run', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(NEAR);
    proxy.call('c-1', '/charge/1');
    proxy.drainEffects();
    proxy.refuse('c-1.1', 'attempt_lost', true);
    expect(proxy.drainEffects()).to.deep.equal([
      'answerCall c-1 attempt_lost unknown',
    ]);
  });

  it('does not report `not-run` for a charge that was lost after it was sent', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(NEAR);
    proxy.call('c-1', '/charge/1');
    proxy.drainEffects();
    proxy.post({kind: 'attemptLost', attemptId: 'c-1.1', sent: true});
    expect(proxy.drainEffects()).to.deep.equal([
      'answerCall c-1 attempt_lost unknown',
    ]);
  });

  it('retries a lost read once, and only within the budget', () => {
    const run = (retryExtra: number) => {
      const proxy = new MeshFixture({retryShare: 0, retryExtra});
      proxy.loadFromSource(NEAR);
      proxy.call('c-1');
      proxy.drainEffects();
      proxy.refuse('c-1.1', 'attempt_lost', true);
      return proxy.drainEffects().map(line => line.split(' ')[0]);
    };
    expect(run(60)).to.deep.equal(['sendAttempt']);
    expect(run(0)).to.deep.equal(['answerCall']);
  });

  it('spends no retry token where no other upstream is left', () => {
    const entry = new MeshFixture();
    entry.loadFromSource([createInstance(2)]);
    entry.call('c-1');
    const getTokens = () => entry.state.retries.get('desk')?.tokens;
    const before = getTokens();
    entry.answer('c-1.1', 500);
    expect(entry.drainEffects()).to.include('answerCall c-1 500');
    expect(getTokens()).to.equal(before);
  });

  it('returns the failed answer of the upstream where no retry is left', () => {
    const proxy = new MeshFixture({retryShare: 0, retryExtra: 0});
    proxy.loadFromSource(NEAR);
    proxy.call('c-1');
    proxy.drainEffects();
    proxy.answer('c-1.1', 500);
    expect(proxy.drainEffects()).to.deep.equal(['answerCall c-1 500']);
  });

  it('ends a call at its route timeout', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource([createInstance(2)]);
    proxy.call('c-1', '/charge/1', 60_000);
    proxy.drainEffects();
    proxy.advance(1_150);
    expect(
      proxy.drainEffects().filter(line => line.includes('c-1')),
    ).to.deep.equal([]);
    proxy.advance(50);
    expect(
      proxy.drainEffects().filter(line => line.includes('c-1')),
    ).to.deep.equal([
      'cancelAttempt c-1.1',
      'answerCall c-1 attempt_timeout unknown',
    ]);
  });

  it('cancels the attempts of a caller that disconnects', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(NEAR);
    proxy.call('c-1');
    proxy.drainEffects();
    proxy.post({kind: 'callerGone', callId: 'c-1'});
    expect(proxy.drainEffects()).to.deep.equal(['cancelAttempt c-1.1']);
    proxy.answer('c-1.1');
    expect(proxy.drainEffects()).to.deep.equal([]);
  });

  it('hedges a slow read and uses the first answer', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource(NEAR);
    for (let n = 0; n < 5; n += 1) {
      proxy.call(`w-${n}`);
      proxy.at += 100;
      proxy.answer(`w-${n}.1`);
    }
    proxy.call('c-1');
    proxy.drainEffects();
    proxy.advance(400);
    proxy.answer('c-1.2');
    const lines = proxy.drainEffects().filter(line => line.includes('c-1'));
    expect(lines.map(line => line.split(' ').slice(0, 2).join(' '))).to.eql([
      'sendAttempt c-1.2',
      'cancelAttempt c-1.1',
      'answerCall c-1',
    ]);
  });

  it('lets a nested call wait until its deadline', () => {
    const entry = new MeshFixture();
    entry.loadFromSource([createInstance(1), createInstance(2)]);
    const attempt = createAttempt({requestId: 'r-run'});
    entry.post({kind: 'attemptArrived', attempt});
    const getAttemptFor = (parentId: string) =>
      entry
        .call(`of-${parentId}`, '/read/1', 900, parentId)
        .flatMap(effect =>
          effect.kind === 'sendAttempt' ? effect.attempt : [],
        )[0];
    expect(getAttemptFor('r-run')).to.include({nested: true, aimMs: 900});
    const other = getAttemptFor('r-unknown');
    expect(other.nested).to.equal(undefined);
    expect(other.aimMs).to.equal(400);
  });

  it('excludes an upstream whose proxy is stopping', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource([createInstance(2), createInstance(3)]);
    const from = '10.0.0.2:7000';
    proxy.post({
      kind: 'messageReceived',
      from,
      message: createHello(),
    });
    proxy.post({
      kind: 'messageReceived',
      from,
      message: {kind: 'leaving', address: from},
    });
    proxy.drainEffects();
    for (let n = 0; n < 10; n += 1) {
      proxy.call(`c-${n}`);
    }
    expect(
      proxy.drainEffects().filter(line => !line.endsWith('i-3')),
    ).to.deep.equal([]);
  });

  it('explores an upstream without a recent load report', () => {
    const proxy = new MeshFixture();
    proxy.loadFromSource([
      createInstance(2),
      createInstance(3, {coldMs: 3_000}),
    ]);
    proxy.call('c-1');
    proxy.answer('c-1.1');
    proxy.drainEffects();
    const requestId = 'r';
    const call = {
      requestId,
      host: 'shop.example',
      path: '/read/1',
      bodyBytes: 0,
      fingerprint: 'f',
    };
    const exploringEntropy = 1;
    proxy.at += 4_000;
    proxy.post({kind: 'callArrived', callId: 'c-2', call}, exploringEntropy);
    expect(proxy.drainEffects()).to.deep.equal(['sendAttempt c-2.1 to i-3']);
  });
});
