/** Bytes of large answers that wait for a VM's network connection. */

/** Bytes that wait, and what their order depends on; see `ServiceClaim`. */
export interface WaitingBytes {
  readonly priority: number;
  readonly nested: boolean;
  readonly missesAim: boolean;
  readonly bytes: number;
}
