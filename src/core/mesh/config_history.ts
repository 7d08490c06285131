/**
 * The latest differences between versions. A proxy that missed a few asks for these
 * rather than for the whole configuration, which takes long on a slow link.
 */
import {ConfigDelta} from '../../model/mesh.js';

/** Bounds of what is kept: differences, and changed routes in all of them. */
const MAX_DELTAS = 16;
const MAX_ROUTES = 400;

/** Differences in order; each begins with the version that the one before ends. */
export type ConfigHistory = ConfigDelta[];

function countRoutes({routes, removedRoutes}: ConfigDelta): number {
  return routes.length + removedRoutes.length;
}

/**
 * Records how the version in force followed from the one before.
 * @param history - The history.
 * @param delta - The difference; undefined if it is not known.
 */
export function recordDelta(
  history: ConfigHistory,
  delta: ConfigDelta | undefined,
): void {
  if (delta === undefined || history.at(-1)?.version !== delta.base) {
    history.length = 0;
  }
  if (delta === undefined) {
    return;
  }
  history.push(delta);
  let routes = history.reduce((sum, kept) => sum + countRoutes(kept), 0);
  while (history.length > MAX_DELTAS || routes > MAX_ROUTES) {
    const [oldest] = history.splice(0, 1);
    routes -= countRoutes(oldest);
  }
}

/**
 * Finds the differences that lead from a version to the latest.
 * @param history - The history.
 * @param version - The version.
 * @returns The differences in order, or undefined if some are no longer kept.
 */
export function findDeltasSince(
  history: ConfigHistory,
  version: number,
): readonly ConfigDelta[] | undefined {
  const start = history.findIndex(({base}) => base === version);
  return start < 0 ? undefined : history.slice(start);
}
