/**
 * How a home closes a key for an entry or a newer home, and hands all keys
 * over on a planned stop.
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

/** What closing a key found, and the attempt that it took from the queue. */
export interface CloseResult {
  readonly verdict: KeyVerdict;
  readonly queuedAttemptId?: string;
}

/**
 * Closes a key for an entry that gives up, or for a newer home.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param request - The request.
 * @returns The verdict on which the asker may rely.
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

/** Tells whether a key without a record may have run, here or elsewhere. */
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
    // The newer home asks every former home, so each speaks for itself.
    return false;
  }
  return (
    // Under the entry's version the key may have a former home that this
    // proxy does not know yet.
    version > view.log.active.version ||
    // The heirs have been told all and no longer ask this home.
    owner.handOver !== undefined ||
    getUnconfirmedFormerHolders(owner, view, service, key).size > 0
  );
}

/**
 * Builds the messages by which a stopping proxy tells every other home of its
 * service all that it knows of keys. What they do not name never ran here.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @returns Requests by peer address.
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

/** The services of which this proxy is a home, or was until lately. */
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
 * Takes over the keys of a proxy that stops as planned.
 * @param owner - The owner's state.
 * @param view - Read-only views of the other parts.
 * @param request - Its message.
 */
export function acceptHandOver(
  owner: Owner,
  view: OwnerView,
  request: Extract<PeerRequest, {kind: 'handOver'}>,
): void {
  const {fromId, incarnation, heirs} = request;
  const freeRecords = view.settings.limits.maxKeyRecords - owner.keys.size;
  if (request.records.length > freeRecords) {
    // Half of the news would be taken for all of it. Without it, the keys of
    // that home are in doubt.
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
