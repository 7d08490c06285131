/**
 * Reads the source: the list of upstreams at intervals, and configurations by
 * long polling.
 */
import {FleetUpdate} from '../../model/mesh.js';
import {
  adoptConfig,
  applyFleetUpdate,
  getBoundedKnowledgeAgeMs,
  getKnowledgeAgeMs,
} from './known_state.js';
import {noteCurrentRegistration} from './cold_detection.js';
import {confirmVersion, getConfigAges} from './config_freshness.js';
import {
  FIRST_WAIT_MS,
  appointPollers,
  excludePoller,
  getPollWaitMs,
  recordPoll,
} from './config_polling.js';
import {createConfigDelta} from './config_delta.js';
import {
  applyEvacuationReading,
  getSentEvacuations,
} from './evacuation_updates.js';
import {getLatestRevision} from './evacuations.js';
import {FleetView, REREGISTRATION_MS} from './fleet_view.js';
import {createLaterChanges} from './later_changes.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {
  MeshEmit,
  MeshEvent,
  SourceAnswer,
  SourceRequest,
} from './mesh_types.js';
import {getZonePeers} from './broadcast_tree.js';
import {
  recordConfigCheckpoint,
  recordReadFailure,
  recordReadSuccess,
} from './source_read_state.js';
import {OutageEvidence, findOutage} from './source_outage.js';
import {
  isInPlaceOfOthers,
  isReadDue,
  recordReading,
} from './source_schedule.js';
import {broadcastUpdate} from './peer_updates.js';
import {getEra} from './source_position.js';

/**
 * At startup, a proxy waits this long per position in its zone's order for a
 * peer to send the configuration before it reads the source itself. A large
 * configuration costs more to read than to receive from a peer.
 */
const CONFIG_READ_STAGGER_MS = 300;
const MAX_STAGGERED_POSITION = 5;

/**
 * Time for which a proxy that knows no upstream at all does not read the
 * configuration: it could send it to nobody, and each other one would read it, too.
 */
const UNKNOWN_FLEET_WAIT_MS = 6_000;

/** Pause after a read of the configuration that failed or found none. */
const CONFIG_RETRY_MS = 500;

/**
 * Pause after a long poll that returned nothing new in less than this time. The
 * next poll asks again for revisions that are not yet certain, and the source
 * answers it at once if it has any. Operators expect a version on all proxies
 * within two seconds, to which a quarter of a second adds little.
 */
const CONFIG_RECHECK_MS = 250;

/** Requests the reads of the source that are due. */
export function readSourceIfDue(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  if (isReadDue(state, at)) {
    pollInPlaceOfOthers(state, at, emit);
    state.sourceReads.fleetReadStartedAt = at;
    // Until peers are known, each proxy has to read by itself.
    const mayBeStale = state.fleet.instances.size === 0;
    requestRead({kind: 'fleet', mayBeStale}, emit);
  }
  readConfigIfMissing(state, at, emit);
  awaitNextConfigIfAppointed(state, at, emit);
}

function requestRead(request: SourceRequest, emit: MeshEmit): void {
  emit({kind: 'readSource', request});
  emit({kind: 'count', counter: 'source_call', reason: request.kind});
}

/** Reads the configuration if no peer has sent it in time. */
function readConfigIfMissing(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, settings} = state;
  const {firstListedAt, upstreamsKnownAt} = sourceReads;
  if (
    firstListedAt === undefined ||
    sourceReads.configRevision > 0 ||
    sourceReads.configReadPending
  ) {
    return;
  }
  const members = [...getZonePeers(state), settings.address].sort();
  // Before its upstream registers, a proxy can pass the configuration on to few.
  const position =
    upstreamsKnownAt !== undefined && getOwnInstance(state) === undefined
      ? MAX_STAGGERED_POSITION
      : Math.min(members.indexOf(settings.address), MAX_STAGGERED_POSITION);
  const knownAt = upstreamsKnownAt ?? firstListedAt + UNKNOWN_FLEET_WAIT_MS;
  const dueAt = knownAt + position * CONFIG_READ_STAGGER_MS;
  if (at >= Math.max(sourceReads.configNotBefore, dueAt)) {
    sourceReads.configReadPending = true;
    sourceReads.configReadStartedAt = at;
    requestRead({kind: 'config'}, emit);
  }
}

