/*
 * Models how proxies fold the published submissions into a configuration. The
 * properties cover the order of submissions, concurrent submissions with the
 * same base, the atomic swap of the routing table and the digest chain.
 *
 * Bounds: 3 proxies, 3 submissions, each with any base from 0 to 2 and a valid
 * or an invalid patch; any proxy may receive any submission or the folded state
 * of any peer at any time, repeatedly and in any order, or never; proxy 2 may
 * run a build that validates differently.
 *
 * Each MUTANT_ macro removes one guard; the search must then find a violation.
 */
#define PROXIES 3
#define SUBMISSIONS 3
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

byte base[SUBMISSIONS + 1];   /* version on which each submission is based */
bool valid[SUBMISSIONS + 1];  /* whether the patch of each submission is valid */
bool differentBuild;          /* proxy 2 accepts patches that the others reject */

byte sequence[PROXIES];   /* last folded submission */
byte accepted[PROXIES];   /* mask of accepted submissions: the configuration */
byte version[PROXIES];    /* number of accepted submissions */
bool halted[PROXIES];     /* found a peer with another digest */
byte routes[PROXIES];     /* routes in force, as such a mask */
byte upstreams[PROXIES];  /* upstreams in force, as such a mask */
byte lastPublished;       /* the source has published 1 up to this */

#define COUNT(m) ((((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
/* The digest chain covers which submissions were accepted, so that equal digests
   mean equal histories. */
#define SAME_DIGEST(a, b) (sequence[a] == sequence[b] && accepted[a] == accepted[b])
/* Whether proxy a accepts the same patches as the other proxies. */
#define VALIDATES_ALIKE(a) (!differentBuild || (a) != 2)

#ifdef MUTANT_SKIP_SUBMISSIONS
#define MAY_FOLD(me, s) ((s) > sequence[me])
#else
#ifdef MUTANT_REFOLD_OLD_SUBMISSIONS
#define MAY_FOLD(me, s) ((s) <= sequence[me] + 1)
#else
#define MAY_FOLD(me, s) ((s) == sequence[me] + 1)
#endif
#endif

#ifdef MUTANT_NO_BASE_CHECK
#define BASE_MATCHES(me, s) true
#else
#define BASE_MATCHES(me, s) (base[s] == version[me])
#endif

#ifdef MUTANT_NO_HALT_ON_MISMATCH
#define MAY_ADVANCE(me) true
#else
#define MAY_ADVANCE(me) (!halted[me])
#endif

#ifdef MUTANT_ADOPT_OLDER_STATE
#define IS_NEWER(me, other) (sequence[other] != sequence[me])
#else
#define IS_NEWER(me, other) (sequence[other] > sequence[me])
#endif

/* With ONLY, a mutant has to violate that property; others are not checked. */
#ifdef ONLY
#define CHECK(property, condition) assert(ONLY != property || (condition))
#else
#define CHECK(property, condition) assert(condition)
#endif
#define VERSION_NEVER_DECREASES 1
#define HALTS_ON_MISMATCH 2
#define ATOMIC_SWAP 3
#define ONE_ACCEPTED_PER_BASE 4
#define SAME_CONFIG_PER_SEQUENCE 5

inline advance(me, s, mask) {
  CHECK(HALTS_ON_MISMATCH, !halted[me]);
  CHECK(VERSION_NEVER_DECREASES, s >= sequence[me] && COUNT(mask) >= version[me]);
  sequence[me] = s;
  accepted[me] = mask;
  version[me] = COUNT(mask);
#ifdef MUTANT_NON_ATOMIC_SWAP
  routes[me] = mask
#else
  routes[me] = mask;
  upstreams[me] = mask
#endif
}

#define FOLD(s) \
  :: atomic { MAY_ADVANCE(me) && s <= lastPublished && MAY_FOLD(me, s) -> \
      if \
      :: BASE_MATCHES(me, s) && (valid[s] || (differentBuild && me == 2)) -> \
        advance(me, s, accepted[me] | BIT(s)) \
      :: else -> advance(me, s, accepted[me]) \
      fi }

#define ADOPT_STATE(other) \
  :: atomic { me != other && MAY_ADVANCE(me) && IS_NEWER(me, other) && \
      VALIDATES_ALIKE(other) && VALIDATES_ALIKE(me) -> \
      advance(me, sequence[other], accepted[other]) }

#define COMPARE_DIGESTS(other) \
  :: atomic { me != other && sequence[me] == sequence[other] && !SAME_DIGEST(me, other) -> \
      halted[me] = true }

proctype Proxy(byte me) {
  do
  FOLD(1)
  FOLD(2)
  FOLD(3)
  ADOPT_STATE(0)
  ADOPT_STATE(1)
  ADOPT_STATE(2)
  COMPARE_DIGESTS(0)
  COMPARE_DIGESTS(1)
  COMPARE_DIGESTS(2)
#ifdef MUTANT_NON_ATOMIC_SWAP
  :: atomic { upstreams[me] != routes[me] -> upstreams[me] = routes[me] }
#endif
  /* A request is routed by the current routes and upstreams. */
  :: atomic { routes[me] != upstreams[me] -> CHECK(ATOMIC_SWAP, false) }
  od
}

/* Proxy a has accepted at most one of the submissions with the same base. */
#define ACCEPTED_ONE_PER_BASE(a) \
  (!(HAS(accepted[a], 1) && HAS(accepted[a], 2) && base[1] == base[2]) && \
   !(HAS(accepted[a], 1) && HAS(accepted[a], 3) && base[1] == base[3]) && \
   !(HAS(accepted[a], 2) && HAS(accepted[a], 3) && base[2] == base[3]))
/* Proxies with the same build and sequence have the same configuration. */
#define SAME_CONFIG(a, b) \
  (sequence[a] != sequence[b] || !VALIDATES_ALIKE(a) || !VALIDATES_ALIKE(b) || \
   accepted[a] == accepted[b])

active proctype Observer() {
  do
  :: atomic { !ACCEPTED_ONE_PER_BASE(0) || !ACCEPTED_ONE_PER_BASE(1) ||
      !ACCEPTED_ONE_PER_BASE(2) -> CHECK(ONE_ACCEPTED_PER_BASE, false) }
  :: atomic { !SAME_CONFIG(0, 1) || !SAME_CONFIG(0, 2) || !SAME_CONFIG(1, 2) ->
      CHECK(SAME_CONFIG_PER_SEQUENCE, false) }
  od
}

inline chooseBase(s) {
  if
  :: base[s] = 0
  :: base[s] = 1
  :: base[s] = 2
  fi
}

init {
  byte i;
  atomic {
    for (i : 1 .. SUBMISSIONS) {
      chooseBase(i);
      if
      :: valid[i] = true
      :: skip
      fi
    }
    if
    :: differentBuild = true
    :: skip
    fi;
    i = 0;
    run Proxy(0); run Proxy(1); run Proxy(2)
  }
  do
  :: atomic { lastPublished < SUBMISSIONS -> lastPublished++ }
  od
}
