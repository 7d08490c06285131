/** Tracks the calls whose callers are waiting for an answer. */
import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {HeaderRecord} from './headers.js';

/** A caller's request, as it is forwarded. */
export interface OutboundRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderRecord;
  readonly body: Uint8Array;
}

interface PendingCall {
  readonly res: ServerResponse;
  readonly outbound: OutboundRequest;
}

export class PendingCalls {
  private readonly calls = new Map<string, PendingCall>();
  private readonly callIdsBySocket = new WeakMap<Socket, Set<string>>();

  /** @param onCallerDisconnect - Called if a caller disconnects unanswered. */
  constructor(private readonly onCallerDisconnect: (callId: string) => void) {}

  add(callId: string, res: ServerResponse, outbound: OutboundRequest): void {
    this.calls.set(callId, {res, outbound});
    this.getCallIds(res.req.socket).add(callId);
  }

  /**
   * Gets the calls that are pending on a connection. Its end is the end of all of
   * them: the response to a request that was sent behind another one is not closed
   * with the connection.
   */
  private getCallIds(socket: Socket): Set<string> {
    const known = this.callIdsBySocket.get(socket);
    if (known !== undefined) {
      return known;
    }
    const callIds = new Set<string>();
    this.callIdsBySocket.set(socket, callIds);
    const handleEnd = () => {
      for (const callId of callIds) {
        callIds.delete(callId);
        if (this.calls.delete(callId)) {
          this.onCallerDisconnect(callId);
        }
      }
    };
    // The HTTP server ends its side, too, once a caller has ended its own.
    socket.once('end', handleEnd);
    socket.once('close', handleEnd);
    return callIds;
  }

  /**
   * Gets the request of a pending call.
   * @param callId - The call.
   * @returns The request, or undefined if the caller has disconnected.
   */
  getOutbound(callId: string): OutboundRequest | undefined {
    return this.calls.get(callId)?.outbound;
  }

  /**
   * Removes a call, which is about to be answered.
   * @param callId - The call.
   * @returns The response to write the answer to, or undefined if the caller
   *     has disconnected.
   */
  removeAndGetResponse(callId: string): ServerResponse | undefined {
    const call = this.calls.get(callId);
    if (call === undefined) {
      return undefined;
    }
    this.calls.delete(callId);
    this.callIdsBySocket.get(call.res.req.socket)?.delete(callId);
    return call.res;
  }
}