/**
 * Asks for the next configuration before the list, where this proxy reads in place of
 * others: those that waited for it may be gone, too. The update with the list makes
 * everybody wait for the next one, so it has to name a version that was missed.
 */
function pollInPlaceOfOthers(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {settings, sourceReads} = state;
  if (isInPlaceOfOthers(settings, at - sourceReads.freshAt)) {
    pollConfig(state, FIRST_WAIT_MS, at, emit);
  }
}

/** Waits for the next configuration if this proxy was appointed to. */
function awaitNextConfigIfAppointed(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const waitMs = getPollWaitMs(state, at);
  if (waitMs !== undefined) {
    pollConfig(state, waitMs, at, emit);
  }
}

/** Waits for the next configuration unless a read of it is under way or too early. */
function pollConfig(
  {sourceReads}: MeshState,
  waitMs: number,
  at: number,
  emit: MeshEmit,
): void {
  if (
    at < sourceReads.configNotBefore ||
    sourceReads.configReadPending ||
    sourceReads.configRevision === 0
  ) {
    return;
  }
  sourceReads.configReadPending = true;
  sourceReads.configReadStartedAt = at;
  const {configRevision: after} = sourceReads;
  requestRead({kind: 'nextConfig', after, waitMs}, emit);
}

/** Handles the result of a read of the source. */
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
      handleFleetAnswer(state, answer, isStaleRead(request), at, emit);
      break;
    case 'config':
      handleConfigAnswer(state, answer, request, at, emit);
      break;
    case 'compacted':
      emit({kind: 'count', counter: 'source_call', reason: 'compacted'});
      state.sourceReads.configReadPending = true;
      state.sourceReads.configReadStartedAt = at;
      return requestRead({kind: 'config'}, emit);
  }
  awaitNextConfigIfAppointed(state, at, emit);
}

function isStaleRead(request: SourceRequest): boolean {
  return request.kind === 'fleet' && request.mayBeStale;
}

/**
 * Applies a listing of the fleet and broadcasts the changes that it shows. Peers know
 * as much as a listing that may be stale, or read one themselves.
 */
function handleFleetAnswer(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'fleet'}>,
  mayBeStale: boolean,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, fleet, settings} = state;
  logSourceRecovery(state, at, emit);
  // The answer may have lain in the socket of this process while it stood still.
  const {freshAt, fleetReadStartedAt: readAt = at} = sourceReads;
  const knowledgeAgeMs = readAt - freshAt;
  const {heartbeatMs} = settings;
  const outage = findOutage(fleet, answer, knowledgeAgeMs, heartbeatMs);
  if (outage !== undefined) {
    fleet.removalsHeldUntil = at + REREGISTRATION_MS;
    logOutage(outage, knowledgeAgeMs, emit);
  }
  recordReadSuccess(sourceReads, readAt, mayBeStale);
  sourceReads.firstListedAt ??= at;
  const knownRevision = fleet.revision;
  const {revision, instances: changed, later} = answer;
  if (revision < knownRevision) {
    // A peer's update of a later read arrived first.
    emit({kind: 'count', counter: 'update_ignored', reason: 'old_listing'});
    sourceReads.freshAt = freshAt;
    return;
  }
  logRestore(knownRevision, revision, emit);
  const heldLater = [...fleet.laterChanges.keys()];
  const listing = {base: 0, revision, changed, removed: [], later};
  const changes = applyFleetUpdate(state, listing, at, 'source', emit);
  if (mayBeStale) {
    return;
  }
  noteCurrentRegistration(state);
  recordReading(state, knowledgeAgeMs);
  const ids = new Set([...heldLater, ...changes.map(({id}) => id)]);
  const peerUpdate = createPeerUpdate(fleet, knownRevision, ids);
  const appointment = appointPollers(state, at, emit);
  const ageMs = getBoundedKnowledgeAgeMs(state, at);
  const update = {fleet: peerUpdate, ageMs, appointment};
  broadcastUpdate(state, update, ids.size > 0, at, emit);
}

