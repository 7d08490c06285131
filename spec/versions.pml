/*
 * Fold of the published submissions: order, whole acceptance, operator races,
 * whole swaps and the digest chain.
 *
 * Bounds: 3 proxies, 3 submissions, each with any base from 0 to 2 and a valid
 * or an invalid patch; any proxy may be sent any submission or any peer's
 * folded state at any time, again and in any order, or never; proxy 2 may run
 * a build with another validation.
 *
 * Each MUTANT_ macro takes one guard away and must be found to fail.
 */
#define N 3
#define LAST 3
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

byte base[LAST + 1];     /* of each submission */
bool valid[LAST + 1];
bool otherBuild;         /* proxy 2 accepts what the others call invalid */

byte sequence[N];
byte accepted[N];        /* accepted submissions: the configuration */
byte version[N];
bool stopped[N];         /* has seen another digest for its sequence */
byte routes[N];          /* the request path's routes ... */
byte upstreams[N];       /* ... and upstreams, by accepted submissions */
byte published;          /* submissions that the source shows, a prefix */

#define COUNT(m) ((((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
/* The chain covers every verdict, so equal digests mean equal histories. */
#define SAME_DIGEST(a, b) (sequence[a] == sequence[b] && accepted[a] == accepted[b])
#define AGREES(a) (!otherBuild || (a) != 2)

#ifdef MUTANT_NO_ORDER
#define NEXT(me, s) ((s) > sequence[me])
#else
#ifdef MUTANT_OLD_ACCEPTED
#define NEXT(me, s) ((s) <= sequence[me] + 1)
#else
#define NEXT(me, s) ((s) == sequence[me] + 1)
#endif
#endif

#ifdef MUTANT_NO_BASE_CHECK
#define FITS(me, s) true
#else
#define FITS(me, s) (base[s] == version[me])
#endif

#ifdef MUTANT_NO_STOP
#define MAY_ADVANCE(me) true
#else
#define MAY_ADVANCE(me) (!stopped[me])
#endif

#ifdef MUTANT_OLD_STATE
#define NEWER(me, other) (sequence[other] != sequence[me])
#else
#define NEWER(me, other) (sequence[other] > sequence[me])
#endif

/* A mutant is searched for one property only, so that it has to break that one. */
#ifdef ONLY
#define CHECK(property, condition) assert(ONLY != property || (condition))
#else
#define CHECK(property, condition) assert(condition)
#endif
#define NEVER_BACK 1
#define STOPS_ON_MISMATCH 2
#define WHOLE_SWAP 3
#define ONE_WINNER 4
#define SAME_EVERYWHERE 5

inline advance(me, s, mask) {
  CHECK(STOPS_ON_MISMATCH, !stopped[me]);
  CHECK(NEVER_BACK, s >= sequence[me] && COUNT(mask) >= version[me]);
  sequence[me] = s;
  accepted[me] = mask;
  version[me] = COUNT(mask);
#ifdef MUTANT_HALF_SWAP
  routes[me] = mask
#else
  routes[me] = mask;
  upstreams[me] = mask
#endif
}

#define FOLD(s) \
  :: atomic { MAY_ADVANCE(me) && s <= published && NEXT(me, s) -> \
      if \
      :: FITS(me, s) && (valid[s] || (otherBuild && me == 2)) -> \
        advance(me, s, accepted[me] | BIT(s)) \
      :: else -> advance(me, s, accepted[me]) \
      fi }

#define TAKE_STATE(other) \
  :: atomic { me != other && MAY_ADVANCE(me) && NEWER(me, other) && AGREES(other) && AGREES(me) -> \
      advance(me, sequence[other], accepted[other]) }

#define COMPARE(other) \
  :: atomic { me != other && sequence[me] == sequence[other] && !SAME_DIGEST(me, other) -> \
      stopped[me] = true }

proctype Proxy(byte me) {
  do
  FOLD(1)
  FOLD(2)
  FOLD(3)
  TAKE_STATE(0)
  TAKE_STATE(1)
  TAKE_STATE(2)
  COMPARE(0)
  COMPARE(1)
  COMPARE(2)
#ifdef MUTANT_HALF_SWAP
  :: atomic { upstreams[me] != routes[me] -> upstreams[me] = routes[me] }
#endif
  /* A request is routed. */
  :: atomic { routes[me] != upstreams[me] -> CHECK(WHOLE_SWAP, false) }
  od
}

/* Any two proxies of one build that hold one sequence hold one configuration,
   and of submissions with one base at most one was accepted. */
#define HAS_ONE_WINNER(a) \
  (!(HAS(accepted[a], 1) && HAS(accepted[a], 2) && base[1] == base[2]) && \
   !(HAS(accepted[a], 1) && HAS(accepted[a], 3) && base[1] == base[3]) && \
   !(HAS(accepted[a], 2) && HAS(accepted[a], 3) && base[2] == base[3]))
#define SAME_CONFIG(a, b) \
  (sequence[a] != sequence[b] || !AGREES(a) || !AGREES(b) || accepted[a] == accepted[b])

active proctype Observer() {
  do
  :: atomic { !HAS_ONE_WINNER(0) || !HAS_ONE_WINNER(1) || !HAS_ONE_WINNER(2) -> CHECK(ONE_WINNER, false) }
  :: atomic { !SAME_CONFIG(0, 1) || !SAME_CONFIG(0, 2) || !SAME_CONFIG(1, 2) -> CHECK(SAME_EVERYWHERE, false) }
  od
}

inline pickBase(s) {
  if
  :: base[s] = 0
  :: base[s] = 1
  :: base[s] = 2
  fi
}

init {
  byte i;
  atomic {
    for (i : 1 .. LAST) {
      pickBase(i);
      if
      :: valid[i] = true
      :: skip
      fi
    }
    if
    :: otherBuild = true
    :: skip
    fi;
    i = 0;
    run Proxy(0); run Proxy(1); run Proxy(2)
  }
  do
  :: atomic { published < LAST -> published++ }
  od
}
