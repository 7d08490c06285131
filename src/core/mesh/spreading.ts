/**
 * Reads the source, adopts what is newer, and tells peers. Versions only go
 * up, and one is adopted whole or not at all.
 */
import {
  ConfigDelta,
  FleetNews,
  LinkMessage,
  MeshConfig,
} from '../../model/mesh.js';
import {createConfigDelta, tryApplyConfigDelta} from './config_delta.js';
import {
  FleetChange,
  REGISTER_AGAIN_MS,
  applyFleetNews,
  expireMissing,
  listFleet,
} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {
  MeshEmit,
  MeshEvent,
  SourceAnswer,
  SourceRequest,
} from './mesh_types.js';
import {getNewsTargets, getZonePeers} from './news_tree.js';
import {createMeshRouteTable} from './route_table.js';
import {
  CONFIG_WAIT_MS,
  isReadDue,
  noteConfigMark,
  noteReadAnswered,
  noteReadFailed,
} from './source_schedule.js';

/**
 * Silence of the source after which entries may have lapsed although their
 * upstreams live, as a multiple of the heartbeat interval: they lapse after
 * three.
 */
const LAPSE_HEARTBEATS = 2;

/**
 * Wait for a peer to bring the configuration before this proxy reads it
 * itself, for each place in its zone's order, in milliseconds. A large
 * configuration costs more to read than to receive.
 */
const CONFIG_PLACE_MS = 300;
const CONFIG_PLACES = 5;

/** Pause after a read that failed or found none, in milliseconds. */
const CONFIG_RETRY_MS = 500;

/** Ages above this one say no more than that it is long ago. */
const MAX_AGE_MS = 1e9;

type Received = Extract<MeshEvent, {kind: 'messageReceived'}>;
type NewsMessage = Extract<LinkMessage, {kind: 'news'}>;

/** Starts the reads of the source that are due. */
export function readSourceIfDue(
  state: MeshState,
  at: number,
  entropy: number,
  emit: MeshEmit,
): void {
  if (isReadDue(state, at, entropy)) {
    state.schedule.reading = true;
    read({kind: 'fleet'}, emit);
  }
  readConfigIfMissing(state, at, emit);
  awaitConfigIfReader(state, at, emit);
}

function read(request: SourceRequest, emit: MeshEmit): void {
  emit({kind: 'readSource', request});
  emit({kind: 'count', counter: 'source_call', reason: request.kind});
}

/** Reads the configuration where no peer has brought it in time. */
function readConfigIfMissing(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {schedule, settings} = state;
  const {firstListedAt} = schedule;
  if (
    firstListedAt === undefined ||
    schedule.configRevision > 0 ||
    schedule.awaitingConfig
  ) {
    return;
  }
  const members = [...getZonePeers(state), settings.address].sort();
  const place = Math.min(members.indexOf(settings.address), CONFIG_PLACES);
  const dueAt = firstListedAt + place * CONFIG_PLACE_MS;
  if (at >= Math.max(schedule.configNotBefore, dueAt)) {
    schedule.awaitingConfig = true;
    read({kind: 'config'}, emit);
  }
}

/** The proxy that reads the fleet also waits for the next version. */
function awaitConfigIfReader(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {schedule, settings} = state;
  const isReader = at - schedule.readAt < settings.readIntervalMs * 2;
  const isDue = isReader && at >= schedule.configNotBefore;
  if (!isDue || schedule.awaitingConfig || schedule.configRevision === 0) {
    return;
  }
  schedule.awaitingConfig = true;
  const {configRevision: after} = schedule;
  read({kind: 'nextConfig', after, waitMs: CONFIG_WAIT_MS}, emit);
}

