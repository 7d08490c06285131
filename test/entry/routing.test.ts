import {createRefusal} from '../../src/core/refusals.js';
import {FailureKind} from '../../src/core/types.js';
import {expect} from '../support/chai_setup.js';
import {getPeerAddress, START_MS} from '../support/core_fixture.js';
import {OwnerFixture} from '../owner/owner_fixture.js';
import {
  EntryFixture,
  LOCAL,
  OK,
  OTHER_REGION,
  OTHER_ZONE,
} from './entry_fixture.js';

const FIVE_UPSTREAMS = {
  'desk-1': LOCAL,
  'desk-2': LOCAL,
  'desk-3': LOCAL,
  'desk-4': LOCAL,
  'desk-5': LOCAL,
};

/** Lets one attempt fail at each of the given upstreams. */
function failOnceAt(
  entry: EntryFixture,
  ids: readonly string[],
  failure: FailureKind,
): void {
  const pending = new Set(ids);
  for (let n = 0; pending.size > 0 && n < 1_000; n += 1) {
    const attempt = entry.start(`f${n}`, {retriedByOuter: true});
    const {attemptId} = attempt;
    if (pending.delete(attempt.upstreamId)) {
      entry.reduce({kind: 'attemptFailed', attemptId, failure});
    } else {
      entry.finish(attempt);
    }
  }
}

describe('routing', () => {
  it('prefers its zone, then its region, until they are busy', () => {
    const entry = new EntryFixture({
      'desk-1': LOCAL,
      'desk-2': OTHER_ZONE,
      'desk-3': OTHER_REGION,
    });
    const busy = (...ids: string[]) => {
      entry.at += 5_000;
      // The first calls give the entry a load report of each upstream.
      const full = {running: 10, queued: 5};
      const load = (id: string) => (ids.includes(id) ? full : {});
      entry.countTargets(50, load);
      return entry.countTargets(300, load);
    };
    const counts = {idle: busy(), zone: busy('desk-1')};
    expect(counts.idle['desk-1']).to.be.greaterThan(290);
    expect(counts.idle['desk-3'] ?? 0).to.equal(0);
    expect(counts.zone['desk-2']).to.be.greaterThan(290);
    expect(counts).toMatchSnapshot();
  });

  it('spreads concurrent calls of its own over the service', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    entry.countTargets(100);
    // By their last reports, all upstreams but one are loaded by other entries.
    for (const [id, load] of entry.state.entry.loads) {
      load.report = {
        running: id === 'desk-1' ? 0 : 5,
        queued: 0,
        slots: 10,
        leaving: false,
      };
    }
    const counts: Record<string, number> = {};
    for (let n = 0; n < 30; n += 1) {
      const {upstreamId} = entry.start(`h${n}`);
      counts[upstreamId] = (counts[upstreamId] ?? 0) + 1;
    }
    expect(Object.keys(counts)).to.have.length(5);
    expect(counts['desk-1']).to.be.lessThan(13);
  });

  it('counts the slots that an upstream offers during its slow start', () => {
    const entry = new EntryFixture({'desk-1': LOCAL, 'desk-2': LOCAL});
    const load = (id: string) =>
      id === 'desk-1' ? {running: 1, slots: 1} : {running: 4};
    entry.countTargets(20, load);
    expect(entry.countTargets(50, load)).to.deep.equal({'desk-2': 50});
  });

  it('ejects at most half of a service', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    const ids = ['desk-1', 'desk-2', 'desk-3', 'desk-4'];
    failOnceAt(entry, ids, 'reset');
    const {loads} = entry.state.entry;
    ids.forEach((id, n) => {
      const load = loads.get(id);
      if (load !== undefined) {
        load.ejectedUntil = entry.at + 100 * (n + 1);
      }
    });
    const targets = new Set<string>();
    for (let n = 0; n < 200; n += 1) {
      targets.add(entry.start(`e${n}`).upstreamId);
    }
    expect([...targets].sort()).to.deep.equal(['desk-1', 'desk-2', 'desk-5']);
  });

  for (const reason of [
    'upstream_down',
    'proxy_not_ready',
    'attempt_lost',
    'answer_truncated',
  ] as const) {
    it(`avoids an idle upstream that refuses with ${reason}`, () => {
      const entry = new EntryFixture(FIVE_UPSTREAMS);
      let refused = 0;
      for (let n = 0; n < 200; n += 1) {
        entry.at += 1;
        const attempt = entry.start(`c${n}`, {retriedByOuter: true});
        const fails = attempt.upstreamId === 'desk-1';
        refused += fails ? 1 : 0;
        entry.finish(attempt, fails ? createRefusal(reason) : OK);
      }
      expect(refused).to.equal(1);
    });
  }

  it('probes an upstream with a single call after its ejection', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    failOnceAt(entry, ['desk-1'], 'connect');
    entry.at += 1_000;
    let tried = 0;
    for (let n = 0; n < 100; n += 1) {
      const {upstreamId} = entry.start(`p${n}`);
      tried += upstreamId === 'desk-1' ? 1 : 0;
    }
    expect(tried).to.equal(1);
  });

  it('does not eject an upstream after a single timeout', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    failOnceAt(entry, ['desk-1', 'desk-2'], 'timeout');
    const counts = entry.countTargets(200);
    expect(Object.keys(counts)).to.have.length(5);
  });

  it('avoids an upstream after consecutive timeouts', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    let lost = 0;
    for (let n = 0; n < 200; n += 1) {
      entry.at += 1;
      const attempt = entry.start(`c${n}`, {retriedByOuter: true});
      const slow = attempt.upstreamId === 'desk-1';
      lost += slow ? 1 : 0;
      entry.finish(attempt, slow ? createRefusal('attempt_timeout') : OK);
    }
    expect(lost).to.equal(3);
  });

  it('avoids upstreams that the source or a peer reports as leaving', () => {
    const entry = new EntryFixture(FIVE_UPSTREAMS);
    entry.reduce({
      kind: 'sourceAnswered',
      head: 1,
      submissions: [],
      vmList: {
        revision: 1,
        vms: [{upstreamId: 'desk-1', state: 'leaving'}],
      },
    });
    entry.reduce({
      kind: 'peerAsked',
      requestId: 'g',
      request: createGossipFrom('desk-2', entry),
    });
    const counts = entry.countTargets(100);
    expect(Object.keys(counts).sort()).to.deep.equal([
      'desk-3',
      'desk-4',
      'desk-5',
    ]);
  });
});

