import {getPeerAddress, START_MS} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';
import {
  createAddition,
  createUuidV7Key,
  createRemoval,
  findKey,
  OwnerFixture,
} from './owner_fixture.js';

const ALONE = ['desk-1'];
const PAIR = ['desk-1', 'desk-2'];
const TRIO = ['desk-1', 'desk-2', 'desk-3'];

describe('keys at one key holder', () => {
  it('gives a resend the answer of the running attempt', () => {
    const owner = new OwnerFixture(ALONE);
    expect({
      first: owner.attempt('a', {key: 'k'}),
      resend: owner.attempt('b', {key: 'k'}),
      firstCancelled: owner.cancel('a'),
      answered: owner.answer('a'),
      replayed: owner.attempt('c', {key: 'k'}),
    }).toMatchSnapshot();
  });

  it('drops a waiter whose entry cancelled it', () => {
    const owner = new OwnerFixture(ALONE);
    owner.attempt('a', {key: 'k'});
    owner.attempt('b', {key: 'k'});
    owner.cancel('b');
    expect(owner.answer('a')).to.deep.equal(['a: answer 200']);
  });

  it('limits the attempts that wait for one answer', () => {
    const owner = new OwnerFixture(ALONE);
    owner.attempt('a', {key: 'k'});
    for (let n = 0; n < 1_000; n += 1) {
      owner.attempt(`b${n}`, {key: 'k'});
    }
    expect(owner.answer('a').length).to.be.lessThan(200);
  });

  it('never answers a request with the answer to another one', () => {
    const owner = new OwnerFixture(ALONE);
    owner.attempt('a', {key: 'k', fingerprint: 'charge 10'});
    const whileRunning = owner.attempt('b', {
      key: 'k',
      fingerprint: 'charge 20',
    });
    const answered = owner.answer('a');
    const afterwards = owner.attempt('c', {key: 'k', fingerprint: 'charge 20'});
    expect({whileRunning, answered, afterwards}).toMatchSnapshot();
  });

  it('runs a key again after its first attempt was cancelled in the queue', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('busy');
    expect({
      queued: owner.attempt('a', {key: 'k'}),
      early: owner.attempt('b', {key: 'k'}),
      cancelled: owner.cancel('a'),
      free: owner.answer('busy'),
      resend: owner.attempt('c', {key: 'k'}),
    }).toMatchSnapshot();
  });

  it('closes the key of an attempt that admission refuses', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1, queue: 0});
    owner.attempt('busy');
    const refused = owner.attempt('a', {key: 'k'});
    owner.answer('busy');
    expect({refused, resend: owner.attempt('b', {key: 'k'})}).toMatchSnapshot();
  });

  it('closes a key and refuses its waiters if the upstream is down', () => {
    const owner = new OwnerFixture(ALONE);
    owner.attempt('a', {key: 'k'});
    owner.attempt('b', {key: 'k'});
    expect({
      failed: owner.fail('a', 'connect'),
      resend: owner.attempt('c', {key: 'k'}),
    }).toMatchSnapshot();
  });

  it('reports the verdict of closing a key in each state', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('lost', {key: 'in-doubt'});
    owner.fail('lost', 'reset');
    owner.at += 200;
    owner.attempt('done', {key: 'finished'});
    owner.answer('done');
    owner.attempt('runs', {key: 'running'});
    owner.attempt('waits', {key: 'queued'});
    expect({
      absent: owner.close('absent', 'x'),
      afterwards: owner.attempt('late', {key: 'absent'}),
      closed: owner.close('absent', 'x'),
      queued: owner.close('queued', 'waits'),
      running: owner.close('running', 'runs'),
      finished: owner.close('finished', 'done'),
      inDoubt: owner.close('in-doubt', 'lost'),
      free: owner.answer('runs'),
    }).toMatchSnapshot();
  });

  it('keeps the record of a key that still runs when its lifetime ends', () => {
    const owner = new OwnerFixture(ALONE, {keyLifetimeMs: 1_000});
    owner.attempt('a', {key: 'k', timeoutMs: 500});
    // The process was paused, so the failure has not been handled yet.
    owner.at += 90_000;
    const resend = owner.attempt('b', {key: 'k'});
    expect(resend).to.deep.equal([]);
    expect(owner.fail('a', 'timeout')).toMatchSnapshot();
  });

  it('limits the number of records, and refuses shared keys beyond it as unknown', () => {
    const owner = new OwnerFixture(ALONE);
    const {limits} = owner.state.settings;
    Object.assign(limits, {maxKeyRecords: 2});
    owner.attempt('a', {key: 'k1'});
    owner.answer('a');
    const closes = [owner.close('k2', 'x'), owner.close('k3', 'y')];
    const shared = owner.attempt('b', {key: 'k4'});
    const own = owner.attempt('c.1', {key: 'c', privateKey: true});
    const records = owner.state.owner.keys.size;
    expect({closes, shared, own, records}).toMatchSnapshot();
  });

  it('deletes expired keys that follow one with a longer lifetime', () => {
    const owner = new OwnerFixture(ALONE, {keyLifetimeMs: 600_000});
    owner.attempt('long', {key: 'long'});
    owner.answer('long');
    for (let n = 0; n < 300; n += 1) {
      owner.attempt(`p${n}`, {key: `p${n}`, privateKey: true, timeoutMs: 10});
      owner.answer(`p${n}`);
    }
    owner.at += 40_000;
    for (let n = 0; n < 5; n += 1) {
      owner.tick();
    }
    expect(owner.state.owner.keys.size).to.equal(1);
  });
});

