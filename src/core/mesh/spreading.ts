/** Tells peers what is new, and takes what they tell. */
import {ConfigDelta, FleetNews, LinkMessage} from '../../model/mesh.js';
import {adoptConfig, getKnownAgeMs, noteChanges, takeNews} from './belief.js';
import {tryApplyConfigDelta} from './config_delta.js';
import {expireMissing, listFleet} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit, MeshEvent} from './mesh_types.js';
import {getNewsTargets} from './news_tree.js';

type Received = Extract<MeshEvent, {kind: 'messageReceived'}>;
type NewsMessage = Extract<LinkMessage, {kind: 'news'}>;

/** Tells peers what the source said, or that nothing has changed there. */
export function tellNews(
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