/** Logs that upstreams which the source no longer lists are kept for a while. */
function logOutage(
  {writes, expectedWrites}: OutageEvidence,
  ageMs: number,
  emit: MeshEmit,
): void {
  emit({kind: 'count', counter: 'source_call', reason: 'outage_suspected'});
  emit({
    kind: 'log',
    level: 'info',
    part: 'source',
    message:
      'Source may have been away; keeping upstreams until they register again.',
    fields: {
      knowledgeAgeMs: Math.round(ageMs),
      writes,
      expectedWrites,
      heldMs: REREGISTRATION_MS,
    },
  });
}

/** Logs that the source continues from an earlier copy of its data. */
function logRestore(known: number, revision: number, emit: MeshEmit): void {
  if (known === 0 || getEra(revision) === getEra(known)) {
    return;
  }
  emit({kind: 'count', counter: 'source_call', reason: 'restored'});
  emit({
    kind: 'log',
    level: 'warn',
    part: 'source',
    message:
      'Source was restored from a copy; keeping upstreams until they register again.',
    fields: {knownRevision: known, revision, heldMs: REREGISTRATION_MS},
  });
}

/**
 * Adopts a configuration and evacuated zones, and broadcasts the difference to the
 * previous ones.
 */
function handleConfigAnswer(
  state: MeshState,
  answer: Extract<SourceAnswer, {kind: 'config'}>,
  request: SourceRequest,
  at: number,
  emit: MeshEmit,
): void {
  const {sourceReads, fleet} = state;
  const {revision, config, evacuations} = answer;
  const before = state.config;
  const delta =
    config === undefined ||
    before === undefined ||
    config.version <= before.version
      ? undefined
      : createConfigDelta(before, config);
  if (config === undefined && request.kind === 'config') {
    sourceReads.configNotBefore = at + CONFIG_RETRY_MS;
  }
  const origin = {from: 'source', at, readAt: at, delta};
  const adopted =
    config !== undefined && adoptConfig(state, config, origin, emit);
  const zonesChanged = applyEvacuationReading(state, evacuations, at, emit);
  // A poll that found nothing may not have heard of changes while it waited.
  const confirmedAt =
    config === undefined ? sourceReads.configReadStartedAt : at;
  confirmVersion(state, config?.version ?? 0, confirmedAt);
  const isNew = adopted || zonesChanged;
  if (!isNew && at - sourceReads.configReadStartedAt < CONFIG_RECHECK_MS) {
    sourceReads.configNotBefore = at + CONFIG_RECHECK_MS;
  }
  if (request.kind === 'config' || config !== undefined) {
    // No earlier version matters once this one is known.
    sourceReads.configRevision = Math.max(sourceReads.configRevision, revision);
  } else {
    recordConfigCheckpoint(sourceReads, revision, at);
  }
  const reports = evacuations?.changes ?? [];
  if (request.kind === 'nextConfig') {
    // A poll misses nothing before a change that it delivers. Without this, the next
    // polls would ask for the same change again, and be answered at once.
    const latest = getLatestRevision(reports);
    sourceReads.configRevision = Math.max(sourceReads.configRevision, latest);
  }
  if (request.kind === 'nextConfig') {
    sourceReads.failedConfigReads = 0;
    reportPoll(state, false, at, emit);
  }
  const isLatest =
    config !== undefined && config.version === state.config?.version;
  if (isLatest || zonesChanged || reports.length > 0) {
    // Also if a peer was faster: this update takes other ways than the peer's.
    const base = fleet.revision;
    const update = {base, revision: base, changed: [], removed: []};
    const ageMs = getBoundedKnowledgeAgeMs(state, at);
    const sentDelta = adopted ? delta : undefined;
    broadcastUpdate(
      state,
      {fleet: update, ageMs, delta: sentDelta},
      true,
      at,
      emit,
    );
  }
}

