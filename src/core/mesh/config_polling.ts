/**
 * Decides which proxies wait at the source for the next version. The proxy that
 * reads the list of upstreams appoints two, itself among them where no other has a
 * faster link: a version that one of them does not hear of, or cannot send on,
 * reaches the fleet through the other. Pollers report their answered polls to the
 * proxy that appointed them, which replaces one that falls silent.
 *
 * The source may answer the reader and none of the pollers. So the reader, which it has
 * just answered, waits itself until the first poller has reported an answered poll, and
 * again once the next report is overdue.
 */
import {Appointment} from '../../model/mesh.js';
import {rankByRendezvous} from '../hashing.js';
import {MeshState, isRunning} from './mesh_state.js';
import {MeshEmit} from './mesh_types.js';

/** Number of proxies that wait for the next version. */
const POLLERS = 2;

/**
 * Longest waits of the first and of the other pollers. The first one's also bounds
 * how long a version is late when the answers to both polls are lost.
 */
export const FIRST_WAIT_MS = 1_000;
const OTHER_WAIT_MS = 3_000;

/** Time beyond the wait within which a poll must have been reported. */
const REPORT_MARGIN_MS = 600;

/**
 * Time beyond the interval of the readings for which an appointment holds; readers
 * repeat it with each of them, and one may fail.
 */
const APPOINTMENT_MARGIN_MS = 1_000;

/** Time for which a poller that fell silent is not appointed again. */
const EXCLUDED_MS = 10_000;

export interface PollingState {
  appointment?: Appointment;
  appointedAt: number;
  /** When each poller was appointed by this proxy, or last reported to it. */
  readonly reportedAt: Map<string, number>;
  /** When each poller last reported an answered poll to this proxy. */
  readonly answeredAt: Map<string, number>;
  /** Pollers that fell silent, and until when they are excluded. */
  readonly excludedUntil: Map<string, number>;
}

export function createPollingState(): PollingState {
  return {
    appointedAt: -Infinity,
    reportedAt: new Map(),
    answeredAt: new Map(),
    excludedUntil: new Map(),
  };
}

/** Records who waits for the next version. */
export function recordAppointment(
  {polling}: MeshState,
  appointment: Appointment,
  at: number,
): void {
  polling.appointment = appointment;
  polling.appointedAt = at;
}

/**
 * Gets how long this proxy's polls wait.
 * @returns Milliseconds; undefined if it is not to poll.
 */
export function getPollWaitMs(
  state: MeshState,
  at: number,
): number | undefined {
  const {polling, settings} = state;
  const {appointment, appointedAt} = polling;
  const lifetimeMs = settings.readIntervalMs + APPOINTMENT_MARGIN_MS;
  if (appointment === undefined || at - appointedAt > lifetimeMs) {
    return undefined;
  }
  const position = appointment.pollers.indexOf(settings.address);
  if (position >= 0) {
    return getWaitMs(position);
  }
  const isReplacing =
    appointment.by === settings.address &&
    !isFirstPollerAnswered(polling, appointment, at);
  return isReplacing ? FIRST_WAIT_MS : undefined;
}

/** Reports whether the source answers the first poller, as its reports show. */
function isFirstPollerAnswered(
  {answeredAt}: PollingState,
  {pollers: [first]}: Appointment,
  at: number,
): boolean {
  const since = answeredAt.get(first);
  return since !== undefined && at - since <= getReportTimeoutMs(0);
}

/** Gets the time within which a poller of a position must report again. */
function getReportTimeoutMs(position: number): number {
  return getWaitMs(position) + REPORT_MARGIN_MS;
}

function getWaitMs(position: number): number {
  return position === 0 ? FIRST_WAIT_MS : OTHER_WAIT_MS;
}

/** Records that a poll of a proxy was answered. */
export function recordPoll(
  {polling}: MeshState,
  address: string,
  at: number,
): void {
  polling.reportedAt.set(address, at);
  polling.answeredAt.set(address, at);
}

