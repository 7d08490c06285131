/**
 * Reads the source: the list of upstreams at intervals, and the next version
 * as soon as there is one.
 */
import {FleetUpdate} from '../../model/mesh.js';
import {
  adoptConfig,
  getKnowledgeAgeMs,
  getBoundedKnowledgeAgeMs,
  applyFleetUpdate,
} from './known_state.js';
import {createConfigDelta} from './config_delta.js';
import {FleetChange, REREGISTRATION_MS} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {
  MeshEmit,
  MeshEvent,
  SourceAnswer,
  SourceRequest,
} from './mesh_types.js';
import {getZonePeers} from './broadcast_tree.js';
import {
  recordConfigCheckpoint,
  recordReadSuccess,
  recordReadFailure,
} from './source_read_state.js';
import {CONFIG_LONG_POLL_MS, isReadDue} from './source_schedule.js';
import {broadcastUpdate} from './peer_updates.js';

/**
 * Silence of the source after which entries may have lapsed although their
 * upstreams live, as a multiple of the heartbeat interval: they lapse after
 * three.
 */
const EXPIRY_SUSPECTED_HEARTBEATS = 2;

/**
 * Wait for a peer to bring the configuration before this proxy reads it
 * itself, for each place in its zone's order, in milliseconds. A large
 * configuration costs more to read than to receive.
 */
const CONFIG_READ_STAGGER_MS = 300;
const MAX_STAGGERED_POSITION = 5;

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
    state.sourceReads.fleetReadPending = true;
    requestRead({kind: 'fleet'}, emit);
  }
  readConfigIfMissing(state, at, emit);
  awaitNextConfigIfReader(state, at, emit);
}

function requestRead(request: SourceRequest, emit: MeshEmit): void {
  emit({kind: 'readSource', request});
  emit({kind: 'count', counter: 'source_call', reason: request.kind});
}

/** Reads the configuration where no peer has brought it in time. */
function readConfigIfMissing(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, settings} = state;
  const {firstListedAt} = sourceReads;
  if (
    firstListedAt === undefined ||
    sourceReads.configRevision > 0 ||
    sourceReads.configReadPending
  ) {
    return;
  }
  const members = [...getZonePeers(state), settings.address].sort();
  const position = Math.min(
    members.indexOf(settings.address),
    MAX_STAGGERED_POSITION,
  );
  const dueAt = firstListedAt + position * CONFIG_READ_STAGGER_MS;
  if (at >= Math.max(sourceReads.configNotBefore, dueAt)) {
    sourceReads.configReadPending = true;
    requestRead({kind: 'config'}, emit);
  }
}

/** The proxy that reads the fleet also waits for the next version. */
function awaitNextConfigIfReader(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, settings} = state;
  const isReader = at - sourceReads.readAt < settings.readIntervalMs * 2;
  const isDue = isReader && at >= sourceReads.configNotBefore;
  if (
    !isDue ||
    sourceReads.configReadPending ||
    sourceReads.configRevision === 0
  ) {
    return;
  }
  sourceReads.configReadPending = true;
  sourceReads.configWaitStartedAt = at;
  const {configRevision: after} = sourceReads;
  requestRead({kind: 'nextConfig', after, waitMs: CONFIG_LONG_POLL_MS}, emit);
}

/** Takes what a read of the source brought. */
export function handleSourceAnswer(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceAnswered'}>,
  emit: MeshEmit,
): void {
  const {at, answer, request} = event;
  if (request.kind !== 'fleet') {
    state.sourceReads.configReadPending = false;
  }
  switch (answer.kind) {
    case 'fleet':
      handleFleetAnswer(state, answer, at, emit);
      break;
    case 'config':
      handleConfigAnswer(state, answer, request, at, emit);
      break;
    case 'compacted':
      emit({kind: 'count', counter: 'source_call', reason: 'compacted'});
      state.sourceReads.configReadPending = true;
      return requestRead({kind: 'config'}, emit);
  }
  awaitNextConfigIfReader(state, at, emit);
}

