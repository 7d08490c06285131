/**
 * Messages between proxies as bytes: JSON, compressed against a dictionary of
 * what most messages hold, so that names cost next to nothing between zones.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, Result} from 'neverthrow';
import {LinkMessage, LinkMessageSchema} from '../model/mesh.js';

/** Both sides must have the same; the most usual text stands last. */
const DICTIONARY = Buffer.from(
  [
    '{"kind":"hello","address":"10.","zone":"","incarnation":1,"version":,"revision":,"leaving":false}',
    '{"kind":"upstreamState","instanceId":"i-","up":true}{"kind":"pull","version":,"revision":}',
    '{"kind":"news","root":"10.","relay":true,"ageMs":0,"fleet":{"base":,"revision":,"changed":[{"id":"i-","service":"","address":"10.","zone":"","slots":,"state":"ready","draining","coldMs":0,"incarnation":0,"heartbeat":}],"removed":["i-"]},"version":,"delta":{"base":,"version":,"routes":[{"name":"r-","host":".example","pathPrefix":"/","idempotent":true,"timeoutMs":,"aimMs":,"attempts":2,"priority":0,"backends":[{"service":"","weight":1}]}],"removedRoutes":[],"services":[],"removedServices":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}',
    '{"kind":"cancel","attemptId":"10."}{"kind":"refusal","attemptId":"10.","reason":"queue_full","deadline_too_short","outcome":"not-run","retryAfterMs":,"reachedUpstream":false,"load":{"running":0,"queued":0,"slots":9,"leaving":false,"slowness":1.,"failing":0.0}}',
    '{"kind":"answer","attemptId":"10.","status":200,"headers":{"x-request-id":"","x-response-signature":"","content-type":"application/octet-stream","date":" GMT"},"load":{"running":0,"queued":0,"slots":9,"leaving":false,"slowness":1.0,"failing":0}}',
    '{"kind":"attempt","attempt":{"attemptId":"10.","requestId":"","service":"","instanceId":"i-","route":"r-","callerService":"","idempotent":true,"priority":2,"aimMs":,"timeoutMs":,"routeAimMs":400,"fingerprint":""},"method":"GET","path":"/","headers":{"host":".example","x-request-id":"","x-deadline-ms":"","accept":"*/*","user-agent":"","x-caller-service":""}}',
  ].join(''),
);

/** Largest message after decompression, in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1_048_576;

/** Fast: most messages are short. */
const LEVEL = 3;

/**
 * Packs a message.
 * @param message - The message.
 * @returns Its bytes.
 */
export function packMessage(message: LinkMessage): Buffer {
  const text = JSON.stringify(message, roundNumbers);
  return deflateRawSync(text, {dictionary: DICTIONARY, level: LEVEL});
}

/** Fractions of a tenth of a millisecond say nothing. */
function roundNumbers(_key: string, value: unknown): unknown {
  return typeof value === 'number' && !Number.isInteger(value)
    ? Math.round(value * 100) / 100
    : value;
}

/**
 * Unpacks a message and checks it.
 * @param packed - The bytes.
 * @returns The message, or what is wrong with it.
 */
export function unpackMessage(packed: Uint8Array): Result<LinkMessage, string> {
  let value: unknown;
  try {
    const options = {
      dictionary: DICTIONARY,
      maxOutputLength: MAX_MESSAGE_BYTES,
    };
    value = JSON.parse(inflateRawSync(packed, options).toString('utf8'));
  } catch (error) {
    return err(`no message: ${String(error)}; run the same build everywhere`);
  }
  const parsed = LinkMessageSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return err(`${issue.path.join('.')}: ${issue.message}`);
}
