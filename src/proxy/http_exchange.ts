/** One HTTP request to a peer or an upstream, answered whole or not at all. */
import {Dispatcher} from 'undici';
import {err, ok, Result} from 'neverthrow';
import {FailureKind} from '../core/types.js';
import {classifyFailure} from './failures.js';
import {HeaderRecord} from './headers.js';

export interface Exchange {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderRecord;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  readonly maxAnswerBytes: number;
  readonly signal: AbortSignal;
}

export interface WholeAnswer {
  readonly status: number;
  readonly headers: HeaderRecord;
  readonly body: Uint8Array;
}

/**
 * Sends a request and collects its answer.
 * @param dispatcher - The connections to one address.
 * @param exchange - The request.
 * @returns The whole answer, or how it failed.
 */
export async function exchangeHttp(
  dispatcher: Dispatcher,
  exchange: Exchange,
): Promise<Result<WholeAnswer, FailureKind>> {
  let headersReceived = false;
  try {
    const res = await dispatcher.request({
      method: exchange.method as Dispatcher.HttpMethod,
      path: exchange.path,
      headers: exchange.headers,
      body: exchange.body.length === 0 ? null : exchange.body,
      signal: exchange.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    headersReceived = true;
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > exchange.maxAnswerBytes) {
        res.body.destroy();
        return err('too-large');
      }
      chunks.push(chunk);
    }
    return ok({
      status: res.statusCode,
      headers: res.headers as HeaderRecord,
      body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks),
    });
  } catch (error) {
    return err(
      exchange.signal.aborted
        ? 'timeout'
        : classifyFailure(error, headersReceived),
    );
  }
}
