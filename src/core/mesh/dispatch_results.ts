/** Handles the answers and failures of attempts sent to the upstream. */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
import {clearSuspect} from '../owner/crash_suspects.js';
import {createRefusal} from '../refusals.js';
import {Answer, isServerError} from '../types.js';
import {MeshState, getOwnInstance} from './mesh_state.js';
import {
  AnswerFacts,
  DispatchFailure,
  MeshEmit,
  UpstreamReport,
} from './mesh_types.js';
import {
  deferLostRun,
  markUpstreamDown,
  markUpstreamUp,
} from './crash_detection.js';
import {
  dispatchWaiting,
  finishRun,
  refuseAllWaiting,
  removeRun,
} from './owner_attempts.js';
import {applyUpstreamReport} from './upstream_reports.js';
import {recordAnswerBytes} from './link_backlog.js';
import {recordFinish} from './finish_errors.js';
import {recordOutcome, recordRunTime} from './run_estimates.js';
import {RunningAttempt} from './work_queue.js';

/** Retry delay advised after the upstream rejected a request or connection. */
const REJECTED_RETRY_AFTER_MS = 150;

/** Handles a complete answer of the upstream. */
export function handleUpstreamAnswer(
  state: MeshState,
  at: number,
  attemptId: string,
  answer: Answer,
  facts: AnswerFacts,
  emit: MeshEmit,
): void {
  const run = removeRun(state, attemptId);
  if (run === undefined) {
    return;
  }
  state.lastWorkAt = at;
  state.health.answeredAt = at;
  markUpstreamUp(state, at, emit);
  if (facts.report !== undefined && !facts.otherInstance) {
    const isRegular = !facts.notRun && !isServerError(answer);
    const {report} = facts;
    applyUpstreamReport(state, at, run.attempt, report, isRegular, emit);
  }
  if (facts.otherInstance) {
    handleReplacedInstance(state, at, run, emit);
  } else if (facts.notRun) {
    handleShedRequest(state, at, run, facts.retryAfterMs, emit);
  } else {
    const failed = isServerError(answer);
    recordOutcome(state.estimates, failed);
    recordCompletedRun(state, at, run, failed, emit);
    recordAnswerBytes(state, run, answer.body.byteLength, failed, at);
    finishRun(state, at, run, answer, emit);
  }
  dispatchWaiting(state, at, emit);
}

/**
 * Handles a request that the upstream shed although it had a free slot by this
 * proxy's count.
 */
function handleShedRequest(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  retryAfterMs = REJECTED_RETRY_AFTER_MS,
  emit: MeshEmit,
): void {
  recordOutcome(state.estimates, true);
  emit({kind: 'count', counter: 'upstream_failed', reason: 'shed'});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message:
      'Upstream rejected the request as overloaded; check its registered slots.',
    fields: {
      requestId: run.attempt.requestId,
      route: run.attempt.route,
      instance: run.attempt.instanceId,
      tookMs: Math.round(at - run.startedAt),
      running: state.work.running.size,
      slots: getOwnInstance(state)?.slots,
      retryAfterMs,
    },
  });
  const refusal = createRefusal('queue_full', retryAfterMs);
  finishRun(state, at, run, refusal, emit);
}

/** Updates estimates, crash suspicion and metrics after a complete answer. */
function recordCompletedRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  failed: boolean,
  emit: MeshEmit,
): void {
  const tookMs = at - run.startedAt;
  if (!failed) {
    recordRunTime(state.estimates, run.attempt, tookMs);
    const {finishErrors} = state.work;
    const errorMs = at - (run.expectedEndAt ?? at);
    recordFinish(finishErrors, run.attempt.routeAimMs, errorMs);
  }
  clearSuspect(state.suspects, run.attempt.fingerprint, effect => {
    if (effect.kind === 'count') {
      emit({kind: 'count', counter: 'crash_suspected', reason: effect.reason});
    }
  });
  emit({kind: 'observe', histogram: 'run_seconds', seconds: tookMs / 1_000});
}

/**
 * Handles an answer of another instance. The address was reassigned, so no
 * further attempt for the earlier instance may be sent there.
 */
function handleReplacedInstance(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  emit: MeshEmit,
): void {
  state.health.replacedId = run.attempt.instanceId;
  emit({kind: 'count', counter: 'upstream_failed', reason: 'other_instance'});
  emit({
    kind: 'log',
    level: 'warn',
    part: 'owner',
    message:
      'Address belongs to another instance; refusing work for the earlier one.',
    fields: {
      requestId: run.attempt.requestId,
      instance: run.attempt.instanceId,
      revision: state.fleet.revision,
    },
  });
  finishRun(state, at, run, createRefusal('wrong_home'), emit, false);
  refuseAllWaiting(state, at, 'wrong_home', emit);
}

/** Handles the failure of an attempt sent to the upstream. */
export function handleDispatchFailure(
  state: MeshState,
  at: number,
  attemptId: string,
  failure: DispatchFailure,
  report: UpstreamReport | undefined,
  emit: MeshEmit,
): void {
  const run = state.work.running.get(attemptId);
  if (run === undefined) {
    return;
  }
  if (report !== undefined) {
    applyUpstreamReport(state, at, run.attempt, report, false, emit);
  }
  emit({kind: 'count', counter: 'upstream_failed', reason: failure});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: 'Request to the upstream failed.',
    fields: {
      requestId: run.attempt.requestId,
      attemptId,
      failure,
      ranMs: Math.round(at - run.startedAt),
      instance: run.attempt.instanceId,
    },
  });
  if (failure === 'connect') {
    removeRun(state, attemptId);
    recordOutcome(state.estimates, true);
    const refusal = createRefusal('upstream_down', REJECTED_RETRY_AFTER_MS);
    finishRun(state, at, run, refusal, emit, false);
    markUpstreamDown(state, at, emit);
    return;
  }
  if (failure === 'reset') {
    deferLostRun(state, at, run, emit);
    return;
  }
  removeRun(state, attemptId);
  recordOutcome(state.estimates, failure !== 'timeout');
  const kind = failure === 'foreign-answer' ? 'truncated' : failure;
  finishRun(state, at, run, createUnknownOutcomeRefusal(kind), emit);
  dispatchWaiting(state, at, emit);
}
