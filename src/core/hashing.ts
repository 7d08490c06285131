/** Hashes on which all proxies must agree. */
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

/** Highest score first; equal scores in the order of identifiers. */
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
  return pipe(
    candidates,
    RA.map(id => ({id, score: getRendezvousScore(subject, id)})),
    RA.sort(BY_SCORE),
    RA.map(({id}) => id),
    RA.toArray,
  );
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
