/** Calls whose callers wait for an answer on an open connection. */
import {ServerResponse} from 'node:http';
import {HeaderRecord} from './headers.js';

/** A caller's request as it will be sent on. */
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

  /** @param onCallerDisconnect - Told of each caller that leaves before its answer. */
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
   * Finds the request of a call.
   * @param callId - The call.
   * @returns The request, or undefined where the caller went away.
   */
  getOutbound(callId: string): OutboundRequest | undefined {
    return this.calls.get(callId)?.outbound;
  }

  /**
   * Ends a call.
   * @param callId - The call.
   * @returns Where its answer goes, or undefined where the caller went away.
   */
  removeAndGetResponse(callId: string): ServerResponse | undefined {
    const call = this.calls.get(callId);
    this.calls.delete(callId);
    return call?.res;
  }
}
