/**
 * What a list tells of the time since the one before it: whether registrations may have
 * expired because the source was away.
 */
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createInstance} from './mesh_fixture.js';

const HEARTBEAT_MS = 300;
const HOSTS = [1, 2, 3, 4];

/** Lets a proxy read four upstreams. */
function createReader(): MeshFixture {
  const reader = new MeshFixture({heartbeatMs: HEARTBEAT_MS});
  reader.loadFromSource(HOSTS.map(host => createInstance(host)));
  return reader;
}

/**
 * Lets the proxy read a list without the last upstream.
 * @param heartbeats - How often each of the others has written since the list before.
 * @param silentHosts - Those of the others that have written nothing.
 */
function readWithoutLast(
  reader: MeshFixture,
  heartbeats: number,
  silentHosts: readonly number[] = [],
): void {
  const {revision} = reader.state.fleet;
  const listed = HOSTS.slice(0, -1);
  const writers = listed.filter(host => !silentHosts.includes(host));
  const instances = listed.map(host =>
    createInstance(host, {
      heartbeat: 1 + (writers.includes(host) ? heartbeats : 0),
    }),
  );
  reader.readFleet(instances, revision + 1 + writers.length * heartbeats);
}

function knowsLast(reader: MeshFixture): boolean {
  return reader.state.fleet.instances.has('i-4');
}

describe('a list after a time without one', () => {
  // Guards against DRAIN: a list that nobody had read counted as one that the source
  // had lost, and upstreams that were gone got work for two more seconds.
  it('removes at once what it lacks if the source took all heartbeats meanwhile', () => {
    for (const heartbeats of [3, 10, 100]) {
      const reader = createReader();
      reader.at += heartbeats * HEARTBEAT_MS;
      readWithoutLast(reader, heartbeats);
      expect(knowsLast(reader), `${heartbeats} heartbeats`).to.equal(false);
    }
  });

  it('does so although others have fallen silent at the same time', () => {
    const reader = createReader();
    reader.at += 5 * HEARTBEAT_MS;
    readWithoutLast(reader, 5, [2, 3]);
    expect(knowsLast(reader)).to.equal(false);
  });

  it('keeps for two seconds what it lacks if the source took few heartbeats', () => {
    for (const heartbeats of [0, 1, 4]) {
      const reader = createReader();
      reader.at += 10 * HEARTBEAT_MS;
      readWithoutLast(reader, heartbeats);
      expect(knowsLast(reader), `${heartbeats} heartbeats`).to.equal(true);
      reader.advance(1_900);
      expect(knowsLast(reader)).to.equal(true);
      reader.advance(200);
      expect(knowsLast(reader)).to.equal(false);
    }
  });

  it('removes at once what it lacks if nothing can have expired since', () => {
    const reader = createReader();
    reader.at += 2 * HEARTBEAT_MS;
    readWithoutLast(reader, 0);
    expect(knowsLast(reader)).to.equal(false);
  });
});
