/**
 * Reads the source: the list of upstreams at intervals, and the next version
 * as soon as there is one.
 */
import {FleetNews} from '../../model/mesh.js';
import {adoptConfig, getAgeMs, getKnownAgeMs, takeNews} from './belief.js';
import {createConfigDelta} from './config_delta.js';
import {FleetChange, REGISTER_AGAIN_MS} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {
  MeshEmit,
  MeshEvent,
  SourceAnswer,
  SourceRequest,
} from './mesh_types.js';
import {getZonePeers} from './news_tree.js';
import {
  noteConfigMark,
  noteReadAnswered,
  noteReadFailed,
} from './schedule_state.js';
import {CONFIG_WAIT_MS, isReadDue} from './source_schedule.js';
import {tellNews} from './spreading.js';

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

/**
 * Pause after a wait for the next version that brought none and was not held
 * this long. What is not yet certain is asked for again, and the source answers
 * that at once. A fourth of a second adds little to the time until a version is
 * in force everywhere, which operators want within two seconds.
 */
const CONFIG_RECHECK_MS = 250;

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
  schedule.configAskedAt = at;
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
  if (!adopted && at - schedule.configAskedAt < CONFIG_RECHECK_MS) {
    schedule.configNotBefore = at + CONFIG_RECHECK_MS;
  }
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
