import {
  CrashSuspects,
  createCrashSuspects,
  getNewestSuspects,
  isQuarantined,
  mergeSuspect,
} from '../../src/core/owner/crash_suspects.js';
import {SuspectInfo} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {getPeerAddress} from '../support/core_fixture.js';
import {OK, OwnerFixture} from './owner_fixture.js';

const ALONE = ['desk-1'];
const TRIO = ['desk-1', 'desk-2', 'desk-3'];

/** Gets the suspects that an owner's gossip would carry. */
function getSuspects(owner: OwnerFixture): SuspectInfo[] {
  return getNewestSuspects(owner.state.suspects);
}

function createOwnerFor(id: string): OwnerFixture {
  const owner = new OwnerFixture(TRIO);
  Object.assign(owner.state.settings, {id});
  return owner;
}

function mergeSuspects(
  owner: OwnerFixture,
  suspects: readonly SuspectInfo[],
): void {
  for (const info of suspects) {
    mergeSuspect(owner.state.suspects, info);
  }
}

/** Runs requests with the given fingerprints until a crash interrupts all. */
function crash(owner: OwnerFixture, ...fingerprints: string[]): void {
  owner.at += 100;
  const ids = fingerprints.map(fingerprint => `${fingerprint}-${owner.at}`);
  ids.forEach((id, n) =>
    owner.attempt(id, {fingerprint: fingerprints[n], timeoutMs: 5_000}),
  );
  const {running} = owner.state.owner.admission;
  for (const id of ids.filter(id => running.has(id))) {
    owner.fail(id, 'reset');
  }
}

describe('a request that crashes upstreams', () => {
  it('is refused by all proxies after two crashes, with its own reason', () => {
    const first = createOwnerFor('desk-1');
    const second = createOwnerFor('desk-2');
    crash(first, 'poison', 'bystander');
    mergeSuspects(second, getSuspects(first));
    const once = second.attempt('again', {fingerprint: 'poison'});
    second.fail('again', 'reset');
    const third = createOwnerFor('desk-3');
    mergeSuspects(third, getSuspects(second));
    expect({
      once,
      here: second.attempt('p2', {fingerprint: 'poison'}),
      elsewhere: third.attempt('p3', {fingerprint: 'poison'}),
      newKey: third.call('c1', {fingerprint: 'poison', key: 'new'}),
      bystander: third.attempt('b', {fingerprint: 'bystander'}),
    }).toMatchSnapshot();
  });

  it('counts one crash once, whatever the health endpoint reports meanwhile', () => {
    const owner = new OwnerFixture(ALONE);
    owner.attempt('a', {fingerprint: 'x'});
    owner.attempt('b', {fingerprint: 'x'});
    owner.fail('a', 'reset');
    owner.reduce({kind: 'upstreamProbed', healthy: true, draining: false});
    owner.fail('b', 'reset');
    expect(owner.state.owner.crashCount).to.equal(1);
    expect(getSuspects(owner)[0].crashedAt).to.have.length(1);
  });

  it('suspects only running requests', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('runs', {fingerprint: 'running'});
    owner.attempt('waits', {fingerprint: 'queued'});
    owner.fail('runs', 'reset');
    expect(getSuspects(owner).map(info => info.fingerprint)).to.deep.equal([
      'running',
    ]);
  });

  it('notifies the service immediately', () => {
    const owner = new OwnerFixture(TRIO);
    owner.attempt('a', {fingerprint: 'poison'});
    const effects = owner.reduce({
      kind: 'upstreamFailed',
      attemptId: 'a',
      failure: 'reset',
    });
    const sent = effects.flatMap(effect =>
      effect.kind === 'askPeer' && effect.request.kind === 'gossip'
        ? {to: effect.address, suspects: effect.request.suspects.length}
        : [],
    );
    expect(sent).to.deep.equal([
      {to: getPeerAddress('desk-2'), suspects: 1},
      {to: getPeerAddress('desk-3'), suspects: 1},
    ]);
  });

  it('clears bystanders that finish, but not by an answer that sheds load', () => {
    const owner = new OwnerFixture(ALONE);
    crash(owner, 'poison', 'bystander');
    owner.at += 200;
    owner.attempt('b', {fingerprint: 'bystander'});
    owner.answer('b');
    owner.attempt('p', {fingerprint: 'poison'});
    owner.answer('p', {...OK, status: 503});
    const cleared = getSuspects(owner).map(info => [
      info.fingerprint,
      info.cleared,
    ]);
    expect(cleared).to.deep.equal([
      ['poison', false],
      ['bystander', true],
    ]);
  });

  it('does not quarantine a bystander that ran during two crashes of another request', () => {
    // The callers resent both requests before the first crash was known there.
    const owners = ['desk-1', 'desk-2', 'desk-3'].map(createOwnerFor);
    crash(owners[0], 'poison', 'bystander');
    crash(owners[1], 'poison', 'bystander');
    mergeSuspects(owners[2], getSuspects(owners[0]));
    mergeSuspects(owners[2], getSuspects(owners[1]));
    const [, , third] = owners;
    const both = [
      third.attempt('p', {fingerprint: 'poison'}),
      third.attempt('b', {fingerprint: 'bystander'}),
    ];
    expect({
      both,
      crashed: third.fail('p', 'reset'),
      poison: third.attempt('p2', {fingerprint: 'poison'}),
    }).toMatchSnapshot();
  });

  it('stays quarantined in whatever order the records arrive', () => {
    const at = 1_000;
    const base = {fingerprint: 'x', expiresAt: 9_000};
    const old = {...base, crashedAt: ['c0'], clearedAt: ['c0'], soleAt: []};
    const records = [
      {...old, cleared: true},
      {...old, clearedAt: [], cleared: false},
      {
        ...base,
        crashedAt: ['c1', 'c2'],
        clearedAt: [],
        soleAt: ['c2'],
        cleared: false,
      },
    ];
    const orders = [
      [0, 1, 2],
      [0, 2, 1],
      [1, 0, 2],
      [1, 2, 0],
      [2, 0, 1],
      [2, 1, 0],
    ];
    const results = orders.map(order => {
      const suspects: CrashSuspects = createCrashSuspects();
      order.forEach(n => mergeSuspect(suspects, records[n]));
      return isQuarantined(suspects, 'x', at);
    });
    expect(results).to.deep.equal(orders.map(() => true));
  });

  it('may run again when the quarantine ends', () => {
    const owner = new OwnerFixture(ALONE);
    crash(owner, 'poison');
    crash(owner, 'poison');
    const during = owner.attempt('a', {fingerprint: 'poison'});
    owner.at += owner.state.settings.limits.quarantineMs;
    const after = owner.attempt('b', {fingerprint: 'poison'});
    expect({during, after}).toMatchSnapshot();
  });

  it('does not dispatch queued attempts to a process that has just crashed', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('running', {timeoutMs: 5_000});
    owner.attempt('waiting', {timeoutMs: 5_000});
    const cut = owner.fail('running', 'reset');
    const atOnce = owner.attempt('next', {timeoutMs: 5_000});
    owner.at += 200;
    const later = owner.attempt('later', {timeoutMs: 5_000});
    expect({cut, atOnce, later}).toMatchSnapshot();
  });
});
