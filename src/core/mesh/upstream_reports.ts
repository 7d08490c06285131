/** Applies what the upstream's answers report of the upstream itself. */
import {MeshAttempt} from '../../model/mesh.js';
import {markLeaving} from './fleet_view.js';
import {MeshState} from './mesh_state.js';
import {MeshEmit, UpstreamReport} from './mesh_types.js';
import {confirmRateLimit} from './rate_limit.js';

/** Relative change of a limit from which it is logged again. */
const LOGGED_CHANGE_SHARE = 0.25;

/**
 * Applies a report at the owner, before it decides anything further for this
 * upstream. Entries learn it from the load report that goes with the answer.
 * @param attempt - The attempt that was answered.
 * @param report - What the answer's headers say.
 * @param isRegular - The request ran and got a regular answer. Only such an
 *     answer ends a limit: an error may come from a layer that does not name it.
 */
export function applyUpstreamReport(
  state: MeshState,
  at: number,
  {instanceId, requestId}: MeshAttempt,
  report: UpstreamReport,
  isRegular: boolean,
  emit: MeshEmit,
): void {
  if (report.leaving && markLeaving(state.fleet, instanceId)) {
    emit({kind: 'count', counter: 'upstream_report', reason: 'leaving'});
    emit({
      kind: 'log',
      level: 'info',
      part: 'owner',
      message: 'Upstream reports that it is leaving; sending it no new work.',
      fields: {
        requestId,
        instance: instanceId,
        queued: state.work.queue.length,
      },
    });
  }
  if (report.limitPerSecond === 'unreadable') {
    emit({kind: 'count', counter: 'upstream_report', reason: 'unreadable'});
  } else if (report.limitPerSecond !== undefined || isRegular) {
    applyLimit(state, at, instanceId, requestId, report.limitPerSecond, emit);
  }
}

function applyLimit(
  state: MeshState,
  at: number,
  instanceId: string,
  requestId: string,
  perSecond: number | undefined,
  emit: MeshEmit,
): void {
  const {limit, queue} = state.work;
  const previous = limit.perSecond;
  confirmRateLimit(limit, perSecond, at);
  if (!isNotableChange(state.health.loggedLimit, perSecond)) {
    return;
  }
  state.health.loggedLimit = perSecond;
  const isEnd = perSecond === undefined;
  const reason = isEnd ? 'limit_ended' : 'limit_named';
  emit({kind: 'count', counter: 'upstream_report', reason});
  emit({
    kind: 'log',
    level: 'info',
    part: 'owner',
    message: isEnd
      ? 'Upstream no longer limits its request rate.'
      : 'Upstream limits its request rate.',
    fields: {
      requestId,
      instance: instanceId,
      perSecond,
      previous,
      queued: queue.length,
    },
  });
}

function isNotableChange(
  logged: number | undefined,
  next: number | undefined,
): boolean {
  if (logged === undefined || next === undefined) {
    return logged !== next;
  }
  return Math.abs(next - logged) > logged * LOGGED_CHANGE_SHARE;
}
