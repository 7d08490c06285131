/**
 * Checks the messages that are sent for each call without the schema library. A proxy
 * with little processor time runs for about half a minute, in which compiling the
 * schemas of these messages and copying each message cost more than the checks. The
 * checks accept nothing that `LinkMessageSchema` rejects, which a test shows; what
 * they don't accept is validated with the schema, which also names the error.
 */
import {LinkMessage, MeshAttempt} from '../model/mesh.js';
import {LoadReport} from '../model/peer.js';

type Check = (value: unknown) => boolean;

/** Check of a field that may be absent. */
interface OptionalCheck {
  readonly optional: Check;
}

/** A check for each field of a message; one that is missing does not compile. */
type Checks<T> = {
  readonly [K in keyof T]-?: undefined extends T[K] ? OptionalCheck : Check;
};

type Message<K extends LinkMessage['kind']> = Extract<LinkMessage, {kind: K}>;

const MAX_ID_LENGTH = 256;
const MAX_FINGERPRINT_LENGTH = 128;

const isAny: Check = () => true;
const isString: Check = value => typeof value === 'string';
const isBoolean: Check = value => typeof value === 'boolean';
const isNumber: Check = value => Number.isFinite(value);
const isInt: Check = value => Number.isSafeInteger(value);
const isNotNegative: Check = value => isNumber(value) && Number(value) >= 0;
const isCount: Check = value => isInt(value) && Number(value) >= 0;
const isShare: Check = value => isNotNegative(value) && Number(value) <= 1;
const isAtLeastOne: Check = value => isNumber(value) && Number(value) >= 1;
const isId: Check = value =>
  typeof value === 'string' &&
  value.length > 0 &&
  value.length <= MAX_ID_LENGTH;
const isName: Check = value => isString(value) && value !== '';
const isFingerprint: Check = value =>
  typeof value === 'string' && value.length <= MAX_FINGERPRINT_LENGTH;

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isHeaders(value: unknown): boolean {
  // The schema omits a field named `__proto__`.
  return (
    isRecord(value) &&
    !Object.hasOwn(value, '__proto__') &&
    Object.values(value).every(
      header =>
        typeof header === 'string' ||
        (Array.isArray(header) && header.every(isString)),
    )
  );
}

/** Creates a check of an object with these fields and no others. */
function createCheck<T>(checks: Checks<T>): Check {
  const byName = new Map<string, Check>();
  const required: string[] = [];
  for (const [name, check] of Object.entries<Check | OptionalCheck>(checks)) {
    if (typeof check === 'function') {
      byName.set(name, check);
      required.push(name);
    } else {
      byName.set(name, check.optional);
    }
  }
  return value =>
    isRecord(value) &&
    Object.keys(value).every(name => byName.get(name)?.(value[name])) &&
    required.every(name => Object.hasOwn(value, name));
}

const isLoadReport = createCheck<LoadReport>({
  running: isCount,
  queued: isCount,
  slots: isCount,
  leaving: isBoolean,
  serviceTimeMs: {optional: isNotNegative},
  slowness: {optional: isNotNegative},
  failing: {optional: isShare},
  limitPerSecond: {optional: isNotNegative},
  limitDelayMs: {optional: isNotNegative},
  coldPerSecond: {optional: isNotNegative},
  coldDelayMs: {optional: isNotNegative},
  linkDelayMs: {optional: isNotNegative},
  requestDelayMs: {optional: isNotNegative},
  linkShare: {optional: isShare},
  upstreamLeaving: {optional: isBoolean},
});

const isAttempt = createCheck<MeshAttempt>({
  attemptId: isId,
  requestId: isString,
  service: isName,
  instanceId: isId,
  route: isName,
  callerService: isString,
  idempotent: isBoolean,
  nested: {optional: isBoolean},
  slotWanted: {optional: isBoolean},
  repeated: {optional: isBoolean},
  priority: isCount,
  aimMs: isNumber,
  timeoutMs: isNumber,
  routeAimMs: isAtLeastOne,
  fingerprint: isFingerprint,
  limitPerSecond: {optional: isNotNegative},
});

const CHECKS: ReadonlyMap<string, Check> = new Map([
  [
    'attempt',
    createCheck<Message<'attempt'>>({
      kind: isAny,
      attempt: isAttempt,
      method: isString,
      path: isString,
      headers: isHeaders,
    }),
  ],
  [
    'answer',
    createCheck<Message<'answer'>>({
      kind: isAny,
      attemptId: isId,
      status: isInt,
      headers: isHeaders,
      unframed: {optional: isBoolean},
      load: isLoadReport,
    }),
  ],
  [
    'refusal',
    createCheck<Message<'refusal'>>({
      kind: isAny,
      attemptId: isId,
      reason: isString,
      outcome: value => value === 'not-run' || value === 'unknown',
      retryAfterMs: {optional: isNumber},
      reachedUpstream: isBoolean,
      load: isLoadReport,
    }),
  ],
  ['cancel', createCheck<Message<'cancel'>>({kind: isAny, attemptId: isId})],
]);

/**
 * Reports whether a value is a valid message of a call.
 * @param value - A value that was parsed from JSON.
 * @returns True if the schema accepts the value unchanged; false if only the schema
 *     can tell.
 */
export function isCallMessage(value: unknown): value is LinkMessage {
  return (
    isRecord(value) &&
    typeof value['kind'] === 'string' &&
    CHECKS.get(value['kind'])?.(value) === true
  );
}
