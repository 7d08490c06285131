/** Proxies that don't coordinate keep within the fleet's retry budget. */
import {MeshSettings} from '../../src/core/mesh/mesh_settings.js';
import {
  RetryTokens,
  canRetry,
  creditRetryTokens,
  spendRetryToken,
} from '../../src/core/mesh/retry_tokens.js';
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createAttempt, createInstance} from './mesh_fixture.js';

const SETTINGS = {
  retryShare: 0.2,
  retryExtra: 60,
  retryWindowMs: 10_000,
} as MeshSettings;

const WINDOW_MS = 10_000;

function trySpend(retries: RetryTokens, proxies: number, at: number): boolean {
  const may = canRetry(retries, SETTINGS, proxies, 'desk', at);
  if (may) {
    spendRetryToken(retries, SETTINGS, proxies, 'desk', at);
  }
  return may;
}

/**
 * Gets the times of all retries of a fleet in which every call needs one.
 * @param quietMs - Time before that in which none does.
 */
function spendAll(
  proxies: number,
  callsPerSecond: number,
  seconds: number,
  quietMs = 0,
) {
  const spentAt: number[] = [];
  for (let proxy = 0; proxy < proxies; proxy += 1) {
    const retries: RetryTokens = new Map();
    const calls = (callsPerSecond / proxies) * seconds;
    for (let n = 0; n < calls; n += 1) {
      const at = (n / calls) * seconds * 1_000;
      creditRetryTokens(retries, SETTINGS, proxies, 'desk', at);
      if (at >= quietMs && trySpend(retries, proxies, at)) {
        spentAt.push(at);
      }
    }
  }
  return spentAt.sort((a, b) => a - b);
}

/** Counts the retries in the sliding window that contains the most. */
function countMostInWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((time, index) => {
    while (time - times[first] > WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Calls that each get one retry, which the budget of a quiet window allows. */
function countRetries(proxy: MeshFixture, calls: number): number {
  let retries = 0;
  for (let n = 0; n < calls; n += 1) {
    proxy.call(`c-${n}`);
    proxy.answer(`c-${n}.1`, 500);
    const effects = proxy.drainEffects();
    retries += effects.filter(effect => effect.includes(`c-${n}.2`)).length;
  }
  return retries;
}

/** A proxy whose upstream runs a request that has made nested calls. */
function createWithNestedCalls(repeated: boolean, calls: number): MeshFixture {
  const proxy = new MeshFixture({retryExtra: 100});
  proxy.loadFromSource([createInstance(1), createInstance(2)]);
  const attempt = createAttempt({requestId: 'parent', repeated});
  proxy.post({kind: 'attemptArrived', attempt});
  for (let n = 0; n < calls; n += 1) {
    proxy.call(`n-${n}`, '/read/1', 2_500, 'parent');
  }
  proxy.drainEffects();
  return proxy;
}

describe('retry budget and nested calls', () => {
  it('is used by the calls of a run that repeats another', () => {
    const before = countRetries(createWithNestedCalls(false, 10), 60);
    const after = countRetries(createWithNestedCalls(true, 10), 60);
    expect(before - after).to.equal(10);
  });

  it('counts a second send, a hedge and their calls as repeated', () => {
    const proxy = new MeshFixture({upstreamAddress: '10.0.0.1:9999'});
    proxy.loadFromSource([createInstance(2), createInstance(3)]);
    const getRepeated = (effects: readonly MeshEffect[]) =>
      effects.flatMap(effect =>
        effect.kind === 'sendAttempt' ? effect.attempt.repeated === true : [],
      );
    expect(getRepeated(proxy.call('a'))).to.deep.equal([false]);
    expect(getRepeated(proxy.refuse('a.1', 'queue_full'))).to.deep.equal([
      false,
    ]);
    expect(getRepeated(proxy.call('b'))).to.deep.equal([false]);
    expect(getRepeated(proxy.answer('b.1', 500))).to.deep.equal([true]);
  });
});

describe('mesh retry budget', () => {
  for (const proxies of [1, 10, 79]) {
    it(`holds for ${proxies} proxies where all calls fail`, () => {
      const callsPerSecond = 400;
      const most = countMostInWindow(spendAll(proxies, callsPerSecond, 40));
      const allowed = 0.2 * callsPerSecond * 10 + 60;
      expect(most).to.be.at.most(allowed);
    });
  }

  for (const proxies of [1, 10, 79]) {
    it(`leaves a fifth after a quiet time, for calls of repeated runs (${proxies})`, () => {
      const callsPerSecond = 400;
      const times = spendAll(proxies, callsPerSecond, 40, 20_500);
      const allowed = 0.2 * callsPerSecond * 10 + 60;
      expect(countMostInWindow(times)).to.be.at.most(allowed * 0.8);
    });
  }

  it('bounds the tokens that accumulate while no call fails', () => {
    const retries: RetryTokens = new Map();
    for (let n = 0; n < 4_000; n += 1) {
      creditRetryTokens(retries, SETTINGS, 1, 'desk', n * 10);
    }
    let spent = 0;
    while (trySpend(retries, 1, 40_000)) {
      spent += 1;
    }
    // 1,000 calls arrived in the preceding window.
    expect(spent).to.be.at.most(0.2 * 1_000 + 60);
  });
});
