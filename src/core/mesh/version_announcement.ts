/**
 * Tells peers of an adopted version beside its regular update. Load pattern: many
 * proxies of a large zone stand still, among them the relays of both ways of an update;
 * those behind them hear of the version from proxies that other relays have reached.
 */
import {getNeighbours} from './broadcast_tree.js';
import {getConfigAges} from './config_freshness.js';
import {getSentEvacuations} from './evacuation_updates.js';
import {getBoundedKnowledgeAgeMs} from './known_state.js';
import {MeshState, isRunning} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';

/**
 * Tells the next proxy of this zone and one of another zone which version is in
 * force and which zones are evacuated, a moment after either changed here.
 */
export function announceVersionIfDue(
  state: MeshState,
  at: number,
  entropy: number,
  emit: MeshEmit,
): void {
  const {configFreshness, config, settings, sourceReads} = state;
  const {announceAt} = configFreshness;
  if (announceAt === undefined || at < announceAt) {
    return;
  }
  configFreshness.announceAt = undefined;
  const remote = [...state.peers]
    .filter(([, peer]) => peer.zone !== settings.zone && isRunning(peer))
    .map(([address]) => address);
  const targets = [
    ...getNeighbours(state).slice(0, 1),
    ...(remote.length > 0 ? [remote[entropy % remote.length]] : []),
  ];
  for (const to of new Set(targets)) {
    const message = {
      kind: 'news',
      forwardTo: [],
      ageMs: getBoundedKnowledgeAgeMs(state, at),
      // Tells nothing of the list.
      fleet: {base: 0, revision: 0, changed: [], removed: []},
      version: config?.version ?? 0,
      configRevision: sourceReads.configRevision,
      ...getConfigAges(state, at),
      ...getSentEvacuations(state),
    } as const;
    emit({kind: 'sendMessage', to, message});
  }
}