describe('keys whose holder changes', () => {
  it('asks each former holder, and runs once all have confirmed', () => {
    const owner = new OwnerFixture(TRIO);
    const key = findKey([
      [TRIO, 'desk-3'],
      [PAIR, 'desk-2'],
      [ALONE, 'desk-1'],
    ]);
    owner.publish(createRemoval('desk-3'));
    owner.publish(createRemoval('desk-2'));
    expect({
      asked: owner.attempt('a', {key}),
      one: owner.replyAsFormerHolder('desk-2', key, 'a', 'never-ran'),
      resend: owner.attempt('b', {key}),
      both: owner.replyAsFormerHolder('desk-3', key, 'a', 'never-ran'),
    }).toMatchSnapshot();
  });

  for (const status of ['running', 'finished', 'in-doubt', 'closed'] as const) {
    it(`does not run a key that a former holder reports as ${status}`, () => {
      const owner = new OwnerFixture(PAIR);
      const key = findKey([[PAIR, 'desk-2']]);
      owner.publish(createRemoval('desk-2'));
      owner.attempt('a', {key});
      const settled = owner.replyAsFormerHolder('desk-2', key, 'a', status);
      const resend = owner.attempt('b', {key});
      expect({settled, resend}).toMatchSnapshot();
    });
  }

  it('records that a former holder did not reply', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    owner.publish(createRemoval('desk-2'));
    owner.attempt('a', {key});
    const silent = owner.replyAsFormerHolder('desk-2', key, 'a');
    const late = owner.replyAsFormerHolder('desk-2', key, 'a', 'never-ran');
    const resend = owner.attempt('b', {key});
    expect({silent, late, resend}).toMatchSnapshot();
  });

  it('does not report "not run" for a queued key that a newer holder closes', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('busy');
    owner.attempt('a', {key: 'k'});
    const moved = owner.close('k', 'b', 'moved', 2);
    expect(moved.join('\n')).to.not.contain('not-run');
    expect({moved, free: owner.answer('busy')}).toMatchSnapshot();
  });

  it('reports a key that moved away and back as in doubt', () => {
    const owner = new OwnerFixture(ALONE);
    const key = findKey([[PAIR, 'desk-2']]);
    owner.publish(createAddition('desk-2'));
    const away = owner.close(key, 'x', 'moved');
    owner.publish(createRemoval('desk-2'));
    expect({away, back: owner.attempt('a', {key})}).toMatchSnapshot();
  });

  it('reports only its own runs to a newer holder, which asks all former ones', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([
      [PAIR, 'desk-2'],
      [['desk-1', 'desk-3'], 'desk-3'],
    ]);
    owner.publish(createRemoval('desk-2'));
    owner.publish(createAddition('desk-3'));
    expect(owner.close(key, 'x', 'moved')).to.deep.equal(['verdict never-ran']);
  });

  it('reports a key as in doubt to an entry until its former holder confirms', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    owner.publish(createRemoval('desk-2'));
    expect(owner.close(key, 'x')).to.deep.equal(['verdict in-doubt']);
  });

  it('does not report "never ran" to an entry with a newer version', () => {
    const owner = new OwnerFixture(ALONE);
    const refused = owner.attempt('a', {key: 'k', version: 2});
    const closed = owner.close('k', 'a', 'give-up', 2);
    expect({refused, closed}).toMatchSnapshot();
    expect(closed).to.deep.equal(['verdict in-doubt']);
  });

  it('runs a key again that was cancelled after its former holder confirmed', () => {
    const owner = new OwnerFixture(PAIR, {slots: 1});
    const key = findKey([[PAIR, 'desk-2']]);
    owner.publish(createRemoval('desk-2'));
    owner.attempt('busy');
    owner.attempt('a', {key});
    owner.replyAsFormerHolder('desk-2', key, 'a', 'never-ran');
    owner.cancel('a');
    owner.answer('busy');
    // The former holder closed the key, and would reply `in-doubt` if asked.
    expect(owner.attempt('b', {key})).to.deep.equal(['dispatch b']);
  });

  it('does not run a key that was cancelled while former holders were asked', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    owner.publish(createRemoval('desk-2'));
    owner.attempt('a', {key});
    owner.cancel('a');
    const settled = owner.replyAsFormerHolder('desk-2', key, 'a', 'never-ran');
    expect({settled, resend: owner.attempt('b', {key})}).toMatchSnapshot();
  });
});