/** Takes what a read of the source brought. */
export function takeSourceAnswer(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceAnswered'}>,
  emit: MeshEmit,
): void {
  const {at, answer, request} = event;
  if (request.kind !== 'fleet') {
    state.schedule.awaitingConfig = false;
  }
  switch (answer.kind) {
    case 'fleet':
      takeFleet(state, answer, at, emit);
      break;
    case 'config':
      takeConfig(state, answer, request, at, emit);
      break;
    case 'compacted':
      emit({kind: 'count', counter: 'source_call', reason: 'compacted'});
      state.schedule.awaitingConfig = true;
      return read({kind: 'config'}, emit);
  }
  awaitConfigIfReader(state, at, emit);
}

function takeFleet(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'fleet'}>,
  at: number,
  emit: MeshEmit,
): void {
  const {schedule, fleet, settings} = state;
  noteRegained(state, at, emit);
  const silentMs = at - schedule.freshAt;
  const mayHaveLapsed = silentMs > settings.heartbeatMs * LAPSE_HEARTBEATS;
  if (fleet.revision > 0 && mayHaveLapsed) {
    fleet.holdUntil = at + REGISTER_AGAIN_MS;
  }
  noteReadAnswered(schedule, at);
  schedule.firstListedAt ??= at;
  const known = fleet.revision;
  const {revision, instances: changed} = answer;
  const news = {base: 0, revision, changed, removed: []};
  const changes = takeNews(state, news, at, 'source', emit);
  const passed = createPassedNews(known, revision, changes);
  tellNews(state, passed, undefined, 0, undefined, emit);
}

function takeConfig(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'config'}>,
  request: SourceRequest,
  at: number,
  emit: MeshEmit,
): void {
  const {schedule, fleet} = state;
  const {revision, config} = answer;
  const before = state.config;
  if (config === undefined && request.kind === 'config') {
    schedule.configNotBefore = at + CONFIG_RETRY_MS;
  }
  const adopted =
    config !== undefined && adoptConfig(state, config, 'source', emit);
  if (request.kind === 'config') {
    // The configuration itself was read, so nothing before it matters.
    schedule.configRevision = Math.max(schedule.configRevision, revision);
  } else {
    noteConfigMark(schedule, revision, at);
  }
  if (adopted && state.config !== undefined) {
    const delta =
      before === undefined
        ? undefined
        : createConfigDelta(before, state.config);
    const base = fleet.revision;
    const news = {base, revision: base, changed: [], removed: []};
    const ageMs = getKnownAgeMs(state, at);
    tellNews(state, news, delta, ageMs, undefined, emit);
  }
}

/** Heartbeats alone are not worth a peer's bytes. */
function createPassedNews(
  known: number,
  revision: number,
  changes: readonly FleetChange[],
): FleetNews {
  // A first listing is no difference to anything that a peer may hold.
  const base = known === 0 ? revision : known;
  const changed = changes
    .filter(({what}) => what !== 'removed')
    .map(({instance}) => instance);
  const removed = changes
    .filter(({what}) => what === 'removed')
    .map(({id}) => id);
  return {base, revision, changed, removed};
}

/** Takes a failed read of the source. */
export function takeSourceFailure(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceFailed'}>,
  emit: MeshEmit,
): void {
  const {schedule} = state;
  const wasLost = schedule.lostAt !== undefined;
  emit({kind: 'count', counter: 'source_call', reason: 'failed'});
  if (event.request.kind !== 'fleet') {
    // The reads of the fleet go on and tell whether the source is there.
    schedule.awaitingConfig = false;
    schedule.configNotBefore = event.at + CONFIG_RETRY_MS;
    return;
  }
  noteReadFailed(schedule, event.at, event.entropy);
  if (!wasLost) {
    emit({
      kind: 'log',
      level: 'warn',
      part: 'source',
      message: 'Source does not answer; reading it again after a backoff.',
      fields: {
        detail: event.detail,
        knowledgeAgeMs: getAgeMs(state, event.at),
        revision: state.fleet.revision,
      },
    });
  }
}

