/*
 * Restart protocol of one region: the witnesses of a sequence are the same for
 * all proxies and remember one number, the highest sequence that they have
 * heard of. A proxy that reads a sequence from the source announces it in two
 * rounds; one that gets it from a proxy that has it in force need not.
 * Property: no proxy puts a sequence in force that is older than one it has
 * had in force, also after it has lost its memory.
 *
 * Bounds: 4 proxies, sequences 0 to 2, three witnesses for each sequence with
 * another set for each, majority 2, restarts without number, two proxies
 * that announce (0 and 3), the property checked for proxy 0. The source may
 * answer with any prefix at any time; any message may be lost, late or
 * repeated. A remote call is one step at the witness; what its reply brought
 * may be used any time later.
 *
 * Assumption: a majority of each witness set is not starting (see
 * MUTANT_MAJORITY_STARTING for what happens otherwise). Not modelled: witnesses
 * that are left out because they are gone, and several regions.
 *
 * Each MUTANT_ macro takes one guard away and must be found to fail.
 */
#define N 4
#define LAST 2
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

/* Members of the witness set of sequence s. */
#ifdef SUBJECT_OUTSIDE
#define WITNESSES(s) 14
#else
#define WITNESSES(s) ((s) == 0 -> 7 : ((s) == 1 -> 14 : 11))
#endif
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(mask, s) (COUNT((mask) & WITNESSES(s)) >= 2)
#define ANNOUNCES(q) ((q) == 0 || (q) == 3)

bool ready[N];
byte sequence[N];   /* in force if ready, else the candidate */
byte known[N];      /* highest sequence that this process, as a witness, has heard of */
byte required[N];   /* highest sequence that a starting proxy was told of */
byte heard[N];      /* witnesses whose answer allows the candidate */
byte target[N];     /* sequence being announced, 0 if none */
bool confirmed[N];  /* a majority has confirmed: the target may be put in force */
byte acked[N];      /* witnesses of the first round that still remember */
byte coldHeard[N];  /* for MUTANT_LATE_COLD_REPLIES only */
byte published;     /* sequences that some ready proxy has had in force */
byte highest;       /* for the property only: proxy 0's highest in force */

/* Each witness set that the step from `from` to `to` passes. */
#ifdef MUTANT_CURRENT_SET_ONLY
#define ENOUGH(mask, from, to) MAJORITY(mask, from)
#else
#define ENOUGH(mask, from, to) \
  (MAJORITY(mask, from) && ((to) - (from) < 2 || MAJORITY(mask, (from) + 1)))
#endif
#define CONCERNED(w, from, to) \
  (HAS(WITNESSES(from), w) || ((to) - (from) == 2 && HAS(WITNESSES((from) + 1), w)))

#define STARTING_MASK \
  ((1 - ready[0]) + 2 * (1 - ready[1]) + 4 * (1 - ready[2]) + 8 * (1 - ready[3]))
#define MINORITY_STARTING_WITH(q, v) (COUNT((STARTING_MASK | BIT(q)) & WITNESSES(v)) <= 1)

#ifdef MUTANT_MAJORITY_STARTING
#define MAY_RESTART(q) true
#else
#define MAY_RESTART(q) \
  (MINORITY_STARTING_WITH(q, 0) && MINORITY_STARTING_WITH(q, 1) && MINORITY_STARTING_WITH(q, 2))
#endif

#ifdef MUTANT_STARTING_WITNESS_COUNTS
#define COUNTS(q) true
#else
#define COUNTS(q) ready[q]
#endif

/* The second round finds out that a witness has restarted since the first. */
#ifdef MUTANT_ONE_ROUND
#define FORGET(mask, w) skip
#else
#define FORGET(mask, w) mask = mask & ~BIT(w)
#endif

#ifdef MUTANT_NO_JOIN
#define MAY_JOIN(q) true
#else
#define MAY_JOIN(q) MAJORITY(heard[q], sequence[q])
#endif

inline stopAnnouncing(q) {
  target[q] = 0; acked[q] = 0; confirmed[q] = false
}

inline putInForce(q, to) {
  if
  :: q == 0 -> assert(to >= highest); highest = to
  :: else
  fi;
  sequence[q] = to;
  known[q] = MAX(known[q], to);
  published = published | BIT(to);
  heard[q] = 0; required[q] = 0; coldHeard[q] = 0;
  ready[q] = true;
  stopAnnouncing(q)
}

