/** Broadcasts updates to peers and applies those of peers. */
import {
  Appointment,
  ConfigDelta,
  FleetUpdate,
  LinkMessage,
} from '../../model/mesh.js';
import {
  ConfigOrigin,
  adoptConfig,
  applyFleetUpdate,
  getBoundedKnowledgeAgeMs,
  recordPeerAge,
  recordFleetChanges,
} from './known_state.js';
import {confirmVersion, getConfigAges} from './config_freshness.js';
import {tryApplyConfigDelta} from './config_delta.js';
import {findDeltasSince} from './config_history.js';
import {
  excludePoller,
  recordAppointment,
  recordPoll,
} from './config_polling.js';
import {
  applyPeerEvacuations,
  getSentEvacuations,
} from './evacuation_updates.js';
import {createFullUpdate, removeExpired} from './fleet_view.js';
import {createLaterChanges} from './later_changes.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit, MeshEvent} from './mesh_types.js';
import {
  divideAmongReceivers,
  getZoneEntries,
  getZonePeers,
  hasRelays,
} from './broadcast_tree.js';
import {getDependentPeers} from './proxy_directory.js';
import {pullHeardState} from './update_repair.js';

type MessageEvent = Extract<MeshEvent, {kind: 'messageReceived'}>;
type UpdateMessage = Extract<LinkMessage, {kind: 'news'}>;

/** Changed routes from which an update takes long on a slow link. */
const LARGE_DELTA_ROUTES = 50;

/** Difference of ages from which an answer to a pull is worth sending. */
const MIN_AGE_GAIN_MS = 100;

/** What an update tells, apart from the sender's own state. */
export interface Update {
  readonly fleet: FleetUpdate;
  /** Age of the sender's list when the update was created. */
  readonly ageMs: number;
  readonly delta?: ConfigDelta;
  readonly appointment?: Appointment;
  /** Version that a peer has told of; absent: none. */
  readonly heardVersion?: number;
}

/**
 * Sends an update that was created here to this zone and to one proxy of each other
 * zone. An update without changes renews the knowledge age of peers.
 * @param hasChanges - Sends it on a second way, where it passes other relays, so that
 * one that does not forward it delays nobody. The second copy names the version only:
 * who still lacks it pulls it.
 */
export function broadcastUpdate(
  state: MeshState,
  update: Update,
  hasChanges: boolean,
  at: number,
  emit: MeshEmit,
): void {
  sendOneWay(state, update, 0, at, emit);
  if (hasChanges) {
    sendOneWay(state, {...update, delta: undefined}, 1, at, emit);
  }
}

function sendOneWay(
  state: MeshState,
  update: Update,
  way: number,
  at: number,
  emit: MeshEmit,
): void {
  const isLarge = isLargeDelta(update.delta);
  const members = getBroadcastMembers(state);
  const message = createUpdateMessage(state, update, at);
  if (way === 0 || hasRelays(members)) {
    sendUpdate(state, update, members, at, emit);
  }
  for (const to of getZoneEntries(state, isLarge, way)) {
    emit({kind: 'sendMessage', to, message});
  }
}

/** Gets the proxies that no proxy of another zone is asked to send an update to. */
function getBroadcastMembers(state: MeshState): string[] {
  return [...new Set([...getZonePeers(state), ...getDependentPeers(state)])];
}

function isLargeDelta(delta: ConfigDelta | undefined): boolean {
  return delta !== undefined && delta.routes.length >= LARGE_DELTA_ROUTES;
}

function createUpdateMessage(
  state: MeshState,
  {heardVersion = 0, ...update}: Update,
  at: number,
): UpdateMessage {
  return {
    kind: 'news',
    ...update,
    // Receivers wait for the next update; one that hides a version would delay it.
    version: Math.max(state.config?.version ?? 0, heardVersion),
    configRevision: state.sourceReads.configRevision,
    ...getConfigAges(state, at),
    ...getSentEvacuations(state),
  };
}

