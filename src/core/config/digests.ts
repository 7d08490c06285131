/**
 * Comparison of digests between proxies. Different digests at one sequence
 * number show that the proxies computed different configurations.
 */
import {Emit} from '../types.js';
import {ConfigLog} from './config_log.js';

/** Peers whose last comparison is kept. */
const MAX_COMPARED_PEERS = 64;

/** Peers that must disagree before a proxy halts instead of ignoring them. */
const MIN_DISAGREEING_PEERS = 2;

/** Characters of a digest that are sent to peers. */
const DIGEST_PREFIX_LENGTH = 16;

/**
 * Gets the digest at a sequence number, shortened as it is sent to peers.
 * @param log - The log.
 * @param sequence - The sequence number.
 * @returns The first characters of the digest, or undefined if it is not kept.
 */
export function getDigestPrefix(
  log: ConfigLog,
  sequence: number,
): string | undefined {
  return log.digests.get(sequence)?.slice(0, DIGEST_PREFIX_LENGTH);
}

/**
 * Compares a peer's digest with ours at the same sequence number and records
 * the result. Does nothing if our digest at that number is not kept.
 * @param log - The log, which is updated.
 * @param peerId - Identifier of the peer.
 * @param sequence - The sequence number of the peer's digest.
 * @param digest - The first characters of the peer's digest.
 * @param emit - Receives counters and log records.
 */
export function compareDigest(
  log: ConfigLog,
  peerId: string,
  sequence: number,
  digest: string,
  emit: Emit,
): void {
  const own = getDigestPrefix(log, sequence);
  if (own === undefined) {
    return;
  }
  const agrees = own === digest.slice(0, DIGEST_PREFIX_LENGTH);
  const agreedBefore = log.peerAgreement.get(peerId);
  log.peerAgreement.delete(peerId);
  log.peerAgreement.set(peerId, agrees);
  if (log.peerAgreement.size > MAX_COMPARED_PEERS) {
    const [oldest] = log.peerAgreement.keys();
    log.peerAgreement.delete(oldest);
  }
  if (agrees) {
    return;
  }
  emit({kind: 'count', counter: 'digest_mismatch', reason: 'peer'});
  if (agreedBefore !== false) {
    emit({
      kind: 'log',
      level: 'error',
      part: 'config',
      message: `The digest at sequence ${sequence} differs from that of ${peerId}; check that both proxies run the same build.`,
    });
  }
}

/**
 * Reports whether the proxy is halted: it folds and adopts nothing more, but
 * continues to serve the version in force. It is halted while more peers
 * disagree with its digests than agree, and at least two, so that a single
 * faulty peer cannot halt it. In a fleet of two the one other peer is enough.
 * Only peers in the newest configuration count.
 * @param log - The log.
 * @returns True while the proxy is halted.
 */
export function isHalted(log: ConfigLog): boolean {
  if (log.peerAgreement.size === 0) {
    return false;
  }
  const {upstreams} = log.latest.config;
  let agreeing = 0;
  let disagreeing = 0;
  for (const [peerId, agrees] of log.peerAgreement) {
    if (!Object.hasOwn(upstreams, peerId)) {
      continue;
    }
    if (agrees) {
      agreeing += 1;
    } else {
      disagreeing += 1;
    }
  }
  // In a fleet of two, neither proxy can know which of them is right.
  const otherCount = Object.keys(upstreams).length - 1;
  const threshold = Math.min(MIN_DISAGREEING_PEERS, Math.max(1, otherCount));
  return disagreeing > agreeing && disagreeing >= threshold;
}