/** Why a proxy is no longer to poll. */
type ExclusionReason = 'poll_failed' | 'poll_unreported';

/** Records that a poll of a proxy failed; another one is to take its place. */
export function excludePoller(
  {polling}: MeshState,
  address: string,
  reason: ExclusionReason,
  at: number,
  emit: MeshEmit,
): void {
  emit({kind: 'count', counter: 'poller_excluded', reason});
  emit({
    kind: 'log',
    level: 'info',
    part: 'source',
    message: 'Poller is replaced: the source does not answer it.',
    fields: {
      address,
      reason,
      reportedAgoMs: Math.round(at - (polling.reportedAt.get(address) ?? at)),
      first: polling.appointment?.pollers[0],
    },
  });
  polling.excludedUntil.set(address, at + EXCLUDED_MS);
  polling.reportedAt.delete(address);
  polling.answeredAt.delete(address);
}

/**
 * Appoints the pollers, as the reader of the list. Keeps those appointed before as
 * long as their polls are answered, and replaces silent ones.
 * @returns The appointment, for the other proxies.
 */
export function appointPollers(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): Appointment {
  const {polling, settings} = state;
  excludeSilentPollers(state, at, emit);
  const candidates = orderCandidates(state, at);
  const [first = settings.address] = candidates;
  const others = candidates.filter(address => address !== first);
  const remote = others.find(a => getZone(state, a) !== getZone(state, first));
  const pollers = [first, ...[remote, ...others].filter(isDefined)];
  const appointment = {
    by: settings.address,
    pollers: [...new Set(pollers)].slice(0, POLLERS),
  };
  for (const address of [...polling.reportedAt.keys()]) {
    if (!appointment.pollers.includes(address)) {
      polling.reportedAt.delete(address);
      polling.answeredAt.delete(address);
    }
  }
  for (const address of appointment.pollers) {
    if (!polling.reportedAt.has(address)) {
      polling.reportedAt.set(address, at);
    }
  }
  recordAppointment(state, appointment, at);
  return appointment;
}

function excludeSilentPollers(
  state: MeshState,
  at: number,
  emit: MeshEmit,
): void {
  const {polling, settings} = state;
  const {appointment, reportedAt, answeredAt} = polling;
  if (appointment?.by !== settings.address) {
    reportedAt.clear();
    answeredAt.clear();
    return;
  }
  for (const [position, address] of appointment.pollers.entries()) {
    const since = reportedAt.get(address) ?? at;
    if (at - since > getReportTimeoutMs(position)) {
      excludePoller(state, address, 'poll_unreported', at, emit);
    }
  }
}

/** Orders the proxies that can poll: those appointed, then by speed of the link. */
function orderCandidates(state: MeshState, at: number): string[] {
  const {peers, settings, polling} = state;
  const isIncluded = (address: string) =>
    at >= (polling.excludedUntil.get(address) ?? 0);
  const running = [...peers].filter(([, peer]) => isRunning(peer));
  const addresses = [settings.address, ...running.map(([address]) => address)];
  const shuffled = rankByRendezvous(settings.address, addresses);
  const getOrder = (address: string): number => {
    const isAppointed = polling.reportedAt.has(address);
    const isSelf = address === settings.address;
    // Among equally fast links, this proxy itself, then those that poll already.
    return (
      -getLinkMbps(state, address) * 4 - (isSelf ? 2 : isAppointed ? 1 : 0)
    );
  };
  return shuffled
    .filter(isIncluded)
    .sort((first, second) => getOrder(first) - getOrder(second));
}

function getLinkMbps({peers, settings}: MeshState, address: string): number {
  return address === settings.address
    ? settings.linkMbps
    : (peers.get(address)?.linkMbps ?? 0);
}

function getZone({peers, settings}: MeshState, address: string): string {
  return address === settings.address
    ? settings.zone
    : (peers.get(address)?.zone ?? '');
}

function isDefined<T>(value: T | undefined): value is T {
  return value !== undefined;
}