/** Tells the proxy that appointed this one how its poll ended. */
function reportPoll(
  state: MeshState,
  failed: boolean,
  at: number,
  emit: MeshEmit,
): void {
  const {polling, settings, config, sourceReads} = state;
  const by = polling.appointment?.by;
  if (by === undefined || by === settings.address) {
    if (failed) {
      excludePoller(state, settings.address, 'poll_failed', at, emit);
    } else {
      recordPoll(state, settings.address, at);
    }
    return;
  }
  const message = {
    kind: 'polled',
    failed,
    version: config?.version ?? 0,
    configRevision: sourceReads.configRevision,
    ...getConfigAges(state, at),
    ...getSentEvacuations(state),
  } as const;
  emit({kind: 'sendMessage', to: by, message});
}

/**
 * Creates the update for peers, without instances that only sent heartbeats.
 * @param fleet - The fleet after a listing.
 * @param knownRevision - Its revision before that.
 * @param ids - What the listing changed, and what was held before it although it may
 *     have been later than `knownRevision`.
 */
function createPeerUpdate(
  {revision, instances, missingUntil, laterChanges}: FleetView,
  knownRevision: number,
  ids: ReadonlySet<string>,
): FleetUpdate {
  // A first listing is not a difference to a revision that peers may have.
  const base = knownRevision === 0 ? revision : knownRevision;
  const present = [...ids].filter(id => !missingUntil.has(id));
  const changed = present.flatMap(id => instances.get(id) ?? []);
  const removed = present.filter(id => !instances.has(id));
  const later = createLaterChanges(laterChanges);
  return {base, revision, changed, removed, later};
}

/** Handles a failed read of the source. */
export function handleSourceFailure(
  state: MeshState,
  event: Extract<MeshEvent, {kind: 'sourceFailed'}>,
  emit: MeshEmit,
): void {
  const {sourceReads} = state;
  const wasUnreachable = sourceReads.unreachableSince !== undefined;
  emit({kind: 'count', counter: 'source_call', reason: 'failed'});
  if (event.request.kind !== 'fleet') {
    // Reads of the fleet go on and detect whether the source is reachable.
    return handleConfigFailure(state, event, emit);
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

/**
 * Handles a failed read of the configuration. A poll that was cut or got no answer
 * may have missed a version, so the first failure is followed by a direct read.
 */
function handleConfigFailure(
  state: MeshState,
  {at, request, detail}: Extract<MeshEvent, {kind: 'sourceFailed'}>,
  emit: MeshEmit,
): void {
  const {sourceReads} = state;
  sourceReads.configReadPending = false;
  sourceReads.failedConfigReads += 1;
  if (request.kind === 'nextConfig') {
    emit({
      kind: 'log',
      level: 'warn',
      part: 'source',
      message: 'Wait for the next configuration failed.',
      fields: {
        detail,
        version: state.config?.version,
        waitedMs: Math.round(at - sourceReads.configReadStartedAt),
      },
    });
    reportPoll(state, true, at, emit);
    if (sourceReads.failedConfigReads === 1) {
      sourceReads.configReadPending = true;
      sourceReads.configReadStartedAt = at;
      requestRead({kind: 'config'}, emit);
      return;
    }
  }
  sourceReads.configNotBefore = at + CONFIG_RETRY_MS;
}

/** Logs that the source answers again after failed reads. */
function logSourceRecovery(state: MeshState, at: number, emit: MeshEmit): void {
  const {unreachableSince} = state.sourceReads;
  if (unreachableSince !== undefined) {
    emit({
      kind: 'log',
      level: 'info',
      part: 'source',
      message: 'Source answers again.',
      fields: {lostMs: Math.round(at - unreachableSince)},
    });
  }
}
