/**
 * Detection of upstreams that leave or are back, while one of the paths that
 * report it is cut: push, gossip, the source, or links between zones.
 */
import {Effect} from '../../src/core/types.js';
import {createServicePatch, getPeerAddress} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {bootZonedFleet, createIds} from '../support/fleet_patches.js';
import {isLeaving} from '../../src/core/spread/membership.js';
import {expect} from '../support/chai_setup.js';

const LEAVING = 'desk-2';

/** Time within which no new request may reach a leaving upstream. */
const MAX_DETECTION_MS = 4_000;

/** Creates a fleet in three zones that has run longer than the VM list's lag. */
function createFleet(): FleetFixture {
  const fleet = bootZonedFleet(9, 3, {watchersPerZone: 1});
  fleet.source.setVms(listVms(fleet, {}));
  fleet.run(60_000);
  return fleet;
}

function listVms(
  fleet: FleetFixture,
  leaving: Readonly<Record<string, 'leaving'>>,
): Record<string, 'live' | 'leaving'> {
  const live = fleet.ids.map(id => [id, 'live' as const]);
  return {...Object.fromEntries(live), ...leaving};
}

/** Gets the proxies that would still send requests to the leaving upstream. */
function getSenders(fleet: FleetFixture): string[] {
  return fleet.ids.filter(id => {
    const {alive, state} = fleet.get(id);
    const known = state.log.table.upstreams.has(LEAVING);
    return alive && known && !isLeaving(state.membership, LEAVING);
  });
}

/** Runs until no other proxy would send to it and returns the time. */
function runUntilLeft(fleet: FleetFixture): number | undefined {
  const others = () => getSenders(fleet).filter(id => id !== LEAVING);
  return fleet.advanceUntil(() => others().length === 0, MAX_DETECTION_MS);
}

/** Runs until its own proxy knows as well and returns the time. */
function runUntilOwnerKnows(fleet: FleetFixture): number | undefined {
  return fleet.advanceUntil(
    () => getSenders(fleet).length === 0,
    MAX_DETECTION_MS,
  );
}

function isRefusing(fleet: FleetFixture): boolean {
  const effects = fleet.reduce(fleet.get(LEAVING), {
    kind: 'attemptArrived',
    attempt: {
      attemptId: `a-${fleet.at}`,
      service: 'desk',
      upstreamId: LEAVING,
      version: 1,
      idempotent: true,
      privateKey: false,
      timeoutMs: 1_000,
      fingerprint: 'f',
      suspect: false,
      priority: 'interactive',
    },
  });
  return effects.some(
    (effect: Effect) =>
      effect.kind === 'finishAttempt' && effect.result.kind === 'refusal',
  );
}

