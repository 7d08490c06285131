/**
 * How busy the network connection of a VM is, and how long bodies take on it. Load
 * pattern: uploads to a few upstreams behind narrow connections. Whoever sends to one
 * of them sees free slots there, while the bodies of all entries wait for each other
 * in front of them, and each call of that VM waits behind them.
 */
import {Instance} from '../../model/mesh.js';
import {UpstreamLoad} from '../entry/load_view.js';
import {WaitingBytes, recordWaitingBytes} from './link_backlog.js';
import {MAX_WHOLE_BODY_BYTES, getSendMs} from './link_rate.js';
import {MeshState, getLinkAddress} from './mesh_state.js';

/** Bytes that this proxy has received and sent over its links since its start. */
export interface LinkBytes {
  readonly received: number;
  readonly sent: number;
  /** Large bodies that wait to be sent now; absent: none. */
  readonly waiting?: readonly WaitingBytes[];
  /** Time that the bodies take which peers have offered, in milliseconds. */
  readonly arrivingMs?: number;
}

export interface LinkLoad {
  bytes: LinkBytes;
  measuredAt: number;
  /** Moving average of the used share of the bandwidth, in the busier direction. */
  share: number;
  /** Time that the bodies take which are to arrive, in milliseconds. */
  arrivingMs: number;
}

export function createLinkLoad(): LinkLoad {
  const bytes = {received: 0, sent: 0};
  return {bytes, measuredAt: -Infinity, share: 0, arrivingMs: 0};
}

/** Interval over which bytes are counted, in milliseconds. */
const MEASURED_MS = 250;

/** Weight of one interval in the moving average: about a second is remembered. */
const SAMPLE_WEIGHT = 0.3;

/** Age at which a reported load counts for nothing, in milliseconds. */
const REPORT_LIFETIME_MS = 3_000;

/**
 * Least free share by which the time of a large answer is divided. Owners send answers
 * in order and report what waits, so a connection in full use delays one by little more
 * than that.
 */
const MIN_FREE_FOR_ANSWERS = 0.25;

/** Bound that keeps estimates finite. */
const MAX_SHARE = 0.95;

/**
 * Records how much this proxy has received and sent.
 * @param state - This proxy's state.
 * @param bytes - Totals since its start.
 * @param at - Now, in milliseconds.
 */
export function recordLinkBytes(
  state: MeshState,
  bytes: LinkBytes,
  at: number,
): void {
  const {linkLoad, settings} = state;
  recordWaitingBytes(state, bytes.waiting ?? [], at);
  linkLoad.arrivingMs = bytes.arrivingMs ?? 0;
  const ms = at - linkLoad.measuredAt;
  if (ms < MEASURED_MS) {
    return;
  }
  const received = bytes.received - linkLoad.bytes.received;
  const sent = bytes.sent - linkLoad.bytes.sent;
  const busyMs = getSendMs(Math.max(received, sent), settings.linkMbps);
  const share = Number.isFinite(ms) ? Math.min(1, busyMs / ms) : 0;
  linkLoad.share += (share - linkLoad.share) * SAMPLE_WEIGHT;
  linkLoad.bytes = bytes;
  linkLoad.measuredAt = at;
}

/**
 * Estimates what the bodies of a call cost on the way. The request: its own time, and
 * that by which it delays what waits behind it. Without the second part, entries would
 * fill a connection up to the load at which each of them is late. A large answer: its
 * time on the narrower connection, and that of the answers which wait there.
 * @param state - This proxy's state.
 * @param instance - The upstream.
 * @param load - What is known of it.
 * @param bodyBytes - Size of the request's body.
 * @param answerBytes - Expected size of the answer's body.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 for the upstream beside this proxy.
 */
export function estimateTransferMs(
  state: MeshState,
  instance: Instance,
  load: UpstreamLoad,
  bodyBytes: number,
  answerBytes: number,
  at: number,
): number {
  const {settings, peers, linkLoad} = state;
  const hasLargeAnswer = answerBytes > MAX_WHOLE_BODY_BYTES;
  if (bodyBytes === 0 && !hasLargeAnswer) {
    return 0;
  }
  const address = getLinkAddress(state, instance);
  if (address === settings.address) {
    return 0;
  }
  const peerMbps = peers.get(address)?.linkMbps ?? settings.linkMbps;
  const age = Math.max(0, at - load.reportedAt);
  const remaining = Math.max(0, 1 - age / REPORT_LIFETIME_MS);
  const reported = (load.report?.linkShare ?? 0) * remaining;
  const free = 1 - Math.min(MAX_SHARE, reported);
  const arrivingMs =
    bodyBytes > MAX_WHOLE_BODY_BYTES
      ? (load.report?.requestDelayMs ?? 0) * remaining
      : 0;
  const requestMs =
    getSendMs(bodyBytes, Math.min(settings.linkMbps, peerMbps)) / free ** 2 +
    arrivingMs;
  if (!hasLargeAnswer) {
    return requestMs;
  }
  const freeMbps = Math.min(
    settings.linkMbps * Math.max(MIN_FREE_FOR_ANSWERS, 1 - linkLoad.share),
    peerMbps * Math.max(MIN_FREE_FOR_ANSWERS, free),
  );
  const waitingMs = (load.report?.linkDelayMs ?? 0) * remaining;
  return requestMs + getSendMs(answerBytes, freeMbps) + waitingMs;
}
