/** Decides whether a home can vouch that an unrecorded key never ran. */
import {FoldState} from '../../model/fold_state.js';
import {getRendezvousWinner} from '../hashing.js';
import {getIncarnation} from '../spread/membership.js';
import {Owner, OwnerView} from './owner_state.js';

/** Hexadecimal digits of a UUIDv7 that hold its Unix milliseconds. */
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const HEXADECIMAL = 16;

/**
 * Reads the time at which a UUIDv7 was made.
 * @param key - Any key.
 * @returns Unix milliseconds, or undefined for a key of another form.
 */
export function tryParseUuidV7Time(key: string): number | undefined {
  const match = UUID_V7.exec(key);
  return match === null
    ? undefined
    : parseInt(match[1] + match[2], HEXADECIMAL);
}

/**
 * Tells whether an earlier process at this home may have run a key.
 * @param key - The key.
 * @param startedAt - Start of this process, in Unix milliseconds.
 * @param keyLifetimeMs - How long callers may resend a key.
 * @param clockSkewMs - Largest difference between any two VMs' clocks.
 * @param at - Now, in Unix milliseconds.
 * @returns False where the key is younger than this process, or every key
 *     from before its start has expired. A key from the future was made by a
 *     clock that is wrong, so its time proves nothing.
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
 * Lists the other upstreams that were the key's home within a key lifetime.
 * @param state - The configuration in force, with its former homes.
 * @param ownId - This home.
 * @param service - The service.
 * @param key - The key.
 * @param at - Now, in Unix milliseconds.
 * @param clockSkewMs - Largest difference between any two VMs' clocks.
 * @returns Identifier and peer address of each.
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
 * Gets how long the keys of a service are remembered.
 * @param view - Read-only views of the other parts.
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
 * Tells whether an earlier process beside this upstream may have run a key.
 * @param view - Read-only views of the other parts.
 * @param service - The key's service, which this upstream may have left.
 * @param key - The key.
 * @returns True where that cannot be ruled out.
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
 * Lists the former homes of a key that have not said what they ran.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param service - The service.
 * @param key - The key.
 * @returns Identifier and peer address of each.
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
    // The process that stopped knew nothing of what one before it had run.
    const coversKey = !mayPredateProcess(
      view,
      service,
      key,
      handOver.incarnation,
    );
    // Each heir was told of its own keys only.
    const isHeir = getRendezvousWinner(key, handOver.heirs) === id;
    if (isLatest && coversKey && isHeir) {
      holders.delete(holderId);
    }
  }
  return holders;
}
