import {createRefusal} from '../../src/core/refusals.js';
import {Answer} from '../../src/core/types.js';
import {Refusal} from '../../src/core/refusals.js';
import {Attempt, KeyVerdict} from '../../src/model/peer.js';
import {getPeerAddress} from '../support/core_fixture.js';
import {expect} from '../support/chai_setup.js';
import {describeEffects} from '../owner/owner_fixture.js';
import {EntryFixture, getAttempt, LOCAL, OK} from './entry_fixture.js';

const THREE_UPSTREAMS = {'desk-1': LOCAL, 'desk-2': LOCAL, 'desk-3': LOCAL};
const CHARGE = {method: 'POST', path: '/charge'};

/** Replies to the entry's request to close a key; undefined: no reply. */
function replyWithVerdict(
  entry: EntryFixture,
  attempt: Attempt,
  status: KeyVerdict['status'] | undefined,
): string[] {
  const {key = '', attemptId, upstreamId} = attempt;
  const address = getPeerAddress(upstreamId);
  const request = {
    kind: 'closeKey',
    service: 'desk',
    key,
    attemptId,
    cause: 'give-up',
    version: 1,
  } as const;
  return describeEffects(
    status === undefined
      ? entry.reduce({kind: 'peerFailed', address, request})
      : entry.reduce({
          kind: 'peerReplied',
          address,
          request,
          reply: {kind: 'closeKey', verdict: {key, status}},
        }),
  );
}

describe('retries', () => {
  for (const [percent, maxAttempts] of [
    [0, 1_000],
    [10, 1_110],
    [20, 1_220],
  ]) {
    it(`stay within a budget of ${percent} % while everything fails`, () => {
      const entry = new EntryFixture(THREE_UPSTREAMS, {
        retryBudgetPercent: percent,
      });
      let attempts = 0;
      for (let n = 0; n < 1_000; n += 1) {
        entry.at += 1;
        let attempt: Attempt | undefined = entry.start(`c${n}`);
        while (attempt !== undefined) {
          attempts += 1;
          const effects = entry.finish(attempt, createRefusal('queue_full'));
          attempt = getAttempt(effects);
        }
      }
      // The share of 1000 first attempts plus that of the initial 100.
      expect(attempts).to.be.within(maxAttempts - 3, maxAttempts);
    });
  }

  it('are made by only one layer of a call chain 16 deep', () => {
    const layers = Array.from(
      {length: 16},
      () => new EntryFixture(THREE_UPSTREAMS),
    );
    let leafRuns = 0;
    let callCount = 0;
    const run = (depth: number, retriedByOuter: boolean): Answer | Refusal => {
      const entry = layers[depth];
      if (entry === undefined) {
        leafRuns += 1;
        return createRefusal('answer_truncated');
      }
      callCount += 1;
      let effects = entry.call(`c${callCount}`, {
        retriedByOuter,
      });
      for (;;) {
        const attempt = getAttempt(effects);
        if (attempt === undefined) {
          const end = effects.find(effect => effect.kind === 'answerCall');
          return end?.kind === 'answerCall' ? end.result : OK;
        }
        effects = entry.finish(attempt, run(depth + 1, true));
      }
    };
    const result = run(0, false);
    expect(result.kind === 'refusal' && result.outcome).to.equal('unknown');
    expect(leafRuns).to.equal(3);
  });

  it('are made by inner layers too if the upstream is leaving', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const attempt = entry.start('c1', {retriedByOuter: true});
    const effects = entry.finish(attempt, createRefusal('upstream_leaving'), {
      leaving: true,
    });
    expect(effects.map(({kind}) => kind)).to.deep.equal(['sendAttempt']);
  });

  it('spend no budget if no other upstream is left', () => {
    const entry = new EntryFixture({'desk-1': LOCAL, 'desk-2': LOCAL});
    entry.reduce({
      kind: 'sourceAnswered',
      head: 1,
      submissions: [],
      vmList: {
        revision: 1,
        vms: [{upstreamId: 'desk-2', state: 'leaving'}],
      },
    });
    const attempt = entry.start('c1');
    const before = entry.state.entry.budgets.get('desk');
    const shed = {...OK, status: 503};
    const ended = describeEffects(entry.finish(attempt, shed));
    expect(ended).to.deep.equal(['c1: answer 503']);
    expect(entry.state.entry.budgets.get('desk')).to.equal(before);
  });

  it('keep to the deadline', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const first = entry.start('c1', {timeoutMs: 100});
    entry.at += 60;
    const refused = entry.finish(first, createRefusal('queue_full'));
    const second = getAttempt(refused);
    entry.at += 39;
    const end = second && entry.finish(second, createRefusal('queue_full'));
    expect({
      first: first.timeoutMs,
      second: second?.timeoutMs,
      end: describeEffects(end ?? []),
    }).toMatchSnapshot();
  });

  it('leave time for a second attempt if one is possible', () => {
    const timeoutMs = 1_000;
    const get = (
      ids: Readonly<Record<string, typeof LOCAL>>,
      call: Parameters<EntryFixture['start']>[1],
    ) => new EntryFixture(ids).start('c1', {timeoutMs, ...call}).timeoutMs;
    expect({
      first: get(THREE_UPSTREAMS, {}),
      onlyOne: get({'desk-1': LOCAL}, {}),
      innerLayer: get(THREE_UPSTREAMS, {retriedByOuter: true}),
      charge: get(THREE_UPSTREAMS, CHARGE),
    }).to.deep.equal({
      first: 700,
      onlyOne: 1_000,
      innerLayer: 1_000,
      charge: 950,
    });
  });

  it('end with an unknown outcome once an attempt may have run', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const first = entry.start('c1');
    const {attemptId} = first;
    const lost = entry.reduce({
      kind: 'attemptFailed',
      attemptId,
      failure: 'reset',
    });
    const second = getAttempt(lost);
    const refused =
      second && getAttempt(entry.finish(second, createRefusal('queue_full')));
    const end = refused && entry.finish(refused, createRefusal('queue_full'));
    expect(describeEffects(end ?? [])).to.deep.equal([
      'c1: queue_full (unknown, 503)',
    ]);
  });

  it('mark a request that was running at a crash as suspect', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const refused = entry.finish(
      entry.start('c1'),
      createRefusal('attempt_lost'),
    );
    expect(getAttempt(refused)?.suspect).to.equal(true);
  });
});

