/** Handles the answers and failures of attempts sent to the upstream. */
import {createUnknownOutcomeRefusal} from '../failure_refusals.js';
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
  createLostRun,
  deferBrokenRun,
  markUpstreamDown,
  markUpstreamUp,
} from './crash_detection.js';
import {finishAnsweredRun} from './completed_runs.js';
import {recordUpstreamCrash} from './crash_records.js';
import {
  dispatchWaiting,
  finishRun,
  refuseAllWaiting,
  removeRun,
} from './owner_attempts.js';
import {applyUpstreamReport} from './upstream_reports.js';
import {recordOutcome} from './run_estimates.js';
import {forgetBrokenRuns, recordAbandonedRun} from './upstream_health.js';
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
  const run = state.work.running.get(attemptId);
  if (run === undefined) {
    return;
  }
  state.lastWorkAt = at;
  if (answer.unframed === true && !facts.notRun && !facts.otherInstance) {
    reportAnswer(state, at, run, answer, facts, emit);
    deferBrokenRun(state, at, run, answer, emit);
    return;
  }
  removeRun(state, attemptId);
  state.health.answeredAt = at;
  markUpstreamUp(state, at, emit);
  // It ran after what was broken before this run began.
  forgetBrokenRuns(state.health, run.startedAt);
  reportAnswer(state, at, run, answer, facts, emit);
  if (facts.otherInstance) {
    handleReplacedInstance(state, at, run, emit);
  } else if (facts.notRun) {
    handleShedRequest(state, at, run, facts.retryAfterMs, emit);
  } else {
    finishAnsweredRun(state, at, run, answer, emit);
  }
  dispatchWaiting(state, at, emit);
}

/** Applies what an answer reports of its upstream. */
function reportAnswer(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  answer: Answer,
  {report, notRun, otherInstance}: AnswerFacts,
  emit: MeshEmit,
): void {
  if (report !== undefined && !otherInstance) {
    const isRegular = !notRun && !isServerError(answer);
    applyUpstreamReport(state, at, run.attempt, report, isRegular, emit);
  }
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
    if (!state.health.probing) {
      recordUpstreamCrash(state, at, emit);
    }
    markUpstreamDown(state, at, emit);
    return;
  }
  const kind = failure === 'foreign-answer' ? 'truncated' : failure;
  const refusal = createUnknownOutcomeRefusal(kind);
  if (kind === 'reset' || kind === 'truncated') {
    deferBrokenRun(state, at, run, refusal, emit);
    return;
  }
  removeRun(state, attemptId);
  recordAbandonedRun(state.health, createLostRun(run, at));
  recordOutcome(state.estimates, failure !== 'timeout');
  finishRun(state, at, run, refusal, emit);
  dispatchWaiting(state, at, emit);
}
