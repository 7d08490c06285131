/** Hashes on which all proxies must agree. */
import {sha256} from '@noble/hashes/sha2.js';
import {bytesToHex, utf8ToBytes} from '@noble/hashes/utils.js';
import canonicalize from 'canonicalize';
import murmur from 'imurmurhash';

/**
 * Hashes a JSON value independently of the order of its members.
 * @param parts - JSON values.
 * @returns The digest in hexadecimal.
 */
export function getDigest(...parts: readonly unknown[]): string {
  const text = canonicalize(parts) ?? '';
  return bytesToHex(sha256(utf8ToBytes(text)));
}

/**
 * Orders candidates by rendezvous hashing: each proxy that knows the same
 * candidates gets the same order, and removing one leaves the others' order.
 * @param subject - What the candidates compete for.
 * @param candidates - Their identifiers.
 * @returns The candidates, best first.
 */
export function rankByRendezvous(
  subject: string,
  candidates: readonly string[],
): string[] {
  const scored = candidates.map(id => ({
    id,
    score: getRendezvousScore(subject, id),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map(({id}) => id);
}

/**
 * Finds the first of {@link rankByRendezvous} without sorting.
 * @param subject - What the candidates compete for.
 * @param candidates - Their identifiers.
 * @returns The best candidate, or undefined where there is none.
 */
export function getRendezvousWinner(
  subject: string,
  candidates: readonly string[],
): string | undefined {
  let winner: string | undefined;
  let best = -1;
  for (const id of candidates) {
    const score = getRendezvousScore(subject, id);
    if (
      score > best ||
      (score === best && winner !== undefined && id < winner)
    ) {
      winner = id;
      best = score;
    }
  }
  return winner;
}

function getRendezvousScore(subject: string, id: string): number {
  return murmur(subject).hash('\u0000').hash(id).result();
}
