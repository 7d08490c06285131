/**
 * Decides when a starting proxy, which remembers nothing, has caught up with
 * every version that it may have held before its restart.
 */
import {ConfigLog} from '../config/config_log.js';
import {CoreSettings} from '../core_settings.js';
import {PeerReply} from '../../model/peer.js';
import {Emit} from '../types.js';
import {getWitnesses, hasMajority} from './witnesses.js';

const JOIN_RETRY_MS = 200;

/** Failed tries after which a silent peer no longer delays the start. */
const MAX_JOIN_FAILURES = 3;

type JoinReply = Extract<PeerReply, {kind: 'join'}>;

export interface Startup {
  ready: boolean;
  sourceAnswered: boolean;
  readonly replies: Map<string, JoinReply>;
  readonly failures: Map<string, number>;
  askedAt: number;
}

export function createStartup(): Startup {
  return {
    ready: false,
    sourceAnswered: false,
    replies: new Map(),
    failures: new Map(),
    askedAt: -Infinity,
  };
}

/**
 * Asks seeds and witnesses that have not answered yet.
 * @param startup - Progress of the start.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @param at - Now, in Unix milliseconds.
 * @param emit - Takes effects.
 */
export function askToJoin(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
  at: number,
  emit: Emit,
): void {
  if (at - startup.askedAt < JOIN_RETRY_MS) {
    return;
  }
  startup.askedAt = at;
  for (const address of getJoinAddresses(log, settings)) {
    // A peer that was itself starting may have become ready since.
    if (startup.replies.get(address)?.ready !== true) {
      const request = {kind: 'join', id: settings.id} as const;
      emit({kind: 'askPeer', address, request});
    }
  }
}

function getJoinAddresses(log: ConfigLog, settings: CoreSettings): Set<string> {
  const witnesses = getWitnesses(
    settings.id,
    settings.region,
    log.latest.config,
  );
  const addresses = [
    ...settings.seeds,
    ...witnesses.map(({peerAddress}) => peerAddress),
  ];
  return new Set(addresses.filter(a => a !== settings.peerAddress));
}

export function recordJoinReply(
  startup: Startup,
  address: string,
  reply: JoinReply,
): void {
  startup.replies.set(address, reply);
  startup.failures.delete(address);
}

export function recordJoinFailure(startup: Startup, address: string): void {
  startup.failures.set(address, (startup.failures.get(address) ?? 0) + 1);
}

/**
 * Tells whether the latest folded state may be put in force after a start.
 * @param startup - Progress of the start.
 * @param log - The submission log.
 * @param settings - This proxy's settings.
 * @returns True where no version held before the restart can be newer.
 */
export function hasCaughtUp(
  startup: Startup,
  log: ConfigLog,
  settings: CoreSettings,
): boolean {
  const replies = [...startup.replies.values()];
  const readyReplies = replies.filter(reply => reply.ready);
  if (readyReplies.length === 0 && !startup.sourceAnswered) {
    return false;
  }
  const floors = [
    ...replies.map(reply => reply.floor),
    ...readyReplies.map(reply => reply.sequence),
  ];
  if (floors.some(floor => floor > log.latest.sequence)) {
    return false;
  }
  const answered = (address: string) => startup.replies.has(address);
  const settled = (address: string) =>
    answered(address) ||
    (startup.failures.get(address) ?? 0) >= MAX_JOIN_FAILURES;
  if (![...getJoinAddresses(log, settings)].every(settled)) {
    return false;
  }
  const witnesses = getWitnesses(
    settings.id,
    settings.region,
    log.latest.config,
  );
  const answeredIds = witnesses
    .filter(({peerAddress}) => answered(peerAddress))
    .map(({id}) => id);
  return hasMajority(witnesses, new Set(answeredIds));
}
