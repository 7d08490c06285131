/** Broadcasts updates to peers and applies those of peers. */
import {ConfigDelta, FleetUpdate, LinkMessage} from '../../model/mesh.js';
import {
  adoptConfig,
  applyFleetUpdate,
  getBoundedKnowledgeAgeMs,
  recordFleetChanges,
} from './known_state.js';
import {confirmVersion, getConfigAges} from './config_freshness.js';
import {tryApplyConfigDelta} from './config_delta.js';
import {createFullUpdate, removeExpired} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit, MeshEvent} from './mesh_types.js';
import {getUpdateTargets} from './broadcast_tree.js';

type MessageEvent = Extract<MeshEvent, {kind: 'messageReceived'}>;
type UpdateMessage = Extract<LinkMessage, {kind: 'news'}>;

/**
 * Sends an update along the zone's tree, and to the other zones if it was created
 * here. An update without changes renews the knowledge age of peers.
 * @param received - The message to forward; undefined: it was created here.
 */
export function broadcastUpdate(
  state: MeshState,
  fleet: FleetUpdate,
  delta: ConfigDelta | undefined,
  at: number,
  ageMs: number,
  received: UpdateMessage | undefined,
  emit: MeshEmit,
): void {
  const {settings, sourceReads} = state;
  const entersZone = received === undefined || received.relay;
  const root = entersZone ? settings.address : received.root;
  const isOrigin = received === undefined;
  sourceReads.broadcastCount += 1;
  const {children, relays} = getUpdateTargets(
    state,
    root,
    isOrigin,
    sourceReads.broadcastCount,
  );
  const version = state.config?.version ?? 0;
  const message: UpdateMessage = {
    kind: 'news',
    root,
    relay: false,
    ageMs,
    fleet,
    version,
    configRevision: sourceReads.configRevision,
    ...getConfigAges(state, at),
    delta,
  };
  for (const to of children) {
    emit({kind: 'sendMessage', to, message});
  }
  for (const to of relays) {
    emit({kind: 'sendMessage', to, message: {...message, relay: true}});
  }
}

/** Applies a peer's update, pulls what it shows to be missing, and forwards it. */
export function handlePeerUpdate(
  state: MeshState,
  event: MessageEvent,
  message: UpdateMessage,
  emit: MeshEmit,
): void {
  const {fleet, sourceReads} = state;
  const {at, from} = event;
  const hasGap = message.fleet.base > fleet.revision || fleet.revision === 0;
  if (!hasGap && message.fleet.revision >= fleet.revision) {
    applyFleetUpdate(state, message.fleet, at, from, emit);
    sourceReads.freshAt = Math.max(sourceReads.freshAt, at - message.ageMs);
  }
  if (message.delta !== undefined) {
    const config = tryApplyConfigDelta(state.config, message.delta);
    if (config !== undefined) {
      const readAt = at - message.versionAgeMs;
      adoptConfig(state, config, {from, at, readAt}, emit);
    }
  }
  confirmVersion(state, message.version, at - message.configAgeMs);
  const isBehind = message.version > (state.config?.version ?? 0);
  recordConfigRevision(state, message);
  if (hasGap || isBehind) {
    sendPull(state, from, emit);
  }
  broadcastUpdate(
    state,
    message.fleet,
    message.delta,
    at,
    message.ageMs,
    message,
    emit,
  );
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

/** Asks a peer for what is newer than the state of this proxy. */
export function sendPull(state: MeshState, to: string, emit: MeshEmit): void {
  const version = state.config?.version ?? 0;
  const {revision} = state.fleet;
  emit({kind: 'sendMessage', to, message: {kind: 'pull', version, revision}});
}

/** Answers a pull with what the peer lacks, if anything. */
export function answerPull(
  state: MeshState,
  from: string,
  message: Extract<LinkMessage, {kind: 'pull'}>,
  at: number,
  emit: MeshEmit,
): void {
  const {fleet, config} = state;
  const needsFleet = fleet.revision > message.revision;
  const needsConfig = (config?.version ?? 0) > message.version;
  if (!needsFleet && !needsConfig) {
    return;
  }
  emit({
    kind: 'sendMessage',
    to: from,
    message: {
      kind: 'state',
      ageMs: getBoundedKnowledgeAgeMs(state, at),
      fleet: needsFleet ? createFullUpdate(fleet) : undefined,
      configRevision: state.sourceReads.configRevision,
      ...getConfigAges(state, at),
      hasConfig: needsConfig,
    },
    config: needsConfig ? config : undefined,
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
    sourceReads.freshAt = Math.max(sourceReads.freshAt, at - message.ageMs);
    sourceReads.firstListedAt ??= at;
  }
  if (config !== undefined) {
    const readAt = at - message.versionAgeMs;
    adoptConfig(state, config, {from, at, readAt}, emit);
    confirmVersion(state, config.version, at - message.configAgeMs);
    const {version} = config;
    const {configRevision} = message;
    recordConfigRevision(state, {version, configRevision});
  }
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
  const update = {base: Math.max(revision, 1), revision, changed: [], removed};
  const ageMs = getBoundedKnowledgeAgeMs(state, at);
  broadcastUpdate(state, update, undefined, at, ageMs, undefined, emit);
}
