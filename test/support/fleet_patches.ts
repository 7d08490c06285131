/** Names, settings and configurations for tests with several proxies. */
import {Patch} from '../../src/model/config.js';
import {Settings} from '../../src/model/settings.js';
import {createServicePatch, createSettings} from './core_fixture.js';
import {FleetFixture} from './fleet_fixture.js';

export function createIds(count: number): string[] {
  return Array.from({length: count}, (_, i) => `desk-${i + 1}`);
}

/** Creates a patch that changes only the timeout of a route. */
export function createTimeoutPatch(timeoutMs: number): Patch {
  const {routes} = createServicePatch(['desk-1']);
  const desk = routes?.desk;
  return desk === null || desk === undefined
    ? {}
    : {routes: {desk: {...desk, timeoutMs}}};
}

export function publishTimeoutChanges(
  fleet: FleetFixture,
  from: number,
  to: number,
): void {
  for (let base = from; base < to; base += 1) {
    fleet.source.publish(createTimeoutPatch(1_000 + base), base);
  }
}

/** Creates settings with changes to the default dissemination settings. */
export function createDisseminationSettings(
  changes: Partial<Settings['dissemination']>,
): Partial<Settings> {
  const {dissemination} = createSettings('desk-1');
  return {dissemination: {...dissemination, ...changes}};
}

/** Assigns a proxy to one of several zones, round robin. */
export function assignZone(id: string, zones: number): string {
  return `zone-${Number(id.split('-').at(-1)) % zones}`;
}

/** Creates a patch that assigns upstreams to zones, and zones to regions. */
export function createZonedPatch(
  ids: readonly string[],
  zones: number,
  getRegion: (zone: string) => string = () => 'centre',
): Patch {
  const patch = createServicePatch(ids);
  for (const [id, upstream] of Object.entries(patch.upstreams ?? {})) {
    if (upstream !== null) {
      upstream.zone = assignZone(id, zones);
      upstream.region = getRegion(upstream.zone);
    }
  }
  return patch;
}

/** Boots a fleet whose proxies are assigned to zones round robin. */
export function bootZonedFleet(
  count: number,
  zones: number,
  dissemination: Partial<Settings['dissemination']> = {},
  getRegion: (zone: string) => string = () => 'centre',
  seed = 1,
): FleetFixture {
  const ids = createIds(count);
  const fleet = new FleetFixture(
    ids,
    id => ({
      zone: assignZone(id, zones),
      region: getRegion(assignZone(id, zones)),
      ...createDisseminationSettings(dissemination),
    }),
    seed,
  );
  fleet.boot(createZonedPatch(ids, zones, getRegion));
  return fleet;
}
