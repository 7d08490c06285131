/**
 * The root reducer: dispatches each event to the modules that it concerns and
 * collects their effects. The state is modified in place and returned, because
 * copying it for each request would be too expensive.
 */
import {
  advanceConfig,
  pullDuringStartup,
  reduceSourceAnswered,
  watchSource,
} from './config_updates.js';
import {
  handleAttemptFailure,
  handleAttemptResult,
} from './entry/attempt_results.js';
import {acceptCall, cancelCall, sendDelayedAttempts} from './entry/entry.js';
import {
  broadcastLeaving,
  gossipToService,
  reduceDrainRequested,
  reduceUpstreamFailed,
} from './peer_notifications.js';
import {expireSuspects, getNewestSuspects} from './owner/crash_suspects.js';
import {acceptAttempt, cancelAttempt, recordDrainHint} from './owner/owner.js';
import {tickOwner} from './owner/graceful_shutdown.js';
import {handleUpstreamAnswer} from './owner/upstream_results.js';
import {
  reducePeerAsked,
  reducePeerFailed,
  reducePeerReplied,
} from './peer_messages.js';
import {
  ENTROPY_RANGE,
  ProxyState,
  createOwnMemberInfo,
  viewEntry,
  viewOwner,
  viewStartup,
} from './proxy_state.js';
import {
  GOSSIPS_PER_WATCHER_PROBE,
  chooseGossipPeer,
  createGossipRequest,
} from './spread/dissemination.js';
import {refreshDueLeavingVms} from './spread/membership.js';
import {
  findWatcherToProbe,
  recordSourceFailure,
} from './spread/source_watch.js';
import {sendJoinRequests} from './spread/startup.js';
import {Effect, Emit, Event, assertNever} from './types.js';

/** Longest random delay before a starting proxy first calls the source. */
const MAX_STARTUP_DELAY_MS = 500;

/**
 * Applies one event to a proxy's state.
 * @param state - The state, which is modified in place; use only the returned
 *     one afterwards.
 * @param event - The event.
 * @returns The next state, and the effects in the order to carry them out.
 */
export function reduceProxy(
  state: ProxyState,
  event: Event,
): readonly [ProxyState, readonly Effect[]] {
  const effects: Effect[] = [];
  const emit: Emit = effect => {
    effects.push(effect);
  };
  reduceEvent(state, event, emit);
  return [state, effects];
}

function reduceEvent(state: ProxyState, event: Event, emit: Emit): void {
  const {owner, entry} = state;
  switch (event.kind) {
    case 'started':
      return reduceStarted(state, event.at, event.entropy, emit);
    case 'tick':
      return reduceTick(state, event, emit);
    case 'sourceAnswered':
      return reduceSourceAnswered(state, event, emit);
    case 'sourceFailed':
      state.startup.sourceFailed = true;
      recordSourceFailure(state.watch, state.settings, event.at, event.entropy);
      return emit({
        kind: 'count',
        counter: 'source_call',
        reason: 'failed',
      });
    case 'peerAsked':
      return reducePeerAsked(state, event, emit);
    case 'peerReplied':
      return reducePeerReplied(state, event, emit);
    case 'peerFailed':
      return reducePeerFailed(state, event, emit);
    case 'callArrived':
      return acceptCall(
        entry,
        viewEntry(state, event),
        event.callId,
        event.call,
        emit,
      );
    case 'attemptAnswered':
      return handleAttemptResult(
        entry,
        viewEntry(state, event),
        event.attemptId,
        event.result,
        event.load,
        emit,
      );
    case 'attemptFailed':
      return handleAttemptFailure(
        entry,
        viewEntry(state, event),
        event.attemptId,
        event.failure,
        emit,
      );
    case 'callerGone':
      return cancelCall(entry, event.callId, emit);
    case 'attemptArrived':
      return acceptAttempt(
        owner,
        viewOwner(state, event.at),
        event.attempt,
        emit,
      );
    case 'attemptCancelled':
      return cancelAttempt(
        owner,
        viewOwner(state, event.at),
        event.attemptId,
        emit,
      );
    case 'upstreamAnswered':
      return handleUpstreamAnswer(
        owner,
        viewOwner(state, event.at),
        event.attemptId,
        event.answer,
        emit,
      );
    case 'upstreamFailed':
      return reduceUpstreamFailed(state, event, emit);
    case 'upstreamProbed':
      if (recordDrainHint(owner, event.draining, event.at)) {
        gossipToService(state, event.at, emit);
      }
      return;
    case 'drainRequested':
      return reduceDrainRequested(state, event.at, emit);
    default:
      return assertNever(event);
  }
}

function reduceStarted(
  state: ProxyState,
  at: number,
  entropy: number,
  emit: Emit,
): void {
  const {startup, settings, watch} = state;
  const hasNoSeeds = settings.seeds.length === 0;
  watch.nextCallAt = hasNoSeeds
    ? at
    : at + (MAX_STARTUP_DELAY_MS * entropy) / ENTROPY_RANGE;
  sendJoinRequests(startup, viewStartup(state, at), emit);
  watchSource(state, at, emit);
}

function reduceTick(state: ProxyState, event: Event, emit: Emit): void {
  const {at, entropy} = event;
  const {startup, log, settings, spread, membership} = state;
  refreshDueLeavingVms(membership, at);
  if (!startup.ready) {
    sendJoinRequests(startup, viewStartup(state, at), emit);
    pullDuringStartup(state, at, entropy, emit);
  }
  advanceConfig(state, at, emit);
  watchSource(state, at, emit);
  broadcastLeaving(state, at, emit);
  if (at >= spread.nextGossipAt) {
    const {gossipIntervalMs} = settings.dissemination;
    // Between 0.5 and 1.5 intervals, so that proxies do not gossip in lockstep.
    const factor = 0.5 + entropy / ENTROPY_RANGE;
    spread.nextGossipAt = at + gossipIntervalMs * factor;
    const self = createOwnMemberInfo(state, at);
    const turn = Math.floor(spread.gossipCount / GOSSIPS_PER_WATCHER_PROBE);
    const watcherAddress = findWatcherToProbe(
      log.table,
      membership,
      settings,
      turn,
    );
    const address = chooseGossipPeer(
      spread,
      log,
      settings,
      watcherAddress,
      entropy,
    );
    if (address !== undefined) {
      const suspects = getNewestSuspects(state.suspects);
      const request = createGossipRequest(self, membership, suspects);
      emit({kind: 'askPeer', address, request});
    }
    expireSuspects(state.suspects, at);
  }
  sendDelayedAttempts(state.entry, viewEntry(state, event), emit);
  const {size} = state.entry.calls.byId;
  tickOwner(state.owner, viewOwner(state, at), size, emit);
}
