/**
 * Replays calls to a service whose upstreams are all full: each further owner
 * that is asked costs two proxies processor time and refuses, too.
 */
import {
  getOrCreateLoad,
  recordLoadReport,
} from '../../src/core/entry/load_view.js';
import {LoadReport} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createInstance} from './mesh_fixture.js';

const UPSTREAMS = [2, 3, 4].map(host => createInstance(host));
const FULL = {running: 2, queued: 4, slots: 2, leaving: false};
const IDLE = {running: 0, queued: 0, slots: 2, leaving: false};

/** Reports the same load for all upstreams. */
function report(proxy: MeshFixture, load: LoadReport): void {
  for (const {id} of UPSTREAMS) {
    recordLoadReport(getOrCreateLoad(proxy.state.loads, id), load, proxy.at);
  }
}

/** Calls, lets each owner refuse, and counts the owners that were asked. */
function countAsked(
  load: LoadReport,
  options: {
    readonly ageMs?: number;
    readonly timeoutMs?: number;
    readonly scarceSlots?: boolean;
  } = {},
): number {
  const {scarceSlots = false} = options;
  const proxy = new MeshFixture({scarceSlots});
  proxy.loadFromSource([createInstance(1, {service: 'other'}), ...UPSTREAMS]);
  proxy.call('first', '/read/1', 2_500);
  proxy.answer('first.1');
  report(proxy, load);
  proxy.at += options.ageMs ?? 0;
  proxy.drainEffects();
  proxy.call('c', '/read/1', options.timeoutMs ?? 2_500);
  for (let asked = 1; asked <= UPSTREAMS.length; asked += 1) {
    proxy.refuse(`c.${asked}`, 'queue_full');
  }
  const lines = proxy.drainEffects();
  return lines.filter(line => line.startsWith('sendAttempt')).length;
}

/** Calls from a zone whose upstream is full, while one elsewhere may have room. */
function findAsked(farLoad: LoadReport, scarceSlots: boolean): string[] {
  const near = createInstance(2);
  const far = createInstance(3, {zone: 'south'});
  const proxy = new MeshFixture({scarceSlots});
  proxy.loadFromSource([createInstance(1, {service: 'other'}), near, far]);
  const {loads} = proxy.state;
  const busy = {...FULL, queued: 2};
  recordLoadReport(getOrCreateLoad(loads, near.id), busy, proxy.at);
  recordLoadReport(getOrCreateLoad(loads, far.id), farLoad, proxy.at);
  // Large answers: the zone's own upstream is preferred.
  proxy.state.answerBytesByRoute.set('read', 20_000);
  proxy.drainEffects();
  proxy.call('c', '/read/1', 2_500);
  proxy.refuse('c.1', 'queue_full');
  return proxy.drainEffects().filter(line => line.startsWith('sendAttempt'));
}

describe('calls to a service whose upstreams are all full', () => {
  it('ask one owner where recent reports show no room elsewhere', () => {
    expect(countAsked(FULL)).to.equal(1);
  });

  it('ask the others where reports are old or show room', () => {
    expect(countAsked(FULL, {ageMs: 1_000})).to.equal(3);
    expect(countAsked(IDLE)).to.equal(3);
  });

  it('ask an upstream of another zone that has room', () => {
    expect(findAsked(IDLE, false).length).to.equal(2);
    expect(findAsked(FULL, false).length).to.equal(1);
  });

  it('ask the others where the caller has returned and may be answered late', () => {
    expect(countAsked(FULL, {timeoutMs: 1_900})).to.equal(3);
  });
});

describe('calls to a full service where slots are scarce', () => {
  const scarceSlots = true;

  it('ask no owner where recent reports show no room anywhere', () => {
    expect(countAsked(FULL, {scarceSlots})).to.equal(0);
  });

  it('are refused at once as not run, with the time to drain a queue', () => {
    const proxy = new MeshFixture({scarceSlots});
    const other = createInstance(1, {service: 'other'});
    proxy.loadFromSource([other, ...UPSTREAMS]);
    report(proxy, FULL);
    const effects = proxy.call('c', '/read/1', 2_500);
    const answers = effects.flatMap(effect =>
      effect.kind === 'answerCall' ? [effect.result] : [],
    );
    expect(answers).to.have.lengthOf(1);
    expect(answers[0]).to.include({reason: 'queue_full', outcome: 'not-run'});
    // Four wait and one arrives: 2.5 rounds of 140 ms, and up to half as jitter.
    expect(answers[0]).to.have.property('retryAfterMs').within(350, 525);
  });

  it('ask an owner again once its queue is worked off by its report', () => {
    expect(countAsked(FULL, {scarceSlots, ageMs: 400})).to.equal(1);
  });

  it('ask the others where reports are old or show room', () => {
    expect(countAsked(FULL, {scarceSlots, ageMs: 1_000})).to.equal(3);
    expect(countAsked(IDLE, {scarceSlots})).to.equal(3);
  });

  it('ask an upstream of another zone that has room', () => {
    expect(findAsked(IDLE, scarceSlots)).to.deep.equal([
      'sendAttempt c.1 to i-3',
    ]);
    expect(findAsked(FULL, scarceSlots)).to.deep.equal([]);
  });

  it('ask the others where the caller has returned and may be answered late', () => {
    expect(countAsked(FULL, {scarceSlots, timeoutMs: 1_900})).to.equal(3);
  });
});
