/** Takes what the upstream made of the dispatched attempts. */
import {createUnknownOutcomeRefusal} from '../failures.js';
import {clearSuspect} from '../owner/crash_suspects.js';
import {createRefusal} from '../refusals.js';
import {Answer, isServerError} from '../types.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {AnswerFacts, DispatchFailure, MeshEmit} from './mesh_types.js';
import {holdLost, markDown, markUp} from './owner_crashes.js';
import {endRun, finishRun, refuseQueue, startWaiting} from './owner_flow.js';
import {learnEnd, learnRun} from './run_estimates.js';
import {RunningAttempt} from './work_queue.js';

/** Wait advised after the upstream itself turned a request away. */
const SHED_RETRY_AFTER_MS = 150;

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
    takeShed(state, at, run, emit);
  } else {
    const failed = isServerError(answer);
    learnEnd(state.estimates, failed);
    learnFromRun(state, at, run, failed, emit);
    finishRun(state, at, run, answer, emit);
  }
  startWaiting(state, at, emit);
}

/** The upstream had no room although its slots were not all in use here. */
function takeShed(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  emit: MeshEmit,
): void {
  learnEnd(state.estimates, true);
  emit({kind: 'count', counter: 'upstream_failed', reason: 'shed'});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Upstream turned the request away.',
    fields: {
      requestId: run.attempt.requestId,
      route: run.attempt.route,
      instance: run.attempt.instanceId,
      tookMs: Math.round(at - run.startedAt),
      running: state.work.running.size,
      slots: getOwnInstance(state)?.slots,
    },
  });
  const refusal = createRefusal('queue_full', SHED_RETRY_AFTER_MS);
  finishRun(state, at, run, refusal, emit);
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
    learnRun(state.estimates, run.attempt, tookMs);
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
  finishRun(state, at, run, createUnknownOutcomeRefusal(kind), emit);
  startWaiting(state, at, emit);
}
