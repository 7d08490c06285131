/**
 * How busy the network connection of a VM is, and how long bodies take on it. Load
 * pattern: uploads to a few upstreams behind narrow connections. Whoever sends to one
 * of them sees free slots there, while the bodies of all entries wait for each other
 * in front of them, and each call of that VM waits behind them.
 */
import {Instance} from '../../model/mesh.js';
import {UpstreamLoad} from '../entry/load_view.js';
import {WaitingBytes, recordWaitingBytes} from './link_backlog.js';
import {getSendMs} from './link_rate.js';
import {MeshState, getLinkAddress} from './mesh_state.js';

/** Bytes that this proxy has received and sent over its links since its start. */
export interface LinkBytes {
  readonly received: number;
  readonly sent: number;
  /** Large bodies that wait to be sent now; absent: none. */
  readonly waiting?: readonly WaitingBytes[];
}

export interface LinkLoad {
  bytes: LinkBytes;
  measuredAt: number;
  /** Moving average of the used share of the bandwidth, in the busier direction. */
  share: number;
}

export function createLinkLoad(): LinkLoad {
  return {bytes: {received: 0, sent: 0}, measuredAt: -Infinity, share: 0};
}

/** Interval over which bytes are counted, in milliseconds. */
const MEASURED_MS = 250;

/** Weight of one interval in the moving average: about a second is remembered. */
const SAMPLE_WEIGHT = 0.3;

/** Age at which a reported load counts for nothing, in milliseconds. */
const REPORT_LIFETIME_MS = 3_000;

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
 * Estimates what a body costs on the way to an upstream: its own time, and that by
 * which it delays what waits behind it. Without the second part, entries would fill a
 * connection up to the load at which each of them is late.
 * @param state - This proxy's state.
 * @param instance - The upstream.
 * @param load - What is known of it.
 * @param bodyBytes - Size of the body.
 * @param at - Now, in milliseconds.
 * @returns Milliseconds; 0 for the upstream beside this proxy.
 */
export function estimateTransferMs(
  state: MeshState,
  instance: Instance,
  load: UpstreamLoad,
  bodyBytes: number,
  at: number,
): number {
  const {settings, peers} = state;
  const address = getLinkAddress(state, instance);
  if (bodyBytes === 0 || address === settings.address) {
    return 0;
  }
  const peerMbps = peers.get(address)?.linkMbps ?? settings.linkMbps;
  const age = Math.max(0, at - load.reportedAt);
  const remaining = Math.max(0, 1 - age / REPORT_LIFETIME_MS);
  const reported = (load.report?.linkShare ?? 0) * remaining;
  const free = 1 - Math.min(MAX_SHARE, reported);
  return (
    getSendMs(bodyBytes, Math.min(settings.linkMbps, peerMbps)) / free ** 2
  );
}
