/**
 * JSON requests to the control interfaces of stand-ins and to the operator
 * ports of proxies.
 */
import {request} from 'undici';
import * as z from 'zod';
import {formatLoopbackAddress} from './ports.js';

/** Response to a JSON request. */
export interface JsonResponse {
  readonly status: number;
  /** The parsed body, or the text if it is not JSON. */
  readonly body: unknown;
}

/**
 * Sends a request.
 * @param port - Loopback port.
 * @param path - Path and query string.
 * @param body - JSON body of a POST request; if undefined, sends a GET request.
 * @returns Status and body. Rejects if the connection fails.
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
 * Sends a request and validates its response.
 * @param port - Loopback port.
 * @param path - Path and query string.
 * @param schema - Schema of the response body.
 * @param body - JSON body of a POST request; if undefined, sends a GET request.
 * @returns The body. Rejects if the status is not 200 or the body does not match.
 */
export async function fetchValidatedJson<T>(
  port: number,
  path: string,
  schema: z.ZodType<T>,
  body?: unknown,
): Promise<T> {
  const response = await fetchJson(port, path, body);
  if (response.status !== 200) {
    throw new Error(
      `${path} returned status ${response.status}, not 200: ${JSON.stringify(response.body)}`,
    );
  }
  return schema.parse(response.body);
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
