/** Validation of a patch and of the configuration that it yields. */
import {err, ok, Result} from 'neverthrow';
import {Config, Patch, PatchSchema} from '../../model/config.js';

/**
 * Limit of the services, of the upstreams and of the routes, which keeps a
 * configuration far below 1 MB.
 */
const MAX_ENTRIES = 5_000;

/** Why a submission is refused. */
export type SubmissionError =
  | {
      readonly kind: 'stale_base';
      readonly base: number;
      readonly version: number;
    }
  | {readonly kind: 'malformed_patch'; readonly detail: string}
  | {readonly kind: 'empty_patch'}
  | {readonly kind: 'unknown_entry'; readonly detail: string}
  | {readonly kind: 'unknown_service'; readonly detail: string}
  | {readonly kind: 'service_without_upstream'; readonly detail: string}
  | {readonly kind: 'address_taken'; readonly detail: string}
  | {readonly kind: 'ambiguous_route'; readonly detail: string}
  | {readonly kind: 'too_many_entries'; readonly detail: string};

/**
 * Describes an error for operators.
 * @param error - The error.
 * @returns A sentence with the cause and the remedy.
 */
export function describeSubmissionError(error: SubmissionError): string {
  switch (error.kind) {
    case 'stale_base':
      return `The patch was made against version ${error.base}, but version ${error.version} is in force; make it again from that version.`;
    case 'malformed_patch':
      return `The patch does not fit its schema at ${error.detail}; correct that member.`;
    case 'empty_patch':
      return 'The patch changes nothing; name at least one entry.';
    case 'unknown_entry':
      return `The patch removes ${error.detail}, which does not exist; leave it out.`;
    case 'unknown_service':
      return `${error.detail}; add the service in the same patch or name one that exists.`;
    case 'service_without_upstream':
      return `${error.detail}; add an upstream or remove the route in the same patch.`;
    case 'address_taken':
      return `${error.detail}; give each upstream a peer address of its own.`;
    case 'ambiguous_route':
      return `${error.detail}; make host, prefix or methods differ.`;
    case 'too_many_entries':
      return `${error.detail}; remove entries that are not used.`;
  }
}

/**
 * Parses an untrusted patch.
 * @param patch - The published value.
 * @returns The patch, or the first violation of its schema.
 */
export function parsePatch(patch: unknown): Result<Patch, SubmissionError> {
  const parsed = PatchSchema.safeParse(patch);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue.path.join('.') || 'the top level';
    return err({kind: 'malformed_patch', detail: `${path} (${issue.message})`});
  }
  const size =
    Object.keys(parsed.data.services ?? {}).length +
    Object.keys(parsed.data.upstreams ?? {}).length +
    Object.keys(parsed.data.routes ?? {}).length;
  return size === 0 ? err({kind: 'empty_patch'}) : ok(parsed.data);
}

/**
 * Applies a patch to a configuration, without checking references.
 * @param config - The configuration, which is not changed.
 * @param patch - The patch.
 * @returns The patched configuration, or the entry to remove that is missing.
 */
export function applyPatch(
  config: Config,
  patch: Patch,
): Result<Config, SubmissionError> {
  const services = patchEntries(config.services, patch.services, 'service');
  const upstreams = patchEntries(config.upstreams, patch.upstreams, 'upstream');
  const routes = patchEntries(config.routes, patch.routes, 'route');
  if (services.isErr()) {
    return err(services.error);
  }
  if (upstreams.isErr()) {
    return err(upstreams.error);
  }
  if (routes.isErr()) {
    return err(routes.error);
  }
  return ok({
    services: services.value,
    upstreams: upstreams.value,
    routes: routes.value,
  });
}

/** Applies changes to the entries of one kind. */
function patchEntries<T>(
  entries: Record<string, T>,
  changes: Readonly<Record<string, T | null>> | undefined,
  entryKind: string,
): Result<Record<string, T>, SubmissionError> {
  if (changes === undefined) {
    // The same object is returned, because callers compare the identity.
    return ok(entries);
  }
  const patched = new Map(Object.entries(entries));
  for (const [name, change] of Object.entries(changes)) {
    if (change !== null) {
      patched.set(name, change);
    } else if (!patched.delete(name)) {
      return err({kind: 'unknown_entry', detail: `${entryKind} ${name}`});
    }
  }
  return ok(Object.fromEntries(patched));
}

/**
 * Checks the size of a configuration, that every referenced service exists and
 * is served, and that addresses and routes are unambiguous.
 * @param config - The whole configuration.
 * @returns The configuration, or the first error.
 */
export function checkReferences(
  config: Config,
): Result<Config, SubmissionError> {
  const error =
    findSizeError(config) ??
    findUpstreamError(config) ??
    findRouteError(config);
  return error === undefined ? ok(config) : err(error);
}

function findSizeError(config: Config): SubmissionError | undefined {
  for (const [entryKinds, entries] of Object.entries(config)) {
    const count = Object.keys(entries).length;
    if (count > MAX_ENTRIES) {
      return {
        kind: 'too_many_entries',
        detail: `The configuration would have ${count} ${entryKinds}, more than the limit of ${MAX_ENTRIES}`,
      };
    }
  }
  return undefined;
}

function findUpstreamError(config: Config): SubmissionError | undefined {
  const idByAddress = new Map<string, string>();
  for (const id of Object.keys(config.upstreams).sort()) {
    const {service, peerAddress} = config.upstreams[id];
    if (!Object.hasOwn(config.services, service)) {
      return {
        kind: 'unknown_service',
        detail: `Upstream ${id} belongs to service ${service}, which does not exist`,
      };
    }
    const other = idByAddress.get(peerAddress);
    if (other !== undefined) {
      return {
        kind: 'address_taken',
        detail: `Upstreams ${other} and ${id} share the peer address ${peerAddress}`,
      };
    }
    idByAddress.set(peerAddress, id);
  }
  return undefined;
}

function findRouteError(config: Config): SubmissionError | undefined {
  const served = new Set(
    Object.values(config.upstreams).map(upstream => upstream.service),
  );
  const seen = new Map<string, string>();
  for (const id of Object.keys(config.routes).sort()) {
    const route = config.routes[id];
    if (!Object.hasOwn(config.services, route.service)) {
      return {
        kind: 'unknown_service',
        detail: `Route ${id} leads to service ${route.service}, which does not exist`,
      };
    }
    if (!served.has(route.service)) {
      return {
        kind: 'service_without_upstream',
        detail: `Route ${id} leads to service ${route.service}, which has no upstream`,
      };
    }
    for (const method of route.methods ?? ['*']) {
      const match = `${route.host ?? '*'} ${route.pathPrefix} ${method}`;
      const other = seen.get(match);
      if (other !== undefined) {
        return {
          kind: 'ambiguous_route',
          detail: `Routes ${other} and ${id} both match ${match}`,
        };
      }
      seen.set(match, id);
    }
  }
  return undefined;
}