function createGossipFrom(id: string, entry: EntryFixture) {
  return {
    kind: 'gossip',
    from: {
      id,
      zone: LOCAL[0],
      region: LOCAL[1],
      peerAddress: getPeerAddress(id),
      incarnation: START_MS,
      heartbeat: 1,
      sequence: 1,
      version: 1,
      digest: entry.state.log.active.digest,
      leaving: true,
      ready: true,
    },
    members: [],
    suspects: [],
    vmRevision: 0,
  } as const;
}

describe('a misleading health endpoint', () => {
  const ids = Object.keys(FIVE_UPSTREAMS);

  /** Creates an owner per upstream; all know which upstreams claim to drain. */
  function claimDrain(...claimingIds: string[]): OwnerFixture[] {
    const owners = ids.map(id => {
      const owner = new OwnerFixture(ids);
      Object.assign(owner.state.settings, {id});
      const draining = claimingIds.includes(id);
      owner.reduce({kind: 'upstreamProbed', healthy: false, draining});
      return owner;
    });
    for (const owner of owners) {
      for (const id of claimingIds) {
        const {from} = createGossipFrom(id, new EntryFixture(FIVE_UPSTREAMS));
        const info = {...from, leaving: false, drainHint: true};
        owner.state.membership.members.set(id, {info, heardAt: owner.at});
      }
      owner.at += 300;
    }
    return owners;
  }

  function getRefusingOwnerIds(owners: readonly OwnerFixture[]): string[] {
    return owners.flatMap(owner =>
      owner.attempt('a')[0].includes('upstream_leaving')
        ? owner.state.settings.id
        : [],
    );
  }

  it('cannot drain more than half of a service', () => {
    expect(getRefusingOwnerIds(claimDrain(...ids))).to.deep.equal([
      'desk-1',
      'desk-2',
    ]);
  });

  it('may announce a drain', () => {
    expect(getRefusingOwnerIds(claimDrain('desk-4'))).to.deep.equal(['desk-4']);
  });

  it('is reported to the service before it takes effect', () => {
    const owner = new OwnerFixture(ids);
    const effects = owner.reduce({
      kind: 'upstreamProbed',
      healthy: true,
      draining: true,
    });
    const requests = effects.filter(({kind}) => kind === 'askPeer');
    expect(requests).to.have.length(4);
    expect(owner.attempt('a')).to.deep.equal(['dispatch a']);
  });

  it('does not prevent a proxy from running work', () => {
    const owner = new OwnerFixture(['desk-1']);
    owner.reduce({kind: 'upstreamProbed', healthy: false, draining: false});
    expect(owner.attempt('a')).to.deep.equal(['dispatch a']);
  });
});
