/** Names of headers that callers and upstreams use; an adapter sets them. */
export interface HeaderNames {
  /** The caller's identifier of its request, which the upstream echoes. */
  readonly requestId: string;
  /** Time that is left for a request, in whole milliseconds. */
  readonly timeoutMs: string;
  /** Names the upstream process that alone may run the request. */
  readonly instance: string;
  /** Service of the upstream beside which the request began. */
  readonly callerService: string;
  /** Present where the upstream says that it did not run the request. */
  readonly notRun: string;
}
