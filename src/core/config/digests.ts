/** Comparison of digests, by which proxies notice that they disagree. */
import {Emit} from '../types.js';
import {ConfigLog} from './config_log.js';

/** Peers whose digests are compared with ours. */
const MAX_COMPARED_PEERS = 64;

/** Peers that must disagree before a proxy doubts itself and not the peer. */
const MIN_DISAGREEING_PEERS = 2;

/** Characters of a digest that are sent to peers. */
const DIGEST_PREFIX_LENGTH = 16;

/**
 * Gets the digest at a recent sequence number as it is sent to peers.
 * @param log - The log.
 * @param sequence - The sequence number.
 * @returns Its first characters, or undefined where it is not kept.
 */
export function getDigestPrefix(
  log: ConfigLog,
  sequence: number,
): string | undefined {
  return log.digests.get(sequence)?.slice(0, DIGEST_PREFIX_LENGTH);
}

/**
 * Compares a peer's digest with ours at the same sequence number.
 * @param log - The log.
 * @param peerId - The peer.
 * @param sequence - Its last folded sequence number.
 * @param digest - First characters of its digest.
 * @param emit - Takes counters and log lines.
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
      message: `Digest of sequence ${sequence} differs from ${peerId}; compare the builds of both proxies.`,
    });
  }
}

/**
 * Tells whether the proxy stopped advancing because more peers disagree with
 * its digests than agree, and more than one, so that one bad peer halts
 * nobody. Only peers of the newest configuration count. A halted proxy goes on
 * serving the version in force.
 * @param log - The log.
 * @returns True while it is halted.
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
  // In a fleet of two nobody can tell which of them is right.
  const otherCount = Object.keys(upstreams).length - 1;
  const threshold = Math.min(MIN_DISAGREEING_PEERS, Math.max(1, otherCount));
  return disagreeing > agreeing && disagreeing >= threshold;
}
