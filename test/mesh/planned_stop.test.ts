/** Planned stops: nothing that was taken is cut, nothing is taken too late. */
import {createRefusal} from '../../src/core/refusals.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createAttempt,
  createHello,
  createInstance,
  createRemoteEntry,
  createUpstreamAnswer,
} from './mesh_fixture.js';

const PEER = '10.0.0.2:7000';

function createStopping(): MeshFixture {
  const proxy = new MeshFixture();
  proxy.loadFromSource([createInstance(1), createInstance(2)]);
  const message = createHello({address: PEER});
  proxy.post({kind: 'messageReceived', from: PEER, message});
  proxy.post({kind: 'stopRequested'});
  proxy.drainEffects();
  return proxy;
}

/** Advances until the stop is decided. */
function endStop(proxy: MeshFixture): string[] {
  for (let n = 0; n < 400 && !proxy.state.stopped; n += 1) {
    proxy.advance(25);
  }
  return proxy.drainEffects().filter(isRelevant);
}

function isRelevant(effect: string): boolean {
  return /^(dispatch|finishAttempt|answerCall|stopped|sendMessage leaving)/.test(
    effect,
  );
}

function deliver(proxy: MeshFixture, attemptId: string): string[] {
  const idempotent = false;
  const attempt = createAttempt({attemptId, idempotent});
  proxy.post({kind: 'attemptArrived', attempt});
  return proxy.drainEffects().filter(isRelevant);
}

