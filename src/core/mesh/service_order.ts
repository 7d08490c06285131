/**
 * The order in which work is served that competes for a scarce resource: the slots
 * of an upstream, or the bandwidth of its VM.
 */

/** What the order of a piece of work depends on. */
export interface ServiceClaim {
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** A run at another upstream waits for it. */
  readonly nested: boolean;
  /** It would miss its aim even if it was served at once. */
  readonly missesAim: boolean;
  /** Among equals, the earlier one is first; in milliseconds. */
  readonly turnAt: number;
}

/**
 * Compares two pieces of waiting work: by priority of the route, then those that
 * another run waits for, then those that can still meet their aim, then by turn.
 * @returns Negative if the first one is served first.
 */
export function compareClaims(
  first: ServiceClaim,
  second: ServiceClaim,
): number {
  return (
    first.priority - second.priority ||
    Number(second.nested) - Number(first.nested) ||
    Number(first.missesAim) - Number(second.missesAim) ||
    first.turnAt - second.turnAt
  );
}