function noteRegained(state: MeshState, at: number, emit: MeshEmit): void {
  const {lostAt} = state.schedule;
  if (lostAt !== undefined) {
    emit({
      kind: 'log',
      level: 'info',
      part: 'source',
      message: 'Source answers again.',
      fields: {lostMs: Math.round(at - lostAt)},
    });
  }
}

/** Age of what is known of the fleet, in milliseconds. */
export function getAgeMs(state: MeshState, at: number): number | undefined {
  const ageMs = at - state.schedule.freshAt;
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Applies fleet news and records each change that it made. */
function takeNews(
  state: MeshState,
  news: FleetNews,
  at: number,
  from: string,
  emit: MeshEmit,
): FleetChange[] {
  const changes = applyFleetNews(state.fleet, news, at);
  noteChanges(state, changes, at, from, emit);
  return changes;
}

function noteChanges(
  state: MeshState,
  changes: readonly FleetChange[],
  at: number,
  from: string,
  emit: MeshEmit,
): void {
  for (const {id, what, instance} of changes) {
    if (what === 'removed' || what === 'restarted') {
      state.loads.delete(id);
    }
    if (instance.address === state.settings.upstreamAddress) {
      noteOwnChange(state, id, emit);
    }
    emit({kind: 'count', counter: 'instance_changed', reason: what});
    emit({
      kind: 'log',
      level: 'info',
      part: 'fleet',
      message: `Upstream ${what}.`,
      fields: {
        instance: id,
        service: instance.service,
        address: instance.address,
        incarnation: instance.incarnation,
        revision: state.fleet.revision,
        from,
        ageMs: getAgeMs(state, at),
      },
    });
  }
}

/** Connections to an earlier process must not be used for a later one. */
function noteOwnChange(state: MeshState, id: string, emit: MeshEmit): void {
  if (state.health.ownId !== id) {
    state.health.ownId = id;
    state.health.otherThan = undefined;
    emit({kind: 'dropUpstreamConnections'});
  }
}

/** Puts a version in force if it is higher than the one held. */
export function adoptConfig(
  state: MeshState,
  config: MeshConfig,
  from: string,
  emit: MeshEmit,
): boolean {
  const held = state.config?.version ?? -1;
  if (config.version <= held) {
    emit({kind: 'count', counter: 'update_ignored', reason: 'old_version'});
    return false;
  }
  state.config = config;
  state.table = createMeshRouteTable(config);
  emit({kind: 'configAdopted', config});
  emit({
    kind: 'count',
    counter: 'version_adopted',
    reason: from === 'source' ? 'source' : 'peer',
  });
  emit({
    kind: 'log',
    level: 'info',
    part: 'config',
    message: 'Version adopted.',
    fields: {
      version: config.version,
      replaced: held < 0 ? undefined : held,
      routes: config.routes.length,
      from,
    },
  });
  return true;
}

/** Tells peers what the source said, or that nothing has changed there. */
function tellNews(
  state: MeshState,
  fleet: FleetNews,
  delta: ConfigDelta | undefined,
  ageMs: number,
  received: NewsMessage | undefined,
  emit: MeshEmit,
): void {
  const {settings, schedule} = state;
  const enters = received === undefined || received.relay;
  const root = enters ? settings.address : received.root;
  const isOrigin = received === undefined;
  schedule.turn += 1;
  const {children, relays} = getNewsTargets(
    state,
    root,
    isOrigin,
    schedule.turn,
  );
  const version = state.config?.version ?? 0;
  const message: NewsMessage = {
    kind: 'news',
    root,
    relay: false,
    ageMs,
    fleet,
    version,
    configRevision: schedule.configRevision,
    delta,
  };
  for (const to of children) {
    emit({kind: 'sendMessage', to, message});
  }
  for (const to of relays) {
    emit({kind: 'sendMessage', to, message: {...message, relay: true}});
  }
}

/** Takes a peer's news and passes it on. */
export function takePeerNews(
  state: MeshState,
  event: Received,
  message: NewsMessage,
  emit: MeshEmit,
): void {
  const {fleet, schedule} = state;
  const {at, from} = event;
  const hasGap = message.fleet.base > fleet.revision || fleet.revision === 0;
  if (!hasGap && message.fleet.revision >= fleet.revision) {
    takeNews(state, message.fleet, at, from, emit);
    schedule.freshAt = Math.max(schedule.freshAt, at - message.ageMs);
  }
  if (message.delta !== undefined) {
    const config = tryApplyConfigDelta(state.config, message.delta);
    if (config !== undefined) {
      adoptConfig(state, config, from, emit);
    }
  }
  const isBehind = message.version > (state.config?.version ?? 0);
  noteConfigKnown(state, message);
  if (hasGap || isBehind) {
    pullFrom(state, from, emit);
  }
  tellNews(state, message.fleet, message.delta, message.ageMs, message, emit);
}

/** A peer's word that no version was missed holds if its version is held. */
function noteConfigKnown(
  {config, schedule}: MeshState,
  peer: {readonly version: number; readonly configRevision: number},
): void {
  if ((config?.version ?? 0) >= peer.version) {
    const known = Math.max(schedule.configRevision, peer.configRevision);
    schedule.configRevision = known;
  }
}

/** Age of the knowledge of the fleet, bounded for messages. */
function getKnownAgeMs(state: MeshState, at: number): number {
  const ageMs = at - state.schedule.freshAt;
  return Math.max(0, Math.min(ageMs, MAX_AGE_MS));
}

export function pullFrom(state: MeshState, to: string, emit: MeshEmit): void {
  const version = state.config?.version ?? 0;
  const {revision} = state.fleet;
  emit({kind: 'sendMessage', to, message: {kind: 'pull', version, revision}});
}

/** Answers a peer that lacks something. */
export function answerPull(
  state: MeshState,
  from: string,
  message: Extract<LinkMessage, {kind: 'pull'}>,
  at: number,
  emit: MeshEmit,
): void {
  const {fleet, config} = state;
  const sendsFleet = fleet.revision > message.revision;
  const sendsConfig = (config?.version ?? 0) > message.version;
  if (!sendsFleet && !sendsConfig) {
    return;
  }
  emit({
    kind: 'sendMessage',
    to: from,
    message: {
      kind: 'state',
      ageMs: getKnownAgeMs(state, at),
      fleet: sendsFleet ? listFleet(fleet) : undefined,
      configRevision: state.schedule.configRevision,
      hasConfig: sendsConfig,
    },
    config: sendsConfig ? config : undefined,
  });
}

/** Takes what a peer sent in answer to a pull. */
export function takePeerState(
  state: MeshState,
  event: Received,
  message: Extract<LinkMessage, {kind: 'state'}>,
  emit: MeshEmit,
): void {
  const {fleet, schedule} = state;
  const {at, from, config} = event;
  if (message.fleet !== undefined && message.fleet.revision > fleet.revision) {
    takeNews(state, message.fleet, at, from, emit);
    schedule.freshAt = Math.max(schedule.freshAt, at - message.ageMs);
    schedule.firstListedAt ??= at;
  }
  if (config !== undefined) {
    adoptConfig(state, config, from, emit);
    const {version} = config;
    const {configRevision} = message;
    noteConfigKnown(state, {version, configRevision});
  }
}

/** Removes what has not registered again after an outage, and says so. */
export function removeLapsed(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const changes = expireMissing(state.fleet, at);
  if (changes.length === 0) {
    return;
  }
  noteChanges(state, changes, at, 'outage', emit);
  const {revision} = state.fleet;
  const removed = changes.map(({id}) => id);
  const news = {base: Math.max(revision, 1), revision, changed: [], removed};
  const ageMs = getKnownAgeMs(state, at);
  tellNews(state, news, undefined, ageMs, undefined, emit);
}
