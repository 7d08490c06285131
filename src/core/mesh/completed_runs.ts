/** Finishes runs that the upstream has answered, and learns from them. */
import {Answer, isServerError} from '../types.js';
import {clearCompletedRequest} from './crash_records.js';
import {recordFinish} from './finish_errors.js';
import {recordAnswerBytes} from './link_backlog.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';
import {finishRun} from './owner_attempts.js';
import {recordOutcome, recordRunTime} from './run_estimates.js';
import {RunningAttempt} from './work_queue.js';

/** Finishes a run whose whole answer has arrived. */
export function finishAnsweredRun(
  state: MeshState,
  at: number,
  run: RunningAttempt,
  answer: Answer,
  emit: MeshEmit,
): void {
  const failed = isServerError(answer);
  recordOutcome(state.estimates, failed);
  recordCompletedRun(state, at, run, failed, emit);
  recordAnswerBytes(state, run, answer.body.byteLength, failed, at);
  finishRun(state, at, run, answer, emit);
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
  clearCompletedRequest(state, run.attempt.fingerprint, emit);
  emit({kind: 'observe', histogram: 'run_seconds', seconds: tookMs / 1_000});
}
