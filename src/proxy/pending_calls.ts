/** Tracks the calls whose callers are waiting for an answer. */
import {ServerResponse} from 'node:http';
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

  /** @param onCallerDisconnect - Called if a caller disconnects unanswered. */
  constructor(private readonly onCallerDisconnect: (callId: string) => void) {}

  add(callId: string, res: ServerResponse, outbound: OutboundRequest): void {
    this.calls.set(callId, {res, outbound});
    res.once('close', () => {
      if (this.calls.delete(callId)) {
        this.onCallerDisconnect(callId);
      }
    });
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
    this.calls.delete(callId);
    return call?.res;
  }
}