/* First round: witness w records the announced sequence. */
#define ACK(w) \
  :: atomic { target[me] != 0 && !confirmed[me] && !HAS(acked[me], w) && \
      CONCERNED(w, sequence[me], target[me]) -> \
      known[w] = MAX(known[w], target[me]); acked[me] = acked[me] | BIT(w) }

/* A starting proxy asks a witness of its candidate what that has heard of. */
#define ASK(w) \
  :: atomic { !ready[me] && sequence[me] != NONE && w != me && COUNTS(w) && \
      HAS(WITNESSES(sequence[me]), w) && !HAS(heard[me], w) -> \
      if \
      :: known[w] > sequence[me] -> required[me] = MAX(required[me], known[w]) \
      :: else -> heard[me] = heard[me] | BIT(w) \
      fi }

/* The announcer reads a newer sequence from the source. */
#define READ(s) \
  :: atomic { ANNOUNCES(me) && ready[me] && s > sequence[me] && target[me] == 0 -> target[me] = s }

/* A push or pull, however late, from a proxy that had the sequence in force. */
#define PULL(s) \
  :: atomic { ready[me] && HAS(published, s) && s > sequence[me] -> putInForce(me, s) }

/* A starting proxy gets a state that some ready proxy has had in force. */
#ifdef MUTANT_JOIN_WITH_SOURCE_STATE
#define VOUCHED(s) true
#else
#define VOUCHED(s) HAS(published, s)
#endif
#define CANDIDATE(s) \
  :: atomic { !ready[me] && (sequence[me] == NONE || s > sequence[me]) && VOUCHED(s) -> \
      sequence[me] = s; heard[me] = 0 }

/* Where a majority of the witnesses is starting too, the source decides. */
#ifdef MUTANT_LATE_COLD_REPLIES
/* The witnesses said that they were starting, each at some other time. */
#define HEARD_STARTING (coldHeard[me] | BIT(me))
#else
#define HEARD_STARTING STARTING_MASK
#endif
#define COLD_START(s) \
  :: atomic { !ready[me] && required[me] <= s && MAJORITY(HEARD_STARTING, s) -> putInForce(me, s) }
#define ASK_COLD(w) \
  :: atomic { !ready[me] && w != me && !ready[w] && !HAS(coldHeard[me], w) -> \
      coldHeard[me] = coldHeard[me] | BIT(w) }

proctype Proxy(byte me) {
  do
  READ(1)
  READ(2)
  ACK(0)
  ACK(1)
  ACK(2)
  ACK(3)
  /* Second round: a majority still has the incarnation that answered the first. */
  :: atomic {
      target[me] != 0 && !confirmed[me] && ENOUGH(acked[me], sequence[me], target[me]) ->
      confirmed[me] = true; acked[me] = 0 }
  :: atomic { confirmed[me] -> putInForce(me, target[me]) }
  /* The announcement is given up and may start over. */
  :: atomic { target[me] != 0 -> stopAnnouncing(me) }
  PULL(1)
  PULL(2)
  /* The process dies; a new one starts in its place with nothing. */
  :: atomic {
      MAY_RESTART(me) ->
      ready[me] = false; sequence[me] = NONE; known[me] = 0; required[me] = 0; heard[me] = 0; coldHeard[me] = 0;
      stopAnnouncing(me);
      FORGET(acked[0], me);
      FORGET(acked[3], me) }
  CANDIDATE(0)
  CANDIDATE(1)
  CANDIDATE(2)
  ASK(0)
  ASK(1)
  ASK(2)
  ASK(3)
  :: atomic {
      !ready[me] && sequence[me] != NONE && required[me] <= sequence[me] && MAY_JOIN(me) ->
      putInForce(me, sequence[me]) }
#ifdef MUTANT_LATE_COLD_REPLIES
  ASK_COLD(0)
  ASK_COLD(1)
  ASK_COLD(2)
  ASK_COLD(3)
#endif
  COLD_START(0)
  COLD_START(1)
  COLD_START(2)
  od
}

init {
  atomic {
    ready[0] = true; ready[1] = true; ready[2] = true; ready[3] = true;
    published = BIT(0);
    run Proxy(0); run Proxy(1); run Proxy(2); run Proxy(3)
  }
}
