/**
 * Asks peers for what updates should have brought. A peer may tell of a version or a
 * list that this proxy lacks; or no update comes at all, although readers send one
 * with each reading of the list: a relay does not run, or a connection carries
 * nothing.
 */
import {MeshState, isRunning} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {getConfigAges} from './config_freshness.js';
import {getBoundedKnowledgeAgeMs} from './known_state.js';

/**
 * Time for the answer to a pull. Until then no other peer is asked for the same: the
 * answers may be large, and would delay each other on a slow link.
 */
const PULL_TIMEOUT_MS = 300;

/** Time without an update, beyond the interval of the readings, that is too long. */
const SILENCE_MS = 350;

/**
 * Bounds of the interval between questions. It doubles while none helps, after the
 * first ones, which may all have met peers that do not run.
 */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 2_000;
const QUICK_QUESTIONS = 3;

/** What a peer has told that it has. */
interface HeardState {
  readonly from: string;
  readonly version: number;
  readonly revision: number;
}

export interface RepairState {
  /** The latest that a peer has told of. */
  heard?: HeardState;
  /** When this proxy last asked for it. */
  pulledAt: number;
  /** Earliest time of the next question because of silence. */
  nextAt: number;
  /** Questions since an update last arrived. */
  asked: number;
}

/** Asks a peer for what it has told of, unless an answer is on its way. */
export function pullHeardState(
  state: MeshState,
  heard: HeardState,
  at: number,
  emit: MeshEmit,
): void {
  if (isAhead(state, heard)) {
    state.repair.heard = heard;
  }
  pullIfBehind(state, at, emit);
}

function isAhead({config, fleet}: MeshState, heard: HeardState): boolean {
  const version = config?.version ?? 0;
  return heard.version > version || heard.revision > fleet.revision;
}

/**
 * Reports whether the list is so recent that the next regular update brings what a
 * peer has more of; the whole list is not worth asking for.
 */
export function isListCurrent(
  {sourceReads, settings}: MeshState,
  at: number,
): boolean {
  const {freshAt, staleListedAt} = sourceReads;
  const ageMs = at - Math.max(freshAt, staleListedAt);
  return ageMs <= settings.readIntervalMs + SILENCE_MS;
}

/** Asks for a version or list that was heard of and has not arrived. */
export function pullIfBehind(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {repair} = state;
  const {heard} = repair;
  if (heard === undefined) {
    return;
  }
  if (!isAhead(state, heard)) {
    repair.heard = undefined;
    repair.pulledAt = -Infinity;
  } else if (at - repair.pulledAt >= PULL_TIMEOUT_MS) {
    repair.pulledAt = at;
    sendPull(state, heard.from, at, emit);
  }
}

/** Asks a peer of this zone and one of another, if no update has come in time. */
export function pullIfSilent(
  state: MeshState,
  at: number,
  entropy: number,
  emit: MeshEmit,
): void {
  const {repair, settings, fleet} = state;
  if (isListCurrent(state, at)) {
    repair.asked = 0;
    return;
  }
  if (fleet.revision === 0 || at < repair.nextAt || state.stopped) {
    return;
  }
  const intervalMs = Math.min(
    MAX_INTERVAL_MS,
    MIN_INTERVAL_MS * 2 ** Math.max(0, repair.asked - QUICK_QUESTIONS),
  );
  repair.asked += 1;
  repair.nextAt = at + intervalMs;
  const running = [...state.peers].filter(([, peer]) => isRunning(peer));
  for (const isOwnZone of [true, false]) {
    const addresses = running
      .filter(([, {zone}]) => (zone === settings.zone) === isOwnZone)
      .map(([address]) => address);
    if (addresses.length > 0) {
      const to = addresses[(entropy + repair.asked) % addresses.length];
      emit({kind: 'count', counter: 'update_repaired', reason: 'silence'});
      sendPull(state, to, at, emit);
    }
  }
}

/** Asks a peer for what is newer than the state of this proxy. */
function sendPull(
  state: MeshState,
  to: string,
  at: number,
  emit: MeshEmit,
): void {
  const message = {
    kind: 'pull',
    version: state.config?.version ?? 0,
    revision: state.fleet.revision,
    ageMs: getBoundedKnowledgeAgeMs(state, at),
    configAgeMs: getConfigAges(state, at).configAgeMs,
  } as const;
  emit({kind: 'sendMessage', to, message});
}
