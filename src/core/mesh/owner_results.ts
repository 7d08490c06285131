/** Takes what the upstream made of the dispatched attempts. */
import {createLostRefusal} from '../failures.js';
import {clearSuspect, noteCrash} from '../owner/crash_suspects.js';
import {Refusal, createRefusal} from '../refusals.js';
import {Answer} from '../types.js';
import {MeshState} from './mesh_state.js';
import {AnswerFacts, DispatchFailure, MeshEmit} from './mesh_types.js';
import {finishMeshAttempt, refuseQueue, startWaiting} from './owner_flow.js';
import {learnEnd, learnRun} from './run_estimates.js';
import {takeLostRuns, tryStartProbe} from './upstream_health.js';
import {RunningAttempt} from './work_queue.js';

/** Wait advised after the upstream itself turned a request away. */
const SHED_RETRY_AFTER_MS = 150;

/** First status by which an upstream says that it failed. */
const SERVER_ERROR = 500;

function endRun(
  state: MeshState,
  attemptId: string,
): RunningAttempt | undefined {
  const run = state.work.running.get(attemptId);
  state.work.running.delete(attemptId);
  return run;
}

/** Takes the upstream's whole answer. */
export function takeRunAnswer(
  state: MeshState,
  at: number,
  attemptId: string,
  answer: Answer,
  facts: AnswerFacts,
  emit: MeshEmit,
): void {
  const run = endRun(state, attemptId);
  if (run === undefined) {
    return;
  }
  state.lastWorkAt = at;
  state.health.answeredAt = at;
  markUp(state, emit);
  if (facts.otherInstance) {
    takeOtherInstance(state, at, run, emit);
  } else if (facts.notRun) {
    learnEnd(state.estimates, true);
    finishRun(state, at, run, createShedRefusal(), emit);
  } else {
    const failed = answer.status >= SERVER_ERROR;
    learnEnd(state.estimates, failed);
    learnFromRun(state, at, run, failed, emit);
    finishRun(state, at, run, answer, emit);
  }
  startWaiting(state, at, emit);
}

function createShedRefusal(): Refusal {
  return createRefusal('queue_full', SHED_RETRY_AFTER_MS);
}

function learnFromRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  failed: boolean,
  emit: MeshEmit,
): void {
  const tookMs = at - run.startedAt;
  if (!failed) {
    learnRun(state.estimates, run.attempt.routeAimMs, tookMs);
  }
  clearSuspect(state.suspects, run.attempt.fingerprint, effect => {
    if (effect.kind === 'count') {
      emit({kind: 'count', counter: 'crash_suspected', reason: effect.reason});
    }
  });
  emit({kind: 'observe', histogram: 'run_seconds', seconds: tookMs / 1_000});
}

/** The address belongs to another upstream now, so nothing more goes there. */
function takeOtherInstance(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  emit: MeshEmit,
): void {
  state.health.otherThan = run.attempt.instanceId;
  emit({kind: 'count', counter: 'upstream_failed', reason: 'other_instance'});
  emit({
    kind: 'log',
    level: 'warn',
    part: 'owner',
    message: 'Another instance has the address; refusing work for the old one.',
    fields: {
      requestId: run.attempt.requestId,
      instance: run.attempt.instanceId,
      revision: state.fleet.revision,
    },
  });
  finishRun(state, at, run, createRefusal('wrong_home'), emit, false);
  refuseQueue(state, at, 'wrong_home', emit);
}

function finishRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  result: Answer | Refusal,
  emit: MeshEmit,
  reachedUpstream = true,
): void {
  const {attemptId} = run.attempt;
  finishMeshAttempt(state, at, attemptId, {result, reachedUpstream}, emit);
}

/** Takes the failure of a dispatched attempt. */
export function takeRunFailure(
  state: MeshState,
  at: number,
  attemptId: string,
  failure: DispatchFailure,
  emit: MeshEmit,
): void {
  const run = state.work.running.get(attemptId);
  if (run === undefined) {
    return;
  }
  emit({kind: 'count', counter: 'upstream_failed', reason: failure});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Dispatch failed.',
    fields: {
      requestId: run.attempt.requestId,
      attemptId,
      failure,
      ranMs: Math.round(at - run.startedAt),
      instance: run.attempt.instanceId,
    },
  });
  if (failure === 'connect') {
    endRun(state, attemptId);
    learnEnd(state.estimates, true);
    const refusal = createRefusal('upstream_down', SHED_RETRY_AFTER_MS);
    finishRun(state, at, run, refusal, emit, false);
    markDown(state, at, emit);
    return;
  }
  if (failure === 'reset') {
    holdLost(state, at, run, emit);
    return;
  }
  endRun(state, attemptId);
  learnEnd(state.estimates, failure !== 'timeout');
  const kind = failure === 'foreign-answer' ? 'truncated' : failure;
  finishRun(state, at, run, createLostRefusal(kind), emit);
  startWaiting(state, at, emit);
}