function handleFleetAnswer(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'fleet'}>,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, fleet, settings} = state;
  logSourceRecovery(state, at, emit);
  const knowledgeAgeMs = at - sourceReads.freshAt;
  const mayHaveExpired =
    knowledgeAgeMs > settings.heartbeatMs * EXPIRY_SUSPECTED_HEARTBEATS;
  if (fleet.revision > 0 && mayHaveExpired) {
    fleet.removalsHeldUntil = at + REREGISTRATION_MS;
  }
  recordReadSuccess(sourceReads, at);
  sourceReads.firstListedAt ??= at;
  const known = fleet.revision;
  const {revision, instances: changed} = answer;
  const news = {base: 0, revision, changed, removed: []};
  const changes = applyFleetUpdate(state, news, at, 'source', emit);
  const peerUpdate = createPeerUpdate(known, revision, changes);
  broadcastUpdate(state, peerUpdate, undefined, 0, undefined, emit);
}

function handleConfigAnswer(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'config'}>,
  request: SourceRequest,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, fleet} = state;
  const {revision, config} = answer;
  const before = state.config;
  if (config === undefined && request.kind === 'config') {
    sourceReads.configNotBefore = at + CONFIG_RETRY_MS;
  }
  const adopted =
    config !== undefined && adoptConfig(state, config, 'source', emit);
  if (!adopted && at - sourceReads.configWaitStartedAt < CONFIG_RECHECK_MS) {
    sourceReads.configNotBefore = at + CONFIG_RECHECK_MS;
  }
  if (request.kind === 'config') {
    // The configuration itself was read, so nothing before it matters.
    sourceReads.configRevision = Math.max(sourceReads.configRevision, revision);
  } else {
    recordConfigCheckpoint(sourceReads, revision, at);
  }
  if (adopted && state.config !== undefined) {
    const delta =
      before === undefined
        ? undefined
        : createConfigDelta(before, state.config);
    const base = fleet.revision;
    const news = {base, revision: base, changed: [], removed: []};
    const ageMs = getBoundedKnowledgeAgeMs(state, at);
    broadcastUpdate(state, news, delta, ageMs, undefined, emit);
  }
}

/** Heartbeats alone are not worth a peer's bytes. */
function createPeerUpdate(
  known: number,
  revision: number,
  changes: readonly FleetChange[],
): FleetUpdate {
  // A first listing is no difference to anything that a peer may hold.
  const base = known === 0 ? revision : known;
  const changed = changes
    .filter(({kind: what}) => what !== 'removed')
    .map(({instance}) => instance);
  const removed = changes
    .filter(({kind: what}) => what === 'removed')
    .map(({id}) => id);
  return {base, revision, changed, removed};
}

/** Takes a failed read of the source. */
export function handleSourceFailure(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceFailed'}>,
  emit: MeshEmit,
): void {
  const {sourceReads} = state;
  const wasUnreachable = sourceReads.unreachableSince !== undefined;
  emit({kind: 'count', counter: 'source_call', reason: 'failed'});
  if (event.request.kind !== 'fleet') {
    // The reads of the fleet go on and tell whether the source is there.
    sourceReads.configReadPending = false;
    sourceReads.configNotBefore = event.at + CONFIG_RETRY_MS;
    return;
  }
  recordReadFailure(sourceReads, event.at, event.entropy);
  if (!wasUnreachable) {
    emit({
      kind: 'log',
      level: 'warn',
      part: 'source',
      message: 'Source does not answer; reading it again after a backoff.',
      fields: {
        detail: event.detail,
        knowledgeAgeMs: getKnowledgeAgeMs(state, event.at),
        revision: state.fleet.revision,
      },
    });
  }
}

function logSourceRecovery(state: MeshState, at: number, emit: MeshEmit): void {
  const {unreachableSince: lostAt} = state.sourceReads;
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
