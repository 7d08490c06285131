/**
 * Closes idempotency keys at a key holder, on request of an entry or of a newer
 * key holder, and hands all keys over on a graceful shutdown.
 */
import {ServiceTargets} from '../config/routing_table.js';
import {getRendezvousWinner} from '../hashing.js';
import {KeyVerdict, PeerRequest} from '../../model/peer.js';
import {
  getKeyLifetimeMs,
  getUnconfirmedFormerHolders,
  mayPredateThisProcess,
} from './key_history.js';
import {PRIVATE_KEY_GRACE_MS} from './key_lifecycle.js';
import {getRecordId, getVerdict, setRecord} from './key_records.js';
import {getOwnService, Owner, OwnerView} from './owner_state.js';

/** Result of closing a key. */
export interface CloseResult {
  readonly verdict: KeyVerdict;
  /** The attempt queued under the key; the caller must remove and refuse it. */
  readonly queuedAttemptId?: string;
}

/**
 * Closes a key for an entry that gives up, or for a newer key holder.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param request - The request.
 * @returns The verdict, which the requester may rely on.
 */
export function closeKey(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'closeKey'}>,
): CloseResult {
  const {service, key, cause} = request;
  const recordId = getRecordId(service, key);
  const record = owner.keys.get(recordId);
  const closedCause = cause === 'moved' ? 'moved' : 'refused';
  const lifetimeMs = getKeyLifetimeMs(view, service) ?? 0;
  const expiresAt = view.at + Math.max(lifetimeMs, PRIVATE_KEY_GRACE_MS);
  if (record === undefined) {
    const isFull = owner.keys.size >= view.settings.limits.maxKeyRecords;
    if (isFull || mayHaveRun(owner, view, request)) {
      return {verdict: {key, status: 'in-doubt'}};
    }
  }
  const closed = {kind: 'closed', cause: closedCause, expiresAt} as const;
  if (record === undefined || record.kind === 'open') {
    setRecord(owner.keys, recordId, closed);
    return {verdict: {key, status: 'never-ran'}};
  }
  if (record.kind === 'queued') {
    setRecord(owner.keys, recordId, closed);
    return {
      verdict: {key, status: 'never-ran'},
      queuedAttemptId: record.attemptId,
    };
  }
  return {verdict: getVerdict(key, record)};
}

/** Reports whether a key without a record may have run, here or elsewhere. */
function mayHaveRun(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'closeKey'}>,
): boolean {
  const {service, key, cause, version} = request;
  if (!view.ready || mayPredateThisProcess(view, service, key)) {
    return true;
  }
  if (cause === 'moved') {
    // The newer key holder asks every former one, so each reports only its own
    // runs.
    return false;
  }
  return (
    // Under the entry's version the key may have a former holder that this
    // proxy does not know yet.
    version > view.log.active.version ||
    // The heirs have received all records and no longer ask this key holder.
    owner.handOver !== undefined ||
    getUnconfirmedFormerHolders(owner, view, service, key).size > 0
  );
}

/**
 * Creates the messages with which a proxy that shuts down sends its key records
 * to the other key holders of its services. Keys that they omit never ran here.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @returns The requests, by peer address.
 */
export function createHandOverRequests(
  owner: Owner,
  view: OwnerView,
): Map<string, PeerRequest> {
  const {id: fromId, startedAt: incarnation} = view.settings;
  const requests = new Map<string, PeerRequest>();
  for (const service of getServicesWithHeldKeys(view)) {
    const others = service.upstreams.filter(({id}) => id !== fromId);
    const heirs = others.map(({id}) => id);
    for (const {id, peerAddress} of others) {
      requests.set(peerAddress, {
        kind: 'handOver',
        service: service.name,
        fromId,
        incarnation,
        heirs,
        records: getRecordsForHeir(owner, service.name, heirs, id),
      });
    }
  }
  return requests;
}

/** Gets the services for which this proxy holds keys, or did until recently. */
function getServicesWithHeldKeys(view: OwnerView): Set<ServiceTargets> {
  const {settings, log} = view;
  const former = log.active.formerHomes
    .filter(({upstreams}) => upstreams.some(({id}) => id === settings.id))
    .map(({service}) => log.table.services.get(service));
  const services = [getOwnService(view), ...former];
  return new Set(services.filter(service => service !== undefined));
}

function getRecordsForHeir(
  owner: Owner,
  service: string,
  heirs: readonly string[],
  heir: string,
): KeyVerdict[] {
  const prefix = getRecordId(service, '');
  const records: KeyVerdict[] = [];
  for (const [recordId, record] of owner.keys) {
    const key = recordId.slice(prefix.length);
    const isForHeir =
      record.kind !== 'open' &&
      recordId.startsWith(prefix) &&
      getRendezvousWinner(key, heirs) === heir;
    if (isForHeir) {
      records.push(getVerdict(key, record));
    }
  }
  return records;
}

/**
 * Takes over the keys of a proxy that shuts down gracefully.
 * @param owner - The owner's state.
 * @param view - Read-only state of the other modules.
 * @param request - The proxy's hand-over message.
 */
export function acceptHandOver(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'handOver'}>,
): void {
  const {fromId, incarnation, heirs} = request;
  const freeRecords = view.settings.limits.maxKeyRecords - owner.keys.size;
  if (request.records.length > freeRecords) {
    // A partial hand-over would count as a complete one. Without a hand-over,
    // the keys of that holder remain in doubt.
    return;
  }
  const lifetimeMs = getKeyLifetimeMs(view, request.service) ?? 0;
  const expiresAt = view.at + lifetimeMs;
  for (const {key, status} of request.records) {
    const recordId = getRecordId(request.service, key);
    if (!owner.keys.has(recordId)) {
      setRecord(
        owner.keys,
        recordId,
        status === 'closed' || status === 'never-ran'
          ? {kind: 'closed', cause: 'refused', expiresAt}
          : {kind: 'in-doubt', expiresAt},
      );
    }
  }
  owner.receivedHandOvers.set(fromId, {incarnation, heirs});
}
