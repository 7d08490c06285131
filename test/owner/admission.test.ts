import {expect} from '../support/chai_setup.js';
import {OK, OwnerFixture} from './owner_fixture.js';
import {createServicePatch} from '../support/core_fixture.js';

const ALONE = ['desk-1'];

/** Runs attempts one after the other, each with the same duration. */
function runEach(owner: OwnerFixture, count: number, serviceMs: number): void {
  for (let n = 0; n < count; n += 1) {
    owner.attempt(`warm${owner.at}`, {timeoutMs: 60_000});
    const id = `warm${owner.at}`;
    owner.at += serviceMs;
    owner.answer(id);
  }
}

describe('admission', () => {
  it('runs at most as many attempts as slots, also after a patch lowers them', () => {
    const owner = new OwnerFixture(ALONE, {slots: 4, queue: 9});
    const started = [1, 2, 3, 4, 5, 6].flatMap(n => owner.attempt(`a${n}`));
    const {services} = createServicePatch(ALONE, {slots: 2, queue: 9});
    owner.publish({services});
    const afterwards = [1, 2, 3, 4].map(n => owner.answer(`a${n}`));
    expect({started, afterwards}).toMatchSnapshot();
  });

  it('leaves a connection free for probes', () => {
    const owner = new OwnerFixture(ALONE, {slots: 9, connections: 3});
    const started = [1, 2, 3].flatMap(n => owner.attempt(`a${n}`));
    expect(started).to.deep.equal(['dispatch a1', 'dispatch a2']);
  });

  it('gives a cold upstream its slots gradually, also after a crash', () => {
    const service = {slots: 4, queue: 99, slowStartMs: 4_000};
    const owner = new OwnerFixture(ALONE, service);
    const running = () => owner.state.owner.admission.running.size;
    for (let n = 0; n < 20; n += 1) {
      owner.attempt(`a${n}`, {timeoutMs: 60_000, fingerprint: `f${n}`});
    }
    const counts = [running()];
    const answerOne = () => {
      const [id] = owner.state.owner.admission.running.keys();
      owner.answer(id);
      counts.push(running());
    };
    answerOne();
    for (let n = 0; n < 4; n += 1) {
      owner.at += 1_000;
      answerOne();
    }
    for (const id of [...owner.state.owner.admission.running.keys()]) {
      owner.fail(id, 'reset');
    }
    // An outdated health report is no evidence that the new process is up.
    owner.reduce({kind: 'upstreamProbed', healthy: true, draining: false});
    owner.at += 9_000;
    for (let n = 0; n < 5; n += 1) {
      owner.attempt(`b${n}`, {timeoutMs: 60_000, fingerprint: `g${n}`});
    }
    counts.push(running());
    expect(counts).toMatchSnapshot();
  });

  it('refuses an attempt that cannot finish before its deadline', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1, queue: 99});
    runEach(owner, 60, 100);
    owner.attempt('busy');
    expect({
      fits: owner.attempt('a', {timeoutMs: 300}),
      late: owner.attempt('b', {timeoutMs: 150}),
    }).toMatchSnapshot();
  });

  it('refuses a queued attempt that can no longer finish in time', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1, queue: 99});
    runEach(owner, 60, 100);
    owner.attempt('busy');
    owner.attempt('a', {timeoutMs: 300});
    owner.attempt('b', {timeoutMs: 3_000});
    owner.at += 250;
    expect(owner.answer('busy')).to.deep.equal([
      'busy: answer 200',
      'a: deadline_too_short (not-run, 503)',
      'dispatch b',
    ]);
  });

  it('accepts attempts again after a period of slow answers', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    runEach(owner, 60, 5_000);
    // The upstream is idle, and only a run can correct the estimate.
    expect(owner.attempt('a', {timeoutMs: 200})).to.deep.equal(['dispatch a']);
  });

  it('limits the effect of a cold start, failures and aborts on the service time', () => {
    const owner = new OwnerFixture(ALONE, {slots: 2});
    runEach(owner, 60, 20);
    const {admission} = owner.state.owner;
    const times = [admission.serviceTimeMs];
    const run = (end: (id: string) => void, ms: number) => {
      owner.attempt(`x${times.length}`, {timeoutMs: 60_000});
      owner.at += ms;
      end(`x${times.length}`);
      times.push(admission.serviceTimeMs);
    };
    run(id => owner.fail(id, 'connect'), 0);
    run(id => owner.fail(id, 'timeout'), 1);
    run(id => owner.fail(id, 'truncated'), 1);
    run(id => owner.answer(id, {...OK, status: 503}), 1);
    expect(times.map(Math.round)).to.deep.equal([20, 20, 20, 20, 20]);
    run(id => owner.answer(id), 10_000);
    expect(admission.serviceTimeMs).to.be.lessThan(40);
  });

  it('does not count less urgent attempts in the estimated wait', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1, queue: 9});
    runEach(owner, 60, 100);
    owner.attempt('busy');
    for (let n = 0; n < 5; n += 1) {
      owner.attempt(`batch${n}`, {priority: 'batch', timeoutMs: 5_000});
    }
    const urgent = owner.attempt('urgent', {timeoutMs: 300});
    expect({urgent, next: owner.answer('busy')}).toMatchSnapshot();
  });

  it('replaces a queued batch request by an interactive one', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1, queue: 2});
    owner.attempt('busy');
    owner.attempt('batch1', {priority: 'batch', timeoutMs: 500});
    owner.attempt('batch2', {priority: 'batch', timeoutMs: 900});
    expect({
      interactive: owner.attempt('a'),
      batch: owner.attempt('batch3', {priority: 'batch'}),
      next: owner.answer('busy'),
    }).toMatchSnapshot();
  });

  it('cancels queued and idempotent attempts, but not a running key', () => {
    const owner = new OwnerFixture(ALONE, {slots: 2});
    owner.attempt('read');
    owner.attempt('charge', {key: 'k'});
    owner.attempt('waits1');
    owner.attempt('waits2');
    expect({
      queued: owner.cancel('waits1'),
      charge: owner.cancel('charge'),
      read: owner.cancel('read'),
      stopped: owner.fail('read', 'timeout'),
      suspects: owner.state.suspects.byFingerprint.size,
    }).toMatchSnapshot();
  });

  it('runs one suspect at a time, and other requests concurrently', () => {
    const owner = new OwnerFixture(ALONE, {slots: 3, queue: 0});
    expect({
      suspect: owner.attempt('s1', {suspect: true, fingerprint: 's1'}),
      second: owner.attempt('s2', {suspect: true, fingerprint: 's2'}),
      other: owner.attempt('a', {fingerprint: 'a'}),
    }).toMatchSnapshot();
    const withQueue = new OwnerFixture(ALONE, {slots: 3, queue: 3});
    withQueue.attempt('s1', {suspect: true, fingerprint: 's1'});
    withQueue.attempt('s2', {suspect: true, fingerprint: 's2'});
    expect(withQueue.attempt('a')).to.deep.equal(['dispatch a']);
    expect(withQueue.answer('s1')).to.deep.equal([
      's1: answer 200',
      'dispatch s2',
    ]);
  });
});