describe('planned stop of a proxy', () => {
  // Guards against LOST: the process ends while callers still read their answers.
  it('lasts while answers are written, but not beyond its deadline', () => {
    const durations = [0, 4_000, 60_000].map(writtenAfterMs => {
      const proxy = createStopping();
      const {at} = proxy;
      proxy.unsentBytes = 1;
      while (!proxy.state.stopped) {
        proxy.advance(25);
        proxy.unsentBytes = proxy.at - at >= writtenAfterMs ? 0 : 1;
      }
      return proxy.at - at;
    });
    expect(durations).toMatchSnapshot();
  });

  it('dispatches nothing after it has decided to end, and tells its peers', () => {
    const proxy = createStopping();
    expect(endStop(proxy)).to.deep.equal([
      `sendMessage leaving to ${PEER}`,
      `sendMessage leaving to ${PEER}`,
      'stopped',
    ]);
    expect(deliver(proxy, 'late')).to.deep.equal([
      'finishAttempt late proxy_stopping reached=false',
    ]);
    proxy.call('late');
    expect(proxy.drainEffects()).to.deep.equal([
      'answerCall late proxy_stopping not-run',
    ]);
  });

  it('does not end while a run of its upstream is under way', () => {
    const proxy = createStopping();
    proxy.advance(2_500);
    proxy.drainEffects();
    expect(deliver(proxy, 'run')).to.deep.equal(['dispatch run']);
    proxy.advance(1_000);
    expect(proxy.state.stopped).to.equal(false);
    proxy.post(createUpstreamAnswer('run'));
    // No update arrives here, so the proxy asks its peer for what it missed.
    const pull = `sendMessage pull to ${PEER}`;
    expect(proxy.drainEffects().filter(e => e !== pull)).to.deep.equal([
      'finishAttempt run 200 reached=true',
    ]);
    expect(endStop(proxy)).to.include('stopped');
  });

  it('does not end while an answer waits for the bandwidth of its VM', () => {
    const proxy = createStopping();
    const group = {priority: 2, nested: false, missesAim: true, bytes: 90_000};
    const tick = (waiting: readonly (typeof group)[]) => {
      proxy.at += 25;
      const linkBytes = {received: 0, sent: 0, waiting};
      proxy.post({kind: 'tick', linkBytes});
    };
    for (let ms = 0; ms < 4_000; ms += 25) {
      tick([group]);
    }
    expect(proxy.state.stopped).to.equal(false);
    tick([]);
    expect(proxy.state.stopped).to.equal(true);
  });

  it('refuses what still waits when the grace period is nearly over', () => {
    const proxy = createStopping();
    // The runs never end; the last two attempts wait for a slot.
    for (const attemptId of ['run-1', 'run-2', 'waits-1', 'waits-2']) {
      const timeoutMs = 60_000;
      const attempt = createAttempt({attemptId, timeoutMs, aimMs: timeoutMs});
      proxy.post({kind: 'attemptArrived', attempt});
    }
    proxy.state.estimates.byRoute.set('read', 100);
    proxy.drainEffects();
    const refused = endStop(proxy).filter(e => e.includes('proxy_stopping'));
    expect(refused).to.deep.equal([
      'finishAttempt waits-1 proxy_stopping reached=false',
      'finishAttempt waits-2 proxy_stopping reached=false',
    ]);
  });

  describe('with all slots taken', () => {
    let proxy: MeshFixture;

    beforeEach(() => {
      proxy = createStopping();
      const accept = (attemptId: string) => {
        const timeoutMs = 60_000;
        const attempt = createAttempt({attemptId, timeoutMs, aimMs: timeoutMs});
        proxy.post({kind: 'attemptArrived', attempt});
      };
      proxy.advance(1_000);
      ['run-1', 'run-2', 'waits'].forEach(accept);
      proxy.drainEffects();
    });

    function endRun(): void {
      const failure = 'timeout';
      proxy.post({kind: 'upstreamFailed', attemptId: 'run-1', failure});
      proxy.advance(25);
    }

    it('starts no waiting attempt whose run the end would cut', () => {
      // Runs turn out to take eight times as long as expected.
      proxy.state.estimates.byRoute.set('read', 8);
      proxy.advance(500);
      endRun();
      expect(proxy.drainEffects().filter(isRelevant)).to.deep.equal([
        'finishAttempt waits proxy_stopping reached=false',
        'finishAttempt run-1 attempt_timeout reached=true',
      ]);
    });

    it('starts a waiting attempt early that almost certainly finishes', () => {
      endRun();
      expect(proxy.drainEffects().filter(isRelevant)).to.deep.equal([
        'finishAttempt run-1 attempt_timeout reached=true',
        'dispatch waits',
      ]);
    });

    it('starts no waiting attempt late whose deadline is after the end', () => {
      proxy.advance(900);
      endRun();
      expect(proxy.drainEffects().filter(isRelevant)).to.deep.equal([
        'finishAttempt waits proxy_stopping reached=false',
        'sendMessage leaving to 10.0.0.2:7000',
        'finishAttempt run-1 attempt_timeout reached=true',
      ]);
    });
  });

  // Guards against LOST: what is taken on the chance that it ends in time is cut.
  for (const [name, ms, timeoutMs, isTaken] of [
    ['a deadline before the end', 4_400, 1_200, true],
    ['a deadline after the end', 4_500, 1_200, false],
    ['a long deadline and a short run, early', 1_700, 20_000, true],
    ['a long deadline and a short run, late', 1_900, 20_000, false],
  ] as const) {
    it(`${isTaken ? 'takes' : 'refuses'} an attempt with ${name}`, () => {
      const proxy = createStopping();
      // Keeps it from ending its stop because it is idle.
      const busy = createAttempt({attemptId: 'busy', timeoutMs: 60_000});
      proxy.post({kind: 'attemptArrived', attempt: busy});
      proxy.advance(ms);
      proxy.drainEffects();
      const attempt = createAttempt({attemptId: 'a', timeoutMs});
      proxy.post({kind: 'attemptArrived', attempt});
      expect(proxy.drainEffects().filter(isRelevant)).to.deep.equal([
        isTaken ? 'dispatch a' : 'finishAttempt a proxy_stopping reached=false',
      ]);
    });
  }

  it('refuses a charge whose deadline is after the end, however early', () => {
    const proxy = createStopping();
    const attempt = createAttempt({
      attemptId: 'charge',
      timeoutMs: 20_000,
      idempotent: false,
    });
    proxy.post({kind: 'attemptArrived', attempt});
    expect(proxy.drainEffects().filter(isRelevant)).to.deep.equal([
      'finishAttempt charge proxy_stopping reached=false',
    ]);
  });

  it('does not end while its own callers wait for other owners', () => {
    const proxy = createStopping();
    proxy.advance(2_500);
    proxy.call('c');
    proxy.advance(800);
    expect(proxy.state.stopped).to.equal(false);
    proxy.answer('c.1');
    expect(endStop(proxy)).to.include('stopped');
  });

  it('is never asked again by a peer that knows its decision', () => {
    const entry = createRemoteEntry();
    const message = {kind: 'leaving', address: PEER, final: true} as const;
    entry.post({kind: 'messageReceived', from: PEER, message});
    entry.drainEffects();
    entry.call('c');
    const result = createRefusal('queue_full', 100);
    const outcome = {result, reachedUpstream: false};
    entry.post({kind: 'attemptEnded', attemptId: 'c.1', outcome});
    expect(entry.drainEffects()).to.deep.equal([
      'sendAttempt c.1 to i-3',
      'answerCall c queue_full not-run',
    ]);
    // Its next process may be asked.
    const hello = createHello({address: PEER, incarnation: 2});
    entry.post({kind: 'messageReceived', from: PEER, message: hello});
    entry.call('d');
    entry.call('e');
    expect(entry.drainEffects().join()).to.contain('to i-2');
  });
});
