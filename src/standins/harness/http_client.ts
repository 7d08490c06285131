/** JSON over HTTP to side doors and operators' interfaces. */
import {request} from 'undici';
import * as z from 'zod';
import {formatLoopbackAddress} from './ports.js';

/** What came back. */
export interface JsonResponse {
  readonly status: number;
  /** Parsed where it is JSON, otherwise the text. */
  readonly body: unknown;
}

/**
 * Sends one request.
 * @param port - Loopback port.
 * @param path - Path with query.
 * @param body - JSON body; its presence makes the request a POST.
 * @returns Status and body. Rejects where the connection fails.
 */
export async function fetchJson(
  port: number,
  path: string,
  body?: unknown,
): Promise<JsonResponse> {
  const res = await request(`http://${formatLoopbackAddress(port)}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {'content-type': 'application/json', connection: 'close'},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {status: res.statusCode, body: parseJsonOrText(await res.body.text())};
}

/**
 * Sends one request whose answer must be 200 and match a schema.
 * @param port - Loopback port.
 * @param path - Path with query.
 * @param schema - What the body must be.
 * @param body - JSON body; its presence makes the request a POST.
 * @returns The body. Rejects on any other answer.
 */
export async function fetchValidatedJson<T>(
  port: number,
  path: string,
  schema: z.ZodType<T>,
  body?: unknown,
): Promise<T> {
  const answer = await fetchJson(port, path, body);
  if (answer.status !== 200) {
    throw new Error(
      `${path} answered ${answer.status}: ${JSON.stringify(answer.body)}`,
    );
  }
  return schema.parse(answer.body);
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
