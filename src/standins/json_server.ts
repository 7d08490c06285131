/** HTTP server for JSON requests, and the validation of their input. */
import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {AddressInfo} from 'node:net';
import {err, ok, Result} from 'neverthrow';
import * as z from 'zod';
import {createStandinError, StandinError, STANDIN_ERRORS} from './errors.js';

const LOOPBACK = '127.0.0.1';

/**
 * Bodies of up to this many times the size limit are read and discarded. A
 * client whose connection closes while it sends may not receive the error.
 */
const DISCARD_LIMIT_FACTOR = 8;

/** A request as passed to its handler. */
export interface JsonRequest {
  readonly req: IncomingMessage;
  readonly url: URL;
  /** Aborted if the client closes the connection before the response. */
  readonly signal: AbortSignal;
}

export type JsonHandler = (
  request: JsonRequest,
) => Promise<Result<unknown, StandinError>>;

/** Handlers by path and method. */
export type JsonRoutes = Readonly<
  Record<string, Readonly<Record<string, JsonHandler>>>
>;

/**
 * Creates a request listener that responds with JSON.
 * @param routes - The handlers.
 * @returns The listener.
 */
export function createJsonListener(routes: JsonRoutes): RequestListener {
  return (req, res) => {
    void handleRequest(routes, req, res);
  };
}

/**
 * Creates a server that responds with JSON.
 * @param routes - The handlers.
 * @returns The server, which does not listen yet.
 */
export function createJsonServer(routes: JsonRoutes): Server {
  return createServer(createJsonListener(routes));
}

async function handleRequest(
  routes: JsonRoutes,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = parseRequestUrl(req);
  const abort = new AbortController();
  res.on('close', () => abort.abort());
  const handler = findHandler(routes, req.method ?? '', url.pathname);
  const result = handler.isOk()
    ? await handler.value({req, url, signal: abort.signal})
    : err(handler.error);
  if (res.destroyed) {
    return;
  }
  result.match(
    body => sendJson(res, 200, body),
    error => sendError(res, error),
  );
}

function findHandler(
  routes: JsonRoutes,
  method: string,
  path: string,
): Result<JsonHandler, StandinError> {
  if (!Object.hasOwn(routes, path)) {
    return err(createStandinError('unknown_path', path));
  }
  const methods = routes[path];
  return Object.hasOwn(methods, method)
    ? ok(methods[method])
    : err(createStandinError('unknown_method', method));
}

/**
 * Parses the path and query string of a request.
 * @param req - The request.
 * @returns The URL. Its host is a placeholder.
 */
export function parseRequestUrl(req: IncomingMessage): URL {
  const target = req.url ?? '/';
  const path = target.startsWith('/') ? target : '/';
  return new URL(`http://${LOOPBACK}${path.replace(/^\/+/, '/')}`);
}

/**
 * Sends a JSON response.
 * @param res - The response.
 * @param status - HTTP status.
 * @param body - The value to serialize.
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': text.length,
  });
  res.end(text);
}

/**
 * Sends an error with the status and message of its code.
 * @param res - The response.
 * @param error - The error.
 */
export function sendError(res: ServerResponse, error: StandinError): void {
  const {status, message} = STANDIN_ERRORS[error.code];
  // Otherwise the unread rest of the body would be parsed as the next request.
  if (!res.req.complete) {
    res.setHeader('connection', 'close');
  }
  sendJson(res, status, {error: {...error, message}});
}

/**
 * Reads a request body.
 * @param req - The request.
 * @param maxBytes - Maximum size of the body.
 * @returns The body, or `body_too_large` or `body_incomplete`.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, StandinError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
      } else if (size > maxBytes * DISCARD_LIMIT_FACTOR) {
        break;
      }
    }
  } catch {
    return err(createStandinError('body_incomplete'));
  }
  return size > maxBytes
    ? err(createStandinError('body_too_large', `over ${maxBytes} bytes`))
    : ok(Buffer.concat(chunks));
}

/**
 * Reads, parses and validates a JSON request body.
 * @param req - The request.
 * @param schema - Schema of the body; an empty body is parsed as `{}`.
 * @param maxBytes - Maximum size of the body.
 * @returns The value, or an error whose detail names the invalid properties.
 */
export async function readJson<T>(
  req: IncomingMessage,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<Result<T, StandinError>> {
  const body = await readBody(req, maxBytes);
  return body.andThen(bytes => parseJson(bytes.toString('utf8'), schema));
}

function parseJson<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, StandinError> {
  let value: unknown;
  try {
    value = text === '' ? {} : JSON.parse(text);
  } catch {
    return err(createStandinError('bad_body', 'the body is not JSON'));
  }
  return validate(schema, value, 'bad_body');
}

/**
 * Validates the query parameters of a request.
 * @param url - URL of the request.
 * @param schema - Schema of the parameters.
 * @returns The parameters, or `bad_query`.
 */
export function parseQuery<T>(
  url: URL,
  schema: z.ZodType<T>,
): Result<T, StandinError> {
  return validate(schema, Object.fromEntries(url.searchParams), 'bad_query');
}

/**
 * Validates a value.
 * @param schema - The schema.
 * @param value - The value.
 * @param code - Code of the error if the value does not match.
 * @returns The parsed value, or an error whose detail names the invalid
 *   properties.
 */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
  code: 'bad_body' | 'bad_query' | 'bad_header',
): Result<T, StandinError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const details = parsed.error.issues.map(
    issue => `${issue.path.join('.') || '(whole)'}: ${issue.message}`,
  );
  return err(createStandinError(code, details.join('; ')));
}

/**
 * Starts to listen on the loopback interface.
 * @param server - The server.
 * @param port - The port; 0 selects a free one.
 * @returns The actual port. Rejects if the port is in use.
 */
export async function listen(server: Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/**
 * Closes a server and all its connections.
 * @param server - The server.
 */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve));
  server.closeAllConnections();
  await closed;
}
