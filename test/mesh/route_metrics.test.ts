/** Guards against metrics by route that miss an outcome or grow without bound. */
import {Registry} from 'prom-client';
import {RouteMetrics} from '../../src/mesh/route_metrics.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createInstance,
  createRemoteEntry,
} from './mesh_fixture.js';

describe('metrics by route', () => {
  it('count outcomes, and attempts that wait now', async () => {
    const registry = new Registry();
    const waiting = ['read', 'read', 'charge'];
    const metrics = new RouteMetrics(registry, () => waiting);
    metrics.count('route_calls', 'read', 'late');
    metrics.count('route_calls', 'read', 'late');
    metrics.count('route_refusals', 'charge', 'queue_full');
    await registry.metrics();
    waiting.pop();
    const lines = (await registry.metrics())
      .split('\n')
      .filter(line => line.startsWith('fireflysill'));
    expect(lines).to.deep.equal([
      'fireflysill_route_calls_total{route="read",outcome="late"} 2',
      'fireflysill_route_refusals_total{route="charge",outcome="queue_full"} 1',
      'fireflysill_route_waiting{route="read"} 2',
    ]);
  });

  it('have a bounded number of labels', async () => {
    const registry = new Registry();
    const metrics = new RouteMetrics(registry, () => []);
    for (let n = 0; n < 100; n += 1) {
      metrics.count('route_calls', `route-${n}`, 'in_time');
    }
    const text = await registry.metrics();
    const labels = text.match(/route="/g) ?? [];
    expect(labels.length).to.equal(65);
    expect(text).to.contain('route="(other)",outcome="in_time"} 36');
  });
});

/** Gets what an entry counts by route for a call that is handled as given. */
function countOutcomes(handle: (entry: MeshFixture) => void): string[] {
  const entry = createRemoteEntry();
  const outcomes: string[] = [];
  const {post} = entry;
  entry.post = (...args) => {
    const effects = post.apply(entry, args);
    for (const effect of effects) {
      if (effect.kind === 'countRoute') {
        outcomes.push(`${effect.counter} ${effect.route} ${effect.outcome}`);
      }
    }
    return effects;
  };
  entry.call('c');
  handle(entry);
  return outcomes;
}

describe('outcomes of calls by route', () => {
  it('tell answers in time from late and failed ones and from refusals', () => {
    const answerAfter =
      (ms: number, status?: number) => (entry: MeshFixture) => {
        entry.at += ms;
        entry.answer('c.1', status);
      };
    const outcomes = [
      countOutcomes(answerAfter(100)),
      countOutcomes(answerAfter(500)),
      countOutcomes(answerAfter(100, 404)),
      countOutcomes(entry => entry.refuse('c.1', 'crash_suspected')),
    ];
    expect(outcomes).to.deep.equal([
      ['route_calls read in_time'],
      ['route_calls read late'],
      ['route_calls read in_time'],
      ['route_calls read crash_suspected'],
    ]);
  });

  it('name the attempts that an owner refuses', () => {
    const owner = new MeshFixture();
    owner.loadFromSource([createInstance(1)]);
    const attempt = {
      attemptId: 'a',
      requestId: 'r',
      service: 'desk',
      instanceId: 'i-9',
      route: 'read',
      callerService: 'desk',
      idempotent: true,
      priority: 2,
      aimMs: 400,
      timeoutMs: 1_200,
      routeAimMs: 400,
      fingerprint: 'f',
    };
    expect(owner.post({kind: 'attemptArrived', attempt})).to.deep.include({
      kind: 'countRoute',
      counter: 'route_refusals',
      route: 'read',
      outcome: 'wrong_home',
    });
  });
});
