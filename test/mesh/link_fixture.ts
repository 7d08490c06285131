/** Creates links on connections that tests control. */
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {BodyGrants} from '../../src/mesh/body_grants.js';
import {BodyPacer} from '../../src/mesh/body_pacer.js';
import {Link, LinkHandlers} from '../../src/mesh/link.js';
import {MessageCodec} from '../../src/mesh/message_codec.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {NO_DELAYS} from './mesh_fixture.js';

/** Bandwidth that delays nothing. */
const WIDE_MBPS = 10_000;

/**
 * Creates a link that accepts all offers and fails the test at a bad frame.
 * @param socket - The connection; it has the methods of a socket that links use.
 * @param now - Clock, in milliseconds.
 * @param handlers - Replace handlers that do nothing.
 * @param grants - Grants the bodies that the link receives.
 */
export function createTestLink(
  socket: Duplex,
  now: () => number,
  handlers: Partial<LinkHandlers> = {},
  grants = new BodyGrants(() => WIDE_MBPS, now),
): Link {
  return new Link(
    socket as unknown as Socket,
    {
      onMessage: () => undefined,
      onBodyRefused: () => undefined,
      onBodyOffered: () => true,
      onConfirmed: () => undefined,
      onClose: () => undefined,
      onBadFrame: detail => {
        throw new Error(detail);
      },
      ...handlers,
    },
    new MessageCodec([]),
    {sentBytes: 0, receivedBytes: 0},
    now,
    new BodyPacer(() => WIDE_MBPS, undefined, {
      now,
      setTimer: () => () => undefined,
    }),
    NO_DELAYS,
    new MemoryBudget(10e6, 0),
    grants,
  );
}