describe('an upstream that leaves', () => {
  it('by its own planned stop is known everywhere', () => {
    const fleet = createFleet();
    fleet.reduce(fleet.get(LEAVING), {kind: 'drainRequested'});
    expect(runUntilLeft(fleet)).to.be.at.most(1_000);
    expect(isRefusing(fleet)).to.equal(true);
  });

  it('by its own planned stop is known while every push is lost', () => {
    const fleet = createFleet();
    fleet.isRequestLost = ({kind}) => kind === 'push';
    fleet.reduce(fleet.get(LEAVING), {kind: 'drainRequested'});
    expect(runUntilLeft(fleet)).to.not.equal(undefined);
  });

  it('by its own planned stop is known while it is cut from a zone', () => {
    const fleet = createFleet();
    const cutZone = (id: string) => Number(id.split('-')[1]) % 3 === 0;
    fleet.isLinkDown = (from, to) =>
      (from === LEAVING && cutZone(to)) || (to === LEAVING && cutZone(from));
    fleet.reduce(fleet.get(LEAVING), {kind: 'drainRequested'});
    expect(runUntilLeft(fleet)).to.not.equal(undefined);
  });

  it('by its own health endpoint is known everywhere', () => {
    const fleet = createFleet();
    fleet.reduce(fleet.get(LEAVING), {
      kind: 'upstreamProbed',
      healthy: true,
      draining: true,
    });
    expect(runUntilLeft(fleet)).to.be.at.most(1_000);
  });

  it('by the list alone is known to its owner and to all others', () => {
    const fleet = createFleet();
    fleet.source.setVms(listVms(fleet, {[LEAVING]: 'leaving'}));
    expect(runUntilOwnerKnows(fleet)).to.be.at.most(1_000);
    expect(isRefusing(fleet)).to.equal(true);
  });

  it('by the list is known while its zone is cut from the source', () => {
    const fleet = createFleet();
    fleet.isSourceUnreachable = id => Number(id.split('-')[1]) % 3 === 2;
    fleet.run(25_000);
    fleet.source.setVms(listVms(fleet, {[LEAVING]: 'leaving'}));
    expect(runUntilOwnerKnows(fleet)).to.not.equal(undefined);
    expect(isRefusing(fleet)).to.equal(true);
  });

  it('by the list is known while every push is lost', () => {
    const fleet = createFleet();
    fleet.isRequestLost = ({kind}) => kind === 'push';
    fleet.source.setVms(listVms(fleet, {[LEAVING]: 'leaving'}));
    expect(runUntilOwnerKnows(fleet)).to.not.equal(undefined);
  });

  it('by its removal is known before the version is in force', () => {
    const fleet = createFleet();
    fleet.isRequestLost = ({kind}) => kind === 'announce';
    fleet.source.publish({upstreams: {[LEAVING]: null}}, 1);
    expect(runUntilOwnerKnows(fleet)).to.be.at.most(1_000);
    expect(isRefusing(fleet)).to.equal(true);
    expect(fleet.allHaveVersion(2)).to.equal(false);
  });

  it('stays leaving although a lagging list still shows it live', () => {
    const fleet = createFleet();
    fleet.reduce(fleet.get(LEAVING), {kind: 'drainRequested'});
    runUntilLeft(fleet);
    fleet.kill(LEAVING);
    fleet.source.setVms(listVms(fleet, {}));
    fleet.run(60_000);
    expect(getSenders(fleet)).to.deep.equal([]);
  });

  it('is live again as a newer incarnation although the list lags', () => {
    const fleet = createFleet();
    fleet.source.setVms(listVms(fleet, {[LEAVING]: 'leaving'}));
    fleet.reduce(fleet.get(LEAVING), {kind: 'drainRequested'});
    fleet.run(2_000);
    fleet.kill(LEAVING);
    fleet.run(3_000);
    fleet.start(LEAVING);
    const liveMs = fleet.advanceUntil(
      () => getSenders(fleet).length === fleet.ids.length,
      10_000,
    );
    const isRefusingAfterRestart = isRefusing(fleet);
    // If the list still shows it as leaving after the lag, the new process is
    // meant.
    fleet.run(35_000);
    const senders = getSenders(fleet);
    expect({
      isLiveAgain: liveMs !== undefined,
      isRefusingAfterRestart,
      sendersAfterLag: senders,
      isRefusingAfterLag: isRefusing(fleet),
    }).toMatchSnapshot();
  });

  it('is not considered leaving because of a late heartbeat of its old process', () => {
    const fleet = createFleet();
    const before = fleet.get(LEAVING).state.settings.startedAt;
    fleet.kill(LEAVING);
    fleet.start(LEAVING);
    fleet.run(10_000);
    const late = {
      id: LEAVING,
      peerAddress: getPeerAddress(LEAVING),
      incarnation: before,
      heartbeat: 1_000_000,
      sequence: 1,
      version: 1,
      digest: '',
      leaving: true,
      ready: true,
    };
    fleet.reduce(fleet.get('desk-1'), {
      kind: 'peerAsked',
      requestId: 'late',
      request: {kind: 'push', submissions: [], members: [late]},
    });
    fleet.run(2_000);
    expect(getSenders(fleet).length).to.equal(fleet.ids.length);
  });
});

describe('a proxy that the configuration does not name', () => {
  it('follows new versions and watches the source itself', () => {
    const ids = createIds(4);
    const fleet = new FleetFixture(ids);
    fleet.source.publish(createServicePatch(ids.slice(0, 3)), 0);
    fleet.start(...ids);
    fleet.run(30_000);
    fleet.source.publish({upstreams: {'desk-3': null}}, 1);
    fleet.run(5_000);
    const {membership} = fleet.get('desk-4').state;
    expect({
      versions: fleet.getVersions(),
      watchers: fleet.getWatchers().filter(id => id === 'desk-4'),
      isLeaving: isLeaving(membership, 'desk-4'),
    }).toMatchSnapshot();
  });
});
