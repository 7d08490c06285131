/**
 * Ages that messages between proxies state. They hold for the moment at which a message
 * was created; one that waits for a link, or in the socket of a process that stood still,
 * must not make what it tells look new.
 */
import {PeerMessage} from './mesh_types.js';

/**
 * Adds to the ages in a message the time for which it has been on its way.
 * @param message - The message.
 * @param ms - That time, at least, in milliseconds.
 * @returns The message with its present ages.
 */
export function addAge(message: PeerMessage, ms: number): PeerMessage {
  // Within a turn of the event loop, the copy is not worth its cost.
  if (ms < 1) {
    return message;
  }
  switch (message.kind) {
    case 'news':
    case 'state':
      return {
        ...message,
        ageMs: message.ageMs + ms,
        configAgeMs: message.configAgeMs + ms,
        versionAgeMs: message.versionAgeMs + ms,
      };
    case 'pull':
      return {
        ...message,
        ageMs: message.ageMs + ms,
        configAgeMs: message.configAgeMs + ms,
      };
    case 'polled':
      return {
        ...message,
        configAgeMs: message.configAgeMs + ms,
        versionAgeMs: message.versionAgeMs + ms,
      };
    default:
      return message;
  }
}
