/** Exchanges control messages between proxies as JSON-RPC 2.0 over HTTP. */
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  JSONRPCServer,
  JSONRPCRequest,
  JSONRPCResponse,
} from 'json-rpc-2.0';
import {
  PeerReply,
  PeerReplySchema,
  PeerRequest,
  PeerRequestSchema,
} from '../model/peer.js';
import {ConnectionPools} from './connection_pools.js';
import {startExchange} from './http_exchange.js';

export const CONTROL_PATH = '/rpc';
const RPC_METHOD = 'peer';
const REQUEST_TIMEOUT_MS = 1_500;
const MAX_REPLY_BYTES = 8 * 1_048_576;

/** Bytes of control messages, without HTTP headers. */
export interface ControlTraffic {
  sentBytes: number;
  receivedBytes: number;
}

/** Sends control messages to peers. */
export class ControlClient {
  private nextId = 1;

  constructor(
    private readonly pools: ConnectionPools,
    private readonly traffic: ControlTraffic,
  ) {}

  /**
   * Sends a request to a peer.
   * @param address - The peer's address.
   * @param request - The request.
   * @returns The validated reply, or undefined if none arrived in time or it
   *     does not match the schema.
   */
  async sendRequest(
    address: string,
    request: PeerRequest,
  ): Promise<PeerReply | undefined> {
    const id = this.nextId++;
    const message: JSONRPCRequest = {
      jsonrpc: '2.0',
      id,
      method: RPC_METHOD,
      params: request,
    };
    const body = Buffer.from(JSON.stringify(message));
    this.traffic.sentBytes += body.length;
    const answer = await startExchange(this.pools.get(address), {
      method: 'POST',
      path: CONTROL_PATH,
      headers: {'content-type': 'application/json'},
      body,
      timeoutMs: REQUEST_TIMEOUT_MS,
      maxAnswerBytes: MAX_REPLY_BYTES,
    }).result;
    if (answer.isErr()) {
      return undefined;
    }
    this.traffic.receivedBytes += answer.value.body.length;
    return parseReply(answer.value.body, id);
  }
}

function parseReply(body: Uint8Array, id: number): PeerReply | undefined {
  try {
    const response = JSON.parse(
      Buffer.from(body).toString('utf8'),
    ) as JSONRPCResponse;
    if (response.id !== id || response.error !== undefined) {
      return undefined;
    }
    const parsed = PeerReplySchema.safeParse(response.result);
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Creates the server side of the control channel.
 * @param handle - Handles a validated request and returns its reply.
 * @param onInvalidMessage - Called for each message that does not match the
 *     schema.
 * @returns A function that maps the text of a request to that of its reply.
 */
export function createControlServer(
  handle: (request: PeerRequest) => Promise<PeerReply>,
  onInvalidMessage: () => void,
): (text: string) => Promise<string> {
  const server = new JSONRPCServer();
  server.addMethod(RPC_METHOD, async (params: unknown): Promise<PeerReply> => {
    const parsed = PeerRequestSchema.safeParse(params);
    if (!parsed.success) {
      onInvalidMessage();
      const issue = parsed.error.issues[0];
      return {
        kind: 'refused',
        code: 'bad_message',
        detail: `${issue.path.join('.')}: ${issue.message}; run the same build on both proxies.`,
      };
    }
    return handle(parsed.data);
  });
  return async text => {
    const response = await server.receiveJSON(text);
    const hasError = [response].flat().some(part => part?.error !== undefined);
    if (response === null || hasError) {
      onInvalidMessage();
    }
    return JSON.stringify(
      response ??
        createJSONRPCErrorResponse(
          null,
          JSONRPCErrorCode.InvalidRequest,
          'Send a request with an id.',
        ),
    );
  };
}
