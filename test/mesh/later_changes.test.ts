/** Lists whose last pages show changes that are later than the revision of the first. */
import {Instance, LinkMessage} from '../../src/model/mesh.js';
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createInstance} from './mesh_fixture.js';

const PEER = '10.0.0.2:7000';

const FLEET = [1, 2, 3].map(host => createInstance(host));

const DRAINING = createInstance(3, {state: 'draining', heartbeat: 2});

const WITH_DRAIN = [...FLEET.slice(0, 2), DRAINING];

/** The change of `i-3` was made after the first page was read at 10, before 12. */
const LATER = {ids: ['i-3'], revision: 12};

function createPeer(): MeshFixture {
  const peer = new MeshFixture({
    address: PEER,
    upstreamAddress: '10.0.0.2:8000',
  });
  peer.loadFromSource(FLEET);
  return peer;
}

/** Delivers a listing as the source's answer. */
function list(
  proxy: MeshFixture,
  revision: number,
  instances: readonly Instance[],
  later?: typeof LATER,
  mayBeStale = false,
): readonly MeshEffect[] {
  return proxy.post({
    kind: 'sourceAnswered',
    request: {kind: 'fleet', mayBeStale},
    answer: {kind: 'fleet', revision, instances, later},
  });
}

function findMessage<K extends LinkMessage['kind']>(
  effects: readonly MeshEffect[],
  kind: K,
): Extract<LinkMessage, {kind: K}> | undefined {
  for (const effect of effects) {
    if (effect.kind === 'sendMessage' && effect.message.kind === kind) {
      return effect.message as Extract<LinkMessage, {kind: K}>;
    }
  }
  return undefined;
}

/** Delivers the update among the effects of one proxy to another. */
function deliver(effects: readonly MeshEffect[], to: MeshFixture): void {
  const message = findMessage(effects, 'news');
  expect(message).not.to.equal(undefined);
  to.post({kind: 'messageReceived', from: '10.0.0.1:7000', message: message!});
}

/** Lets one proxy ask another for its whole list. */
function pull(proxy: MeshFixture, from: MeshFixture): void {
  const effects = from.post({
    kind: 'messageReceived',
    from: PEER,
    message: {
      kind: 'pull',
      version: 1,
      revision: proxy.state.fleet.revision,
      ageMs: 0,
      configAgeMs: 0,
    },
  });
  const message = findMessage(effects, 'state')!;
  proxy.post({kind: 'messageReceived', from: PEER, message});
}

function describeThird({state}: MeshFixture): string {
  const {revision, instances} = state.fleet;
  return `${instances.get('i-3')?.state} at ${revision}`;
}

// Guards against DRAIN and CONFIG: proxies that keep an older entry although their
// revision is the latest, because a change lay ahead of the revision it was sent with.
describe('a change ahead of the revision of its list', () => {
  let reader: MeshFixture;
  let peer: MeshFixture;

  beforeEach(() => {
    reader = new MeshFixture();
    peer = createPeer();
  });

  it('reaches peers after a first list that is not sent on', () => {
    list(reader, 10, WITH_DRAIN, LATER, true);
    deliver(list(reader, 12, WITH_DRAIN), peer);
    expect(describeThird(peer)).to.equal('draining at 12');
  });

  it('reaches peers that rejected its update as older than theirs', () => {
    list(reader, 9, FLEET);
    const update = list(reader, 10, WITH_DRAIN, LATER);
    list(peer, 11, FLEET);
    deliver(update, peer);
    deliver(list(reader, 12, WITH_DRAIN), peer);
    expect(describeThird(peer)).to.equal('draining at 12');
  });

  it('is a removal, too', () => {
    list(reader, 9, FLEET);
    const later = {ids: [], revision: 12};
    const update = list(reader, 10, FLEET.slice(0, 2), later);
    list(peer, 11, FLEET);
    deliver(update, peer);
    deliver(list(reader, 12, FLEET.slice(0, 2)), peer);
    expect(describeThird(peer)).to.equal('undefined at 12');
  });

  it('is sent on by a proxy that has it from an update', () => {
    list(reader, 9, FLEET);
    const second = createPeer();
    deliver(list(reader, 10, WITH_DRAIN, LATER), second);
    deliver(list(second, 12, WITH_DRAIN), peer);
    expect(describeThird(peer)).to.equal('draining at 12');
  });

  it('is sent on by a proxy that has it from a whole list', () => {
    list(reader, 10, WITH_DRAIN, LATER);
    const second = new MeshFixture();
    pull(second, reader);
    expect(describeThird(second)).to.equal('draining at 10');
    deliver(list(second, 12, WITH_DRAIN), peer);
    expect(describeThird(peer)).to.equal('draining at 12');
  });

  it('is sent on while the revision has not passed it, and not after', () => {
    list(reader, 10, WITH_DRAIN, LATER);
    const carries = [11, 12, 13].map(revision => {
      const update = findMessage(list(reader, revision, WITH_DRAIN), 'news');
      return update?.fleet.changed.map(({id}) => id).join();
    });
    expect(carries).to.deep.equal(['i-3', 'i-3', '']);
  });

  it('makes peers ask where the revision of the first list brought it', () => {
    list(reader, 12, WITH_DRAIN, undefined, true);
    deliver(list(reader, 13, WITH_DRAIN), peer);
    expect(describeThird(peer)).to.equal('ready at 10');
    expect(peer.drainEffects()).to.include('sendMessage pull to 10.0.0.1:7000');
  });

  // Its proxies hold the entry for two seconds, and its revision passes meanwhile.
  it('is a removal after an outage, whose update was lost', () => {
    list(reader, 10, FLEET);
    reader.at += 6_000;
    deliver(list(reader, 20, FLEET.slice(0, 2)), peer);
    reader.advance(2_000);
    expect(describeThird(reader)).to.equal('undefined at 20');
    deliver(list(reader, 21, FLEET.slice(0, 2)), peer);
    expect(describeThird(peer)).to.equal('undefined at 21');
  });
});
