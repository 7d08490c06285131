/** Starts of proxies after all witnesses restarted and lost their state. */
import {
  CoreFixture,
  createServicePatch,
  createSubmission,
  getPeerAddress,
} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {createTimeoutPatch, createIds} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('cold starts', () => {
  it('ask the source before they adopt the state of a peer that may lag', () => {
    const fleet = new FleetFixture(createIds(3));
    fleet.boot();
    fleet.source.publish({upstreams: {'desk-1': null}}, 1);
    fleet.run(5_000);
    // The removed proxy keeps running, is cut off and misses the next version.
    fleet.isLinkDown = (from, to) => [from, to].includes('desk-1');
    fleet.isSourceUnreachable = id => id === 'desk-1';
    fleet.source.publish(createTimeoutPatch(2_000), 2);
    fleet.run(5_000);
    fleet.kill('desk-2', 'desk-3');
    fleet.isLinkDown = () => false;
    fleet.start('desk-2', 'desk-3');
    const served = new Set<number>();
    fleet.advanceUntil(() => {
      for (const id of ['desk-2', 'desk-3']) {
        const {startup, log} = fleet.get(id).state;
        if (startup.ready) {
          served.add(log.active.version);
        }
      }
      return false;
    }, 9_000);
    expect([...served]).to.deep.equal([3]);
  });

  it('do not combine answers of different times into a majority', () => {
    const core = new CoreFixture('desk-9');
    const ids = createIds(5);
    const answer = (id: string, ready: boolean, round: number) =>
      core.reduce({
        kind: 'peerReplied',
        address: getPeerAddress(id),
        request: {kind: 'join', id: 'desk-9', round},
        reply: {
          kind: 'join',
          incarnation: ready ? 1 : 2,
          ready,
          region: 'centre',
          sequence: 0,
          heard: 0,
          members: [],
        },
      });
    const ask = () => {
      core.at += 2_000;
      core.reduce({kind: 'tick'});
      return core.state.startup.rounds;
    };
    const patch = createServicePatch(ids);
    core.reduce({
      kind: 'sourceAnswered',
      head: 1,
      submissions: [createSubmission(1, 0, patch)],
    });
    const first = ask();
    ids.forEach((id, n) => answer(id, n > 1, first));
    // The third restarts. The first two have become ready in the meantime, but
    // their replies have not arrived yet.
    const second = ask();
    answer(ids[2], false, second);
    const onMixedAnswers = core.state.startup.ready;
    ids.forEach((id, n) => answer(id, n !== 2, second));
    const third = ask();
    ids.forEach((id, n) => answer(id, n !== 2, third));
    const onFreshAnswers = core.state.startup.ready;
    // Now all of them restart, and answer that they are starting in two rounds.
    const [fourth, fifth] = [ask(), ask()];
    ids.forEach(id => answer(id, false, fourth));
    const afterOneRound = core.state.startup.ready;
    ids.forEach(id => answer(id, false, fifth + 1));
    expect({
      onMixedAnswers,
      onFreshAnswers,
      afterOneRound,
      afterTwoRounds: core.state.startup.ready,
    }).to.deep.equal({
      onMixedAnswers: false,
      onFreshAnswers: false,
      afterOneRound: false,
      afterTwoRounds: true,
    });
  });
});
