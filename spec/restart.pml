/*
 * Restart protocol of the code: a proxy announces a sequence to a majority of
 * its witnesses under each version that it passes, before the sequence is in
 * force. A starting proxy asks all witnesses of the state that it was given,
 * and serves once a majority has answered and every other has failed to.
 * Property: it never puts a sequence in force that is older than one it has
 * had in force.
 *
 * Bounds: one proxy, sequences 0 to 2, witnesses 1 to 5 of which three serve
 * each sequence (1 to 3 serve 0 and 2, 3 to 5 serve 1), restarts without
 * number. The source and the peers may give any state at a start.
 *
 * Assumption: of each witness set, at most a minority has lost its memory since
 * the proxy last told it something, or is out of reach at the start (see
 * MUTANT_MAJORITY_LOST for what happens otherwise).
 *
 * Each MUTANT_ macro takes one guard away and must be found to fail.
 * MUTANT_FOLDED_STATE is no slip: it is what the code does for a proxy that
 * starts from a folded state, because it cannot know the versions before.
 */
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define COUNT(m) \
  ((((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1))
#define WITNESSES(s) ((s) == 1 -> 56 : 14)
#define MAJORITY(mask, s) (COUNT((mask) & WITNESSES(s)) >= 2)
#define MINORITY(mask, s) (COUNT((mask) & WITNESSES(s)) <= 1)

/* First version whose witnesses a starting proxy tells. */
#ifdef MUTANT_FOLDED_STATE
#define FIRST_PASSED(s) (s)
#else
#define FIRST_PASSED(s) 0
#endif

#ifdef MUTANT_HELD_AND_NEW_ONLY
#define MAY_SKIP(v, from, to) ((v) != from && (v) != to)
#else
#define MAY_SKIP(v, from, to) false
#endif

#ifdef MUTANT_MAJORITY_LOST
#define TOLERATED(mask) true
#define TOLERATED_AT(mask, s) true
#else
#define TOLERATED(mask) (MINORITY(mask, 0) && MINORITY(mask, 1) && MINORITY(mask, 2))
#define TOLERATED_AT(mask, s) MINORITY(mask, s)
#endif

#ifdef MUTANT_BARE_MAJORITY
#define MAY_IGNORE(w) true
#else
#define MAY_IGNORE(w) HAS(outOfReach, w)
#endif

bool ready = true;
byte sequence;      /* in force, or NONE */
byte highest;       /* for the property only */
byte target = NONE; /* sequence being announced */
byte passed;        /* first version that the step passes */
byte acked;         /* witnesses that have acknowledged the target */
byte answered;      /* witnesses whose floor allows the target */
byte floor[6];
byte lost;          /* witnesses that forgot what the proxy told them */
byte outOfReach;

#define ENOUGH(v) (MAY_SKIP(v, passed, target) || MAJORITY(acked, v))
#define ANNOUNCED \
  ((passed > 0 || target < 0 || ENOUGH(0)) && \
   (passed > 1 || target < 1 || ENOUGH(1)) && \
   (passed > 2 || target < 2 || ENOUGH(2)))
#define ASKED(w) (HAS(answered, w) || !HAS(WITNESSES(target), w) || MAY_IGNORE(w))
#define ALL_SETTLED (ASKED(1) && ASKED(2) && ASKED(3) && ASKED(4) && ASKED(5))

#define NEWEST (target == NONE -> sequence : target)

#define WITNESS(w) \
  /* It acknowledges the announcement. */ \
  :: atomic { target != NONE && (ready || ALL_SETTLED) && !HAS(acked, w) -> \
      floor[w] = MAX(floor[w], target); acked = acked | BIT(w); lost = lost & ~BIT(w) } \
  /* It hears by gossip of the newest sequence, in force or not. */ \
  :: atomic { ready && floor[w] < NEWEST -> floor[w] = NEWEST; lost = lost & ~BIT(w) } \
  /* It restarts with nothing. */ \
  :: atomic { floor[w] > 0 && TOLERATED(lost | BIT(w) | outOfReach) -> \
      floor[w] = 0; lost = lost | BIT(w) } \
  :: atomic { !HAS(outOfReach, w) && TOLERATED(lost | BIT(w) | outOfReach) -> \
      outOfReach = outOfReach | BIT(w) } \
  :: atomic { HAS(outOfReach, w) -> outOfReach = outOfReach & ~BIT(w) } \
  /* It answers the starting proxy. */ \
  :: atomic { !ready && target != NONE && !HAS(outOfReach, w) && HAS(WITNESSES(target), w) && \
      !HAS(answered, w) && floor[w] <= target -> answered = answered | BIT(w) }

#define READ(s) \
  :: atomic { ready && target == NONE && s > sequence -> target = s; passed = sequence } \
  /* A starting proxy is given a state; a newer one replaces it. */ \
  :: atomic { !ready && (target == NONE || s > target) -> \
      target = s; passed = FIRST_PASSED(s); acked = 0; answered = 0 }

active proctype Fleet() {
  do
  READ(0)
  READ(1)
  READ(2)
  WITNESS(1)
  WITNESS(2)
  WITNESS(3)
  WITNESS(4)
  WITNESS(5)
  :: atomic {
      target != NONE && ANNOUNCED &&
      (ready || ALL_SETTLED && MAJORITY(answered, target)) ->
      assert(target >= highest);
      sequence = target; highest = target; ready = true;
      target = NONE; passed = 0; acked = 0; answered = 0 }
  :: atomic {
      ready ->
      ready = false; sequence = NONE; target = NONE;
      passed = 0; acked = 0; answered = 0 }
  od
}