/**
 * Keeps a cut run until a connection attempt tells whether the upstream
 * crashed: its request must not be repeated before others know of the crash.
 */
function holdLost(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  emit: MeshEmit,
): void {
  const {attemptId, fingerprint} = run.attempt;
  const {suspect} = run;
  state.health.lost.push({attemptId, fingerprint, suspect, at});
  if (tryStartProbe(state.health, at, true)) {
    emit({kind: 'probeConnect'});
  }
}

/** Takes the end of a connection attempt to the upstream. */
export function takeConnectProbe(
  state: MeshState,
  at: number,
  accepted: boolean,
  emit: MeshEmit,
): void {
  const {health} = state;
  health.probing = false;
  const held = [...health.lost];
  if (accepted) {
    health.lost = [];
    markUp(state, emit);
  } else {
    noteCrashes(state, at, emit);
    markDown(state, at, emit);
  }
  for (const {attemptId} of held) {
    const run = endRun(state, attemptId);
    if (run !== undefined) {
      learnEnd(state.estimates, true);
      finishRun(state, at, run, createLostRefusal('reset'), emit);
    }
  }
  startWaiting(state, at, emit);
}

function markUp(state: MeshState, emit: MeshEmit): void {
  if (!state.health.down) {
    return;
  }
  state.health.down = false;
  state.estimates.failing = 0;
  tellUpstreamState(state, true, emit);
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Upstream accepts connections again.',
    fields: {instance: state.health.ownId},
  });
}

function markDown(state: MeshState, at: number, emit: MeshEmit): void {
  const {health} = state;
  if (!health.down) {
    health.down = true;
    tellUpstreamState(state, false, emit);
    emit({
      kind: 'log',
      level: 'warn',
      part: 'owner',
      message: 'Upstream refused the connection; refusing its work.',
      fields: {
        instance: health.ownId,
        queued: state.work.queue.length,
        answeredMsAgo: Math.round(at - health.answeredAt),
      },
    });
  }
  refuseQueue(state, at, 'upstream_down', emit);
}

function tellUpstreamState(
  state: MeshState,
  up: boolean,
  emit: MeshEmit,
): void {
  const {ownId: instanceId} = state.health;
  if (instanceId === undefined) {
    return;
  }
  const message = {kind: 'upstreamState', instanceId, up} as const;
  for (const to of state.peers.keys()) {
    emit({kind: 'sendMessage', to, message});
  }
}

/** Suspects every request that was cut when the upstream went down. */
function noteCrashes(state: MeshState, at: number, emit: MeshEmit): void {
  const {health, settings, suspects} = state;
  const lost = takeLostRuns(health, at);
  if (lost.length === 0) {
    return;
  }
  health.crashCount += 1;
  const crash = `${settings.address}/${settings.startedAt}/${health.crashCount}`;
  const expiresAt = at + settings.quarantineMs;
  for (const {fingerprint, suspect} of lost) {
    const sole = suspect || lost.length === 1;
    noteCrash(suspects, fingerprint, {crash, sole, expiresAt}, effect => {
      if (effect.kind === 'count') {
        const {reason} = effect;
        emit({kind: 'count', counter: 'crash_suspected', reason});
      } else if (effect.kind === 'log') {
        const {level, message} = effect;
        emit({kind: 'log', level, part: 'crash', message, fields: {crash}});
      }
    });
  }
  tellSuspects(
    state,
    lost.map(({fingerprint}) => fingerprint),
    emit,
  );
}

/** Crashes are rare, so each proxy with an open link is told at once. */
function tellSuspects(
  state: MeshState,
  fingerprints: readonly string[],
  emit: MeshEmit,
): void {
  const known = state.suspects.byFingerprint;
  const suspects = [...new Set(fingerprints)]
    .flatMap(fingerprint => known.get(fingerprint) ?? [])
    .slice(0, 64);
  for (const to of state.peers.keys()) {
    emit({kind: 'sendMessage', to, message: {kind: 'suspects', suspects}});
  }
}