describe('keys across a restart', () => {
  it('runs only keys that cannot have run before the start', () => {
    const owner = new OwnerFixture(ALONE);
    owner.at = START_MS + 10_000;
    const skewMs = owner.state.settings.limits.clockSkewMs;
    const later = createUuidV7Key(START_MS + skewMs + 5);
    expect({
      withoutTime: owner.attempt('a', {key: 'plain'}),
      closing: owner.close('other', 'x'),
      before: owner.attempt('b', {key: createUuidV7Key(START_MS - 1)}),
      withinSkew: owner.attempt('c', {key: createUuidV7Key(START_MS + 1)}),
      later: owner.attempt('d', {key: later}),
    }).toMatchSnapshot();
  });

  it('does not trust a key whose time is in the future', () => {
    const owner = new OwnerFixture(ALONE);
    owner.at = START_MS + 10_000;
    const key = createUuidV7Key(owner.at + 3_600_000);
    expect(owner.attempt('a', {key})).to.deep.equal([
      'a: key_in_doubt (unknown, 409)',
    ]);
  });

  it('reports a key as in doubt after it restarted and left the service', () => {
    const owner = new OwnerFixture(PAIR);
    owner.at = START_MS + 10_000;
    owner.publish(createRemoval('desk-1'));
    const key = findKey([[PAIR, 'desk-1']]);
    const verdict = owner.close(key, 'x', 'moved');
    expect(verdict).to.deep.equal(['verdict in-doubt']);
  });
});

describe('keys on a graceful shutdown', () => {
  const receiveHandOver = (
    owner: OwnerFixture,
    heirs: readonly string[],
    incarnation = START_MS,
  ): void => {
    owner.reduce({
      kind: 'peerAsked',
      requestId: 'h',
      request: {
        kind: 'handOver',
        service: 'desk',
        fromId: 'desk-2',
        incarnation,
        heirs: [...heirs],
        records: [{key: 'ran', status: 'finished'}],
      },
    });
  };

  it('takes over the records, and no longer asks the stopped holder', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    receiveHandOver(owner, ALONE);
    owner.publish(createRemoval('desk-2'));
    expect({
      recorded: owner.attempt('a', {key: 'ran'}),
      unrecorded: owner.attempt('b', {key}),
    }).toMatchSnapshot();
  });

  it('asks the former holder if another heir received the key', () => {
    const owner = new OwnerFixture(TRIO);
    const key = findKey([
      [TRIO, 'desk-2'],
      [['desk-1', 'desk-3'], 'desk-3'],
    ]);
    receiveHandOver(owner, ['desk-1', 'desk-3']);
    owner.publish(createRemoval('desk-2', 'desk-3'));
    expect(owner.attempt('a', {key})).to.deep.equal([
      `ask ${getPeerAddress('desk-2')} closeKey`,
    ]);
  });

  it('asks a former holder that has restarted since its hand-over', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    receiveHandOver(owner, ALONE);
    owner.reduce({
      kind: 'peerAsked',
      requestId: 'g',
      request: {
        kind: 'gossip',
        from: {
          id: 'desk-2',
          peerAddress: getPeerAddress('desk-2'),
          incarnation: START_MS + 50_000,
          heartbeat: 1,
          sequence: 1,
          version: 1,
          digest: owner.state.log.active.digest,
          leaving: false,
          ready: true,
        },
        members: [],
        suspects: [],
        vmRevision: 0,
      },
    });
    owner.publish(createRemoval('desk-2'));
    expect(owner.attempt('a', {key})).to.deep.equal([
      `ask ${getPeerAddress('desk-2')} closeKey`,
    ]);
  });

  it('closes no key for an entry after its hand-over', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-1']]);
    owner.reduce({kind: 'drainRequested'});
    const handedOver = owner.tick();
    const closed = owner.close(key, 'x');
    expect({handedOver, closed}).toMatchSnapshot();
    expect(closed).to.deep.equal(['verdict in-doubt']);
  });
});

describe('a process that was paused', () => {
  it('refuses queued attempts whose deadline has passed, and dispatches none', () => {
    const owner = new OwnerFixture(ALONE, {slots: 1});
    owner.attempt('runs', {key: 'k1'});
    owner.attempt('waits', {key: 'k2'});
    owner.attempt('private.1', {key: 'private', privateKey: true});
    owner.at += 60_000;
    expect({
      woken: owner.answer('runs'),
      resend: owner.attempt('again', {key: 'k2'}),
    }).toMatchSnapshot();
  });
});
