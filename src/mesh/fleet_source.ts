/** Where whole versions and registered upstreams are read. */
import {Result} from 'neverthrow';
import {SourceAnswer, SourceRequest} from '../core/mesh/mesh_types.js';

/** Why a read of the source brought nothing. */
export interface SourceError {
  readonly kind: 'unreachable' | 'refused' | 'unreadable';
  readonly detail: string;
}

/** Reads the platform; an adapter implements it. */
export interface FleetSource {
  /**
   * Makes one read.
   * @param request - What to read.
   * @returns What it brought, or why it brought nothing; never rejects.
   */
  read(request: SourceRequest): Promise<Result<SourceAnswer, SourceError>>;
  /** Closes connections. */
  close(): Promise<void>;
}

/** Told of what is published but cannot be used. */
export type RejectListener = (kind: string, detail: string) => void;
