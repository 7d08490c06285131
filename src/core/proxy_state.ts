/** The state of one proxy, and the views of it that the core's modules read. */
import {MemberInfo} from '../model/peer.js';
import {ConfigLog, createConfigLog} from './config/config_log.js';
import {CoreSettings} from './core_settings.js';
import {Entry, EntryView, createEntry} from './entry/entry_state.js';
import {
  CrashSuspects,
  createCrashSuspects,
  isQuarantined,
} from './owner/crash_suspects.js';
import {
  Owner,
  OwnerView,
  createOwner,
  isOwnerLeaving,
} from './owner/owner_state.js';
import {Adoption, AdoptionView, createAdoption} from './spread/adoption.js';
import {
  Dissemination,
  createDissemination,
  describeSelf,
} from './spread/dissemination.js';
import {Membership, createMembership} from './spread/membership.js';
import {
  SourceWatch,
  createSourceWatch,
  getAnnounceTurn,
} from './spread/source_watch.js';
import {Startup, StartupView, createStartup} from './spread/startup.js';
import {Event} from './types.js';

export interface ProxyState {
  readonly settings: CoreSettings;
  readonly log: ConfigLog;
  readonly membership: Membership;
  readonly startup: Startup;
  readonly adoption: Adoption;
  readonly watch: SourceWatch;
  readonly spread: Dissemination;
  readonly entry: Entry;
  readonly owner: Owner;
  readonly suspects: CrashSuspects;
}

export function createProxyState(settings: CoreSettings): ProxyState {
  return {
    settings,
    log: createConfigLog(),
    membership: createMembership(settings.id, settings.startedAt),
    startup: createStartup(),
    adoption: createAdoption(),
    watch: createSourceWatch(settings),
    spread: createDissemination(),
    entry: createEntry(),
    owner: createOwner(),
    suspects: createCrashSuspects(),
  };
}

export function viewOwner(state: ProxyState, at: number): OwnerView {
  const {settings, log, membership, suspects, startup} = state;
  return {settings, log, membership, suspects, ready: startup.ready, at};
}

export function viewEntry(state: ProxyState, event: Event): EntryView {
  const {at, entropy} = event;
  return {
    settings: state.settings,
    table: state.log.table,
    membership: state.membership,
    ready: state.startup.ready,
    at,
    entropy,
    isQuarantined: fingerprint =>
      isQuarantined(state.suspects, fingerprint, at),
  };
}

export function viewStartup(state: ProxyState, at: number): StartupView {
  const {log, adoption, settings, membership} = state;
  return {log, adoption, settings, membership, at};
}

export function viewAdoption(state: ProxyState, at: number): AdoptionView {
  const {log, settings, membership} = state;
  const getAnnounceDelay = (sequence: number) =>
    getAnnounceTurn(log.table, membership, settings, sequence, at) *
    ANNOUNCE_INTERVAL_MS;
  return {log, settings, membership, at, getAnnounceDelay};
}

/** Describes this proxy as its peers see it. */
export function createOwnMemberInfo(state: ProxyState, at: number): MemberInfo {
  const {spread, log, settings, startup, owner} = state;
  const leaving = isOwnerLeaving(owner, viewOwner(state, at));
  const self = describeSelf(spread, log, settings, startup.ready, leaving);
  return owner.drainHintSince === undefined ? self : {...self, drainHint: true};
}

/** Delay from one watcher's announcement to the next one's in a region. */
const ANNOUNCE_INTERVAL_MS = 100;

/** Number of values that an event's `entropy` can have. */
export const ENTROPY_RANGE = 2 ** 32;