describe('a keyed call whose attempt is lost', () => {
  for (const status of [
    'never-ran',
    'closed',
    'running',
    'finished',
    'in-doubt',
    undefined,
  ] as const) {
    it(`is answered according to the verdict ${status ?? 'none'}`, () => {
      const end = (key: string | undefined) => {
        const entry = new EntryFixture(THREE_UPSTREAMS);
        const attempt = entry.start('c1', {...CHARGE, key});
        const {attemptId} = attempt;
        entry.reduce({kind: 'attemptFailed', attemptId, failure: 'reset'});
        return replyWithVerdict(entry, attempt, status);
      };
      const privateKey = end(undefined).map(line => line.replace(/\d$/, 'n'));
      expect({privateKey, sharedKey: end('k')}).toMatchSnapshot();
    });
  }

  it('ignores a verdict that arrives long after the deadline', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const attempt = entry.start('c1', {...CHARGE, key: 'k', timeoutMs: 1_000});
    const {attemptId} = attempt;
    entry.at += 900;
    entry.reduce({kind: 'attemptFailed', attemptId, failure: 'timeout'});
    // The entry's process was paused in the meantime.
    entry.at += 20_000;
    expect(replyWithVerdict(entry, attempt, 'never-ran')).to.deep.equal([
      'c1: attempt_lost (unknown, 502)',
    ]);
  });

  it('reserves time for the verdict before the deadline', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const {timeoutMs} = entry.start('c1', {...CHARGE, timeoutMs: 1_000});
    expect(timeoutMs).to.equal(950);
  });
});

describe('refusals', () => {
  it('are returned at once while other calls wait', () => {
    const entry = new EntryFixture(THREE_UPSTREAMS);
    const first = entry.start('c1', {...CHARGE, key: 'k1'});
    entry.start('c2', {...CHARGE, key: 'k2'});
    const refusal = createRefusal('queue_full', 40);
    expect(entry.finish(first, refusal)).to.deep.equal([
      {kind: 'answerCall', callId: 'c1', result: refusal},
    ]);
  });
});