/** Sends an update to proxies of this zone, by way of some of them. */
function sendUpdate(
  state: MeshState,
  update: Update,
  members: readonly string[],
  at: number,
  emit: MeshEmit,
): void {
  state.sourceReads.broadcastCount += 1;
  const message = createUpdateMessage(state, update, at);
  const isLarge = isLargeDelta(update.delta);
  for (const {to, forwardTo} of divideAmongReceivers(state, members, isLarge)) {
    emit({kind: 'sendMessage', to, message: {...message, forwardTo}});
  }
}

/** Applies a peer's update, pulls what it shows to be missing, and forwards it. */
export function handlePeerUpdate(
  state: MeshState,
  event: MessageEvent,
  message: UpdateMessage,
  emit: MeshEmit,
): void {
  const {fleet} = state;
  const {at, from} = event;
  const {appointment, ageMs, version, configAgeMs, versionAgeMs} = message;
  const hasGap = message.fleet.base > fleet.revision || fleet.revision === 0;
  const isNewListing = !hasGap && message.fleet.revision > fleet.revision;
  if (!hasGap && message.fleet.revision >= fleet.revision) {
    applyFleetUpdate(state, message.fleet, at, from, emit);
    recordPeerAge(state, at, ageMs);
  }
  const {evacuations} = message;
  const isNewEvacuation = applyPeerEvacuations(
    state,
    evacuations,
    at,
    from,
    emit,
  );
  if (appointment !== undefined) {
    recordAppointment(state, appointment, at);
  }
  const deltas = message.delta === undefined ? [] : [message.delta];
  const readAt = at - versionAgeMs;
  const isNewVersion = applyDeltas(state, deltas, {from, at, readAt}, emit);
  confirmVersion(state, version, at - configAgeMs);
  recordConfigRevision(state, message);
  const {revision} = message.fleet;
  pullHeardState(state, {from, version, revision}, at, emit);
  const members = new Set(message.forwardTo ?? getZonePeers(state));
  if (isNewListing || isNewVersion || isNewEvacuation) {
    // The sender may not know that they run.
    getDependentPeers(state).forEach(address => members.add(address));
  }
  const others = [...members].filter(
    a => a !== from && a !== state.settings.address,
  );
  // Who had the version before has got it on another way, and so have most others;
  // they pull what they lack.
  const delta = isNewVersion ? message.delta : undefined;
  const update = {
    fleet: message.fleet,
    ageMs,
    delta,
    appointment,
    heardVersion: version,
  };
  sendUpdate(state, update, others, at, emit);
}

/**
 * Adopts the version to which differences lead.
 * @returns Whether there was one.
 */
function applyDeltas(
  state: MeshState,
  deltas: readonly ConfigDelta[],
  origin: ConfigOrigin,
  emit: MeshEmit,
): boolean {
  let isNewVersion = false;
  for (const delta of deltas) {
    const config = tryApplyConfigDelta(state.config, delta);
    if (config !== undefined) {
      isNewVersion = adoptConfig(state, config, {...origin, delta}, emit);
    }
  }
  return isNewVersion;
}

/** Handles the report of a peer that waits for the next version. */
export function handlePeerPoll(
  state: MeshState,
  from: string,
  message: Extract<LinkMessage, {kind: 'polled'}>,
  at: number,
  emit: MeshEmit,
): void {
  applyPeerEvacuations(state, message.evacuations, at, from, emit);
  if (message.failed) {
    excludePoller(state, from, 'poll_failed', at, emit);
    return;
  }
  recordPoll(state, from, at);
  confirmVersion(state, message.version, at - message.configAgeMs);
  recordConfigRevision(state, message);
  const {version} = message;
  pullHeardState(state, {from, version, revision: 0}, at, emit);
}

