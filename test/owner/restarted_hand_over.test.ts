/** A hand-over covers only keys that its own process can have run. */
import {expect} from '../support/chai_setup.js';
import {
  createUuidV7Key,
  createRemoval,
  findKey,
  OwnerFixture,
} from './owner_fixture.js';

const ALONE = ['desk-1'];
const PAIR = ['desk-1', 'desk-2'];

const UPTIME_MS = 10_000;

/** The other holder restarts, shuts down gracefully soon after, and leaves. */
function receiveHandOverAfterRestart(owner: OwnerFixture): void {
  owner.reduce({
    kind: 'peerAsked',
    requestId: 'h',
    request: {
      kind: 'handOver',
      service: 'desk',
      fromId: 'desk-2',
      incarnation: owner.at - UPTIME_MS,
      heirs: ALONE,
      records: [],
    },
  });
  owner.publish(createRemoval('desk-2'));
}

describe('hand-over by a holder that had restarted', () => {
  it('does not run a key that an earlier process may have run', () => {
    const owner = new OwnerFixture(PAIR);
    const key = findKey([[PAIR, 'desk-2']]);
    receiveHandOverAfterRestart(owner);
    expect({
      attempt: owner.attempt('a', {key}),
      silent: owner.replyAsFormerHolder('desk-2', key, 'a'),
    }).to.deep.equal({
      attempt: ['ask 127.0.0.1:7002 closeKey'],
      silent: ['a: key_in_doubt (unknown, 409)'],
    });
  });

  it('runs a key that was created after the restart', () => {
    const owner = new OwnerFixture(PAIR);
    const key = createUuidV7Key(owner.at - UPTIME_MS / 2);
    receiveHandOverAfterRestart(owner);
    expect(owner.attempt('a', {key})).to.deep.equal(['dispatch a']);
  });
});
