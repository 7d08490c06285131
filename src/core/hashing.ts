/** Hash functions whose results must be the same on all proxies. */
import {sha256} from '@noble/hashes/sha2.js';
import {bytesToHex, utf8ToBytes} from '@noble/hashes/utils.js';
import canonicalize from 'canonicalize';
import {concatAll} from 'fp-ts/lib/Monoid.js';
import * as N from 'fp-ts/lib/number.js';
import {contramap, getMonoid, Ord, reverse} from 'fp-ts/lib/Ord.js';
import {pipe} from 'fp-ts/lib/function.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import murmur from 'imurmurhash';

interface Scored {
  readonly id: string;
  readonly score: number;
}

/** Orders by descending score, and equal scores by identifier. */
const BY_SCORE: Ord<Scored> = concatAll(getMonoid<Scored>())([
  pipe(
    reverse(N.Ord),
    contramap(({score}: Scored) => score),
  ),
  pipe(
    S.Ord,
    contramap(({id}: Scored) => id),
  ),
]);

/**
 * Computes a digest of JSON values that ignores the order of object members.
 * @param parts - JSON values.
 * @returns The digest in hexadecimal.
 */
export function computeDigest(...parts: readonly unknown[]): string {
  const text = canonicalize(parts) ?? '';
  return bytesToHex(sha256(utf8ToBytes(text)));
}

/**
 * Ranks candidates by rendezvous hashing. All proxies that know the same
 * candidates compute the same order, and removing a candidate does not reorder
 * the others.
 * @param subject - What is assigned to a candidate, such as a key.
 * @param candidates - The candidates' identifiers.
 * @returns The candidates, best first.
 */
export function rankByRendezvous(
  subject: string,
  candidates: readonly string[],
): string[] {
  return pipe(
    candidates,
    RA.map(id => ({id, score: getRendezvousScore(subject, id)})),
    RA.sort(BY_SCORE),
    RA.map(({id}) => id),
    RA.toArray,
  );
}

/**
 * Finds the first candidate of {@link rankByRendezvous} without sorting.
 * @param subject - What is assigned to a candidate, such as a key.
 * @param candidates - The candidates' identifiers.
 * @returns The best candidate, or undefined if there is none.
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

/**
 * Draws a fraction that is the same whenever it is drawn again for the same subject.
 * @param subject - What it is drawn for.
 * @param id - Who draws.
 * @returns A fraction from 0 to below 1, evenly distributed.
 */
export function getHashFraction(subject: string, id: string): number {
  return getRendezvousScore(subject, id) / 2 ** 32;
}

function getRendezvousScore(subject: string, id: string): number {
  return murmur(subject).hash('\u0000').hash(id).result();
}
