/** Names of the platform's HTTP headers; provided by the adapter. */
export interface HeaderNames {
  /** Request identifier, set by the caller and echoed by the upstream. */
  readonly requestId: string;
  /** Time left for a request, in whole milliseconds. */
  readonly timeoutMs: string;
  /** Identifier of the only upstream process that may run the request. */
  readonly instance: string;
  /** Service of the upstream on the VM where the request was made. */
  readonly callerService: string;
  /** Present if the upstream reports that it did not run the request. */
  readonly notRun: string;
  /** Requests per second that the upstream accepts from the whole fleet. */
  readonly rateLimit: string;
  /** `1` if the upstream is about to end. */
  readonly leaving: string;
}
