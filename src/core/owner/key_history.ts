/**
 * Determines whether a key without a record may have run before: in an earlier
 * process of this key holder, or at a former key holder.
 */
import {FoldState} from '../../model/fold_state.js';
import {getRendezvousWinner} from '../hashing.js';
import {getIncarnation} from '../spread/membership.js';
import {Owner, OwnerView} from './owner_state.js';

/** Captures the hexadecimal Unix milliseconds of a UUIDv7 in two groups. */
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const HEXADECIMAL = 16;

/**
 * Parses the time at which a UUIDv7 was created.
 * @param key - Any key.
 * @returns Unix milliseconds, or undefined if the key is not a UUIDv7.
 */
export function tryParseUuidV7Time(key: string): number | undefined {
  const match = UUID_V7.exec(key);
  return match === null
    ? undefined
    : parseInt(match[1] + match[2], HEXADECIMAL);
}

/**
 * Reports whether an earlier process of a key holder may have run a key.
 * @param key - The key.
 * @param startedAt - Start time of the process, in Unix milliseconds.
 * @param keyLifetimeMs - How long callers may resend a key.
 * @param clockSkewMs - Largest difference between the clocks of two VMs.
 * @param at - Now, in Unix milliseconds.
 * @returns False if the key was created after the process started, or if every
 *     key from before its start has expired. A key whose time is in the future
 *     comes from a wrong clock, so its time is ignored.
 */
export function mayPredateStart(
  key: string,
  startedAt: number,
  keyLifetimeMs: number,
  clockSkewMs: number,
  at: number,
): boolean {
  if (at - startedAt > keyLifetimeMs) {
    return false;
  }
  const createdAt = tryParseUuidV7Time(key);
  return (
    createdAt === undefined ||
    createdAt <= startedAt + clockSkewMs ||
    createdAt > at + clockSkewMs
  );
}

/**
 * Lists the other upstreams that held the key within a key lifetime.
 * @param state - The active configuration, with the former key holders.
 * @param ownId - Identifier of this key holder.
 * @param service - The service.
 * @param key - The key.
 * @param at - Now, in Unix milliseconds.
 * @param clockSkewMs - Largest difference between the clocks of two VMs.
 * @returns Peer addresses by upstream identifier.
 */
export function getFormerKeyHolders(
  state: FoldState,
  ownId: string,
  service: string,
  key: string,
  at: number,
  clockSkewMs: number,
): Map<string, string> {
  const keyLifetimeMs = state.config.services[service]?.keyLifetimeMs ?? 0;
  const holders = new Map<string, string>();
  for (const former of state.formerHomes) {
    const isExpired = at - former.untilMs > keyLifetimeMs + clockSkewMs;
    if (former.service !== service || isExpired) {
      continue;
    }
    const ids = former.upstreams.map(({id}) => id);
    const winner = getRendezvousWinner(key, ids);
    const holder = former.upstreams.find(({id}) => id === winner);
    if (holder !== undefined && holder.id !== ownId) {
      holders.set(holder.id, holder.peerAddress);
    }
  }
  return holders;
}

/**
 * Gets how long the keys of a service are kept.
 * @param view - Read-only state of the other modules.
 * @param service - The service.
 * @returns Milliseconds, or undefined for an unknown service.
 */
export function getKeyLifetimeMs(
  view: OwnerView,
  service: string,
): number | undefined {
  return view.log.table.services.get(service)?.keyLifetimeMs;
}

/**
 * Reports whether an earlier process of this proxy may have run a key.
 * @param view - Read-only state of the other modules.
 * @param service - The key's service, which this upstream may have left.
 * @param key - The key.
 * @returns True if that cannot be ruled out.
 */
export function mayPredateThisProcess(
  view: OwnerView,
  service: string,
  key: string,
): boolean {
  return mayPredateProcess(view, service, key, view.settings.startedAt);
}

function mayPredateProcess(
  view: OwnerView,
  service: string,
  key: string,
  startedAt: number,
): boolean {
  return mayPredateStart(
    key,
    startedAt,
    getKeyLifetimeMs(view, service) ?? Infinity,
    view.settings.limits.clockSkewMs,
    view.at,
  );
}

/**
 * Lists the former holders of a key that have not handed it over.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param service - The service.
 * @param key - The key.
 * @returns Peer addresses by upstream identifier.
 */
export function getUnconfirmedFormerHolders(
  owner: Owner,
  view: OwnerView,
  service: string,
  key: string,
): Map<string, string> {
  const {id, limits} = view.settings;
  const holders = getFormerKeyHolders(
    view.log.active,
    id,
    service,
    key,
    view.at,
    limits.clockSkewMs,
  );
  for (const [holderId, handOver] of owner.receivedHandOvers) {
    const isLatest =
      getIncarnation(view.membership, holderId) <= handOver.incarnation;
    // The process that stopped did not know what an earlier one had run.
    const coversKey = !mayPredateProcess(
      view,
      service,
      key,
      handOver.incarnation,
    );
    // Each heir received only the records of its own keys.
    const isHeir = getRendezvousWinner(key, handOver.heirs) === id;
    if (isLatest && coversKey && isHeir) {
      holders.delete(holderId);
    }
  }
  return holders;
}
