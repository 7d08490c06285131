/** Interface for reading configurations and registered upstreams. */
import {Result} from 'neverthrow';
import {SourceAnswer, SourceRequest} from '../core/mesh/mesh_types.js';

/**
 * Why a read failed. `unreachable`: no complete response arrived. `refused`:
 * the source answered with an error status. `unreadable`: the response could
 * not be parsed.
 */
export interface SourceError {
  readonly kind: 'unreachable' | 'refused' | 'unreadable';
  readonly detail: string;
}

/** Client of the source; implemented by the adapter to a platform. */
export interface FleetSource {
  /**
   * Sends one read request.
   * @param request - What to read.
   * @returns The answer, or the reason for the failure; never rejects.
   */
  read(request: SourceRequest): Promise<Result<SourceAnswer, SourceError>>;
  /** Closes all connections to the source. */
  close(): Promise<void>;
}

/** Receives what a source client finds in stored documents. */
export interface SourceListener {
  /** A stored document is invalid and therefore ignored. */
  onReject(kind: string, detail: string): void;
  /** A stored document has a value that this build does not know. */
  onUnknown(kind: string, detail: string): void;
}