/**
 * Adopts a peer's `configRevision`. It is valid here only if this proxy's
 * configuration version is not below the peer's.
 */
function recordConfigRevision(
  {config, sourceReads}: MeshState,
  peer: {readonly version: number; readonly configRevision: number},
): void {
  if ((config?.version ?? 0) >= peer.version) {
    const known = Math.max(sourceReads.configRevision, peer.configRevision);
    sourceReads.configRevision = known;
  }
}

/**
 * Answers a pull with what the peer lacks, if anything. A pull doesn't tell which
 * evacuations its sender knows, so it is always answered where there are any.
 */
export function answerPull(
  state: MeshState,
  from: string,
  message: Extract<LinkMessage, {kind: 'pull'}>,
  at: number,
  emit: MeshEmit,
): void {
  const {fleet, config, configHistory} = state;
  const version = config?.version ?? 0;
  const needsFleet = fleet.revision > message.revision;
  const needsConfig = version > message.version;
  const ageMs = getBoundedKnowledgeAgeMs(state, at);
  const ages = getConfigAges(state, at);
  const isFresher =
    ageMs + MIN_AGE_GAIN_MS < message.ageMs ||
    ages.configAgeMs + MIN_AGE_GAIN_MS < message.configAgeMs;
  const hasEvacuations = fleet.evacuations.list.length > 0;
  if (!needsFleet && !needsConfig && !isFresher && !hasEvacuations) {
    return;
  }
  const deltas = needsConfig
    ? findDeltasSince(configHistory, message.version)
    : [];
  const wholeConfig = deltas === undefined ? config : undefined;
  emit({
    kind: 'sendMessage',
    to: from,
    message: {
      kind: 'state',
      ageMs,
      revision: fleet.revision,
      version,
      fleet: needsFleet ? createFullUpdate(fleet) : undefined,
      deltas: deltas ?? [],
      configRevision: state.sourceReads.configRevision,
      ...ages,
      hasConfig: wholeConfig !== undefined,
      ...getSentEvacuations(state),
    },
    config: wholeConfig,
  });
}

/** Applies the answer to a pull. */
export function handlePeerState(
  state: MeshState,
  event: MessageEvent,
  message: Extract<LinkMessage, {kind: 'state'}>,
  emit: MeshEmit,
): void {
  const {fleet, sourceReads} = state;
  const {at, from, config} = event;
  if (message.fleet !== undefined && message.fleet.revision > fleet.revision) {
    applyFleetUpdate(state, message.fleet, at, from, emit);
    sourceReads.firstListedAt ??= at;
    if (!Number.isFinite(sourceReads.freshAt)) {
      // It replaces this proxy's own first reading, and is as old as that may be.
      sourceReads.staleListedAt = at;
    }
  }
  if (fleet.revision > 0 && fleet.revision === message.revision) {
    recordPeerAge(state, at, message.ageMs);
  }
  applyPeerEvacuations(state, message.evacuations, at, from, emit);
  const origin = {from, at, readAt: at - message.versionAgeMs};
  applyDeltas(state, message.deltas, origin, emit);
  if (config !== undefined) {
    adoptConfig(state, config, origin, emit);
  }
  confirmVersion(state, message.version, at - message.configAgeMs);
  recordConfigRevision(state, message);
}

/** Removes and broadcasts instances that did not register again in time. */
export function removeExpiredInstances(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const changes = removeExpired(state.fleet, at);
  if (changes.length === 0) {
    return;
  }
  recordFleetChanges(state, changes, at, 'outage', emit);
  const {revision} = state.fleet;
  const removed = changes.map(({id}) => id);
  const later = createLaterChanges(state.fleet.laterChanges);
  const base = Math.max(revision, 1);
  const update = {base, revision, changed: [], removed, later};
  const ageMs = getBoundedKnowledgeAgeMs(state, at);
  broadcastUpdate(state, {fleet: update, ageMs}, true, at, emit);
}
