/**
 * Encodes messages between proxies as JSON, optionally compressed with a preset
 * dictionary of common field names and values.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, Result} from 'neverthrow';
import {LinkMessage, LinkMessageSchema} from '../model/mesh.js';
import {isCallMessage} from './call_message_check.js';

/**
 * Preset dictionary for deflate. Text near its end takes fewer bytes to refer
 * to, so the most frequent messages come last. All proxies of a fleet must use
 * the same text.
 */
const DICTIONARY_TEXT = [
  '{"kind":"hello","address":"10.","zone":"","incarnation":1,"version":,"revision":,"leaving":false}',
  '{"kind":"upstreamState","instanceId":"i-","up":true}{"kind":"pull","version":,"revision":}',
  '{"kind":"news","root":"10.","relay":true,"ageMs":0,"fleet":{"base":,"revision":,"changed":[{"id":"i-","service":"","address":"10.","zone":"","slots":,"state":"ready","draining","coldMs":0,"incarnation":0,"heartbeat":}],"removed":["i-"]},"version":,"delta":{"base":,"version":,"routes":[{"name":"r-","host":".example","pathPrefix":"/","idempotent":true,"timeoutMs":,"aimMs":,"attempts":2,"priority":0,"backends":[{"service":"","weight":1}]}],"removedRoutes":[],"services":[],"removedServices":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}',
  '{"kind":"cancel","attemptId":"10."}{"kind":"refusal","attemptId":"10.","reason":"queue_full","deadline_too_short","outcome":"not-run","retryAfterMs":,"reachedUpstream":false,"load":{"running":0,"queued":0,"slots":9,"leaving":false,"slowness":1.,"failing":0.0}}',
  '{"kind":"answer","attemptId":"10.","status":200,"headers":{"content-type":"application/octet-stream","date":" GMT","content-length":""},"load":{"running":0,"queued":0,"slots":9,"leaving":false,"slowness":1.0,"failing":0}}',
  '{"kind":"attempt","attempt":{"attemptId":"10.","requestId":"","service":"","instanceId":"i-","route":"r-","callerService":"","idempotent":true,"priority":2,"aimMs":,"timeoutMs":,"routeAimMs":400,"fingerprint":""},"method":"GET","path":"/","headers":{"host":".example","accept":"*/*","user-agent":"","content-type":"","content-length":""}}',
].join('');

/** Largest message after decompression, in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1_048_576;

/** Favors speed, since most messages are short. */
const COMPRESSION_LEVEL = 3;

/** First byte of an encoded message: the format of the rest. */
const FORMAT_PLAIN = 0;
const FORMAT_DEFLATE = 1;

/** Encodes and decodes messages; both peers must use the same header names. */
export class MessageCodec {
  private readonly dictionary: Buffer;

  /** @param headerNames - Common header names, added to the dictionary. */
  constructor(headerNames: readonly string[]) {
    const headers = headerNames.map(name => `"${name}":"`).join('');
    this.dictionary = Buffer.from(DICTIONARY_TEXT + headers);
  }

  /**
   * Encodes a message.
   * @param message - The message.
   * @param compress - Whether to compress it.
   * @returns The encoded message.
   */
  encode(message: LinkMessage, compress: boolean): Buffer {
    const {dictionary} = this;
    const text = JSON.stringify(message);
    const payload = compress
      ? deflateRawSync(text, {dictionary, level: COMPRESSION_LEVEL})
      : Buffer.from(text);
    return Buffer.concat([
      Buffer.of(compress ? FORMAT_DEFLATE : FORMAT_PLAIN),
      payload,
    ]);
  }

  /**
   * Decodes and validates a message.
   * @param encoded - The bytes.
   * @returns The message, or a description of the error.
   */
  decode(encoded: Uint8Array): Result<LinkMessage, string> {
    let value: unknown;
    try {
      value = JSON.parse(this.decodeText(encoded));
    } catch (error) {
      return err(
        `cannot decode message: ${String(error)}; run the same build on all proxies`,
      );
    }
    if (isCallMessage(value)) {
      return ok(value);
    }
    const parsed = LinkMessageSchema.safeParse(value);
    if (parsed.success) {
      return ok(parsed.data);
    }
    const [issue] = parsed.error.issues;
    return err(`${issue.path.join('.')}: ${issue.message}`);
  }

  private decodeText(encoded: Uint8Array): string {
    const payload = encoded.subarray(1);
    switch (encoded[0]) {
      case FORMAT_PLAIN:
        return Buffer.from(payload).toString('utf8');
      case FORMAT_DEFLATE: {
        const {dictionary} = this;
        const options = {dictionary, maxOutputLength: MAX_MESSAGE_BYTES};
        return inflateRawSync(payload, options).toString('utf8');
      }
      default:
        throw new Error(`unknown message format ${encoded[0]}`);
    }
  }
}
