/** Configurations and names for tests with several proxies. */
import {Patch} from '../../src/model/config.js';
import {Settings} from '../../src/model/settings.js';
import {createServicePatch, createSettings} from './core_fixture.js';
import {FleetFixture} from './fleet_fixture.js';

export function createIds(count: number): string[] {
  return Array.from({length: count}, (_, i) => `desk-${i + 1}`);
}

/** A change that leaves the upstreams as they are. */
export function createTimeoutPatch(timeoutMs: number): Patch {
  const {routes} = createServicePatch(['desk-1']);
  const desk = routes?.desk;
  return desk === null || desk === undefined
    ? {}
    : {routes: {desk: {...desk, timeoutMs}}};
}

export function publishChanges(
  fleet: FleetFixture,
  from: number,
  to: number,
): void {
  for (let base = from; base < to; base += 1) {
    fleet.source.publish(createTimeoutPatch(1_000 + base), base);
  }
}

/** Settings of dissemination that differ from the defaults. */
export function createDisseminationSettings(
  changes: Partial<Settings['dissemination']>,
): Partial<Settings> {
  const {dissemination} = createSettings('desk-1');
  return {dissemination: {...dissemination, ...changes}};
}

/** Zone of a proxy where they take turns over some zones. */
export function assignZone(id: string, zones: number): string {
  return `zone-${Number(id.split('-').at(-1)) % zones}`;
}

/** Spreads upstreams over zones and, where told, the zones over two regions. */
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

/** Creates a fleet whose proxies take turns over some zones, and boots it. */
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
