/**
 * Serves the least urgent route a part of what it asks for. Load pattern: the urgent
 * routes of an upstream alone ask for more than its slots, so the others get none.
 */

/** Least share that is served of what the least urgent ask, relative to all. */
const GUARANTEED_SHARE = 0.25;

/** Margin for attempts that get precedence and are refused for another reason. */
const GUARANTEE_FACTOR = 1.2;

/** Factor by which each attempt reduces the weight of earlier ones; about 100 count. */
const DECAY = 0.99;

/** Attempts of the least urgent below which nothing is known of its share. */
const MIN_ASKED = 3;

interface Counts {
  asked: number;
  served: number;
}

/** Recent attempts by priority, weighted by their age; without nested ones. */
export type ServedShares = Map<number, Counts>;

/**
 * Records that an attempt has arrived.
 * @param shares - The upstream's recent attempts.
 * @param priority - Priority of its route.
 */
export function recordAsked(shares: ServedShares, priority: number): void {
  for (const counts of shares.values()) {
    counts.asked *= DECAY;
    counts.served *= DECAY;
  }
  const counts = shares.get(priority) ?? {asked: 0, served: 0};
  counts.asked += 1;
  shares.set(priority, counts);
}

/** Records that an attempt of a priority has got a slot. */
export function recordServed(shares: ServedShares, priority: number): void {
  const counts = shares.get(priority);
  if (counts !== undefined) {
    counts.served += 1;
  }
}

/**
 * Reports whether the least urgent attempts are served so rarely that the next one
 * takes precedence.
 * @param shares - The upstream's recent attempts.
 * @param priority - Priority of the next one.
 * @returns True only for the least urgent priority among several.
 */
export function isStarved(shares: ServedShares, priority: number): boolean {
  let asked = 0;
  let served = 0;
  let least = -1;
  for (const [other, counts] of shares) {
    asked += counts.asked;
    served += counts.served;
    if (counts.asked >= MIN_ASKED) {
      least = Math.max(least, other);
    }
  }
  const own = shares.get(priority);
  if (own === undefined || priority !== least || shares.size < 2) {
    return false;
  }
  const guaranteed = (served / asked) * GUARANTEED_SHARE * GUARANTEE_FACTOR;
  return own.served / own.asked < guaranteed;
}
