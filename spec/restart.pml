/*
 * Models the restart protocol of one region. Some proxies are the witnesses of
 * a sequence: all proxies choose the same ones, and each witness remembers the
 * highest sequence that was announced to it. A proxy that reads a new sequence
 * from the source announces it to the witnesses in two rounds before it adopts
 * it. A proxy that gets a sequence from a peer that has adopted it needs no
 * announcement.
 *
 * Property: no proxy adopts a sequence that is older than one it adopted
 * before, even after a restart without its memory.
 *
 * Bounds: 4 proxies, sequences 0 to 2, three witnesses for each sequence with
 * a different set for each, majority 2, any number of restarts, two proxies
 * that announce (0 and 3), the property checked for proxy 0. The source may
 * answer with any prefix at any time; any message may be lost, delayed or
 * repeated. A remote call is one step at the witness; its reply may be used at
 * any later time.
 *
 * Assumption: in each witness set, a majority is not starting (without it the
 * property fails, as MUTANT_MAJORITY_MAY_RESTART shows). Not modelled: several
 * regions, and witnesses that are left out because they are gone.
 *
 * Each MUTANT_ macro removes one guard; the search must then find a violation.
 */
#define PROXIES 4
#define LAST 2
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

/* Mask of the witnesses of sequence s. The property is checked for proxy 0, which
   is a witness of sequences 0 and 2 or, in the variant, of none. */
#ifdef CHECKED_PROXY_IS_NO_WITNESS
#define WITNESSES(s) 14
#else
#define WITNESSES(s) ((s) == 0 -> 7 : ((s) == 1 -> 14 : 11))
#endif
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(mask, s) (COUNT((mask) & WITNESSES(s)) >= 2)
#define ANNOUNCES(q) ((q) == 0 || (q) == 3)

bool ready[PROXIES];
byte sequence[PROXIES];          /* adopted if ready, else the candidate or NONE */
byte highestAnnounced[PROXIES];  /* to it as a witness */
byte requiredSequence[PROXIES];  /* highest that a witness reported at its start */
byte allowedBy[PROXIES];         /* witnesses that know of nothing newer */
byte announced[PROXIES];         /* sequence that it announces, 0 if none */
bool secondRoundDone[PROXIES];   /* so the announced sequence may be adopted */
byte ackedBy[PROXIES];           /* witnesses that acknowledged the first round */
byte startingReplies[PROXIES];   /* for MUTANT_LATE_STARTING_REPLIES only */
byte adoptedSequences;           /* mask: adopted by any proxy so far */
byte highestAdopted;             /* by proxy 0, for the property only */

/* Whether mask has a majority of the witnesses of each sequence that the step
   passes: from `from` up to, but not including, `to`. */
#ifdef MUTANT_ANNOUNCE_TO_CURRENT_SET_ONLY
#define ACKED_BY_MAJORITIES(mask, from, to) MAJORITY(mask, from)
#else
#define ACKED_BY_MAJORITIES(mask, from, to) \
  (MAJORITY(mask, from) && ((to) - (from) < 2 || MAJORITY(mask, (from) + 1)))
#endif
/* Whether w is a witness of such a sequence. */
#define MUST_ACK(w, from, to) \
  (HAS(WITNESSES(from), w) || ((to) - (from) == 2 && HAS(WITNESSES((from) + 1), w)))

#define STARTING_MASK \
  ((1 - ready[0]) + 2 * (1 - ready[1]) + 4 * (1 - ready[2]) + 8 * (1 - ready[3]))
#define MINORITY_STARTING_WITH(q, v) \
  (COUNT((STARTING_MASK | BIT(q)) & WITNESSES(v)) <= 1)

#ifdef MUTANT_MAJORITY_MAY_RESTART
#define MAY_RESTART(q) true
#else
#define MAY_RESTART(q) \
  (MINORITY_STARTING_WITH(q, 0) && MINORITY_STARTING_WITH(q, 1) && \
   MINORITY_STARTING_WITH(q, 2))
#endif

#ifdef MUTANT_STARTING_WITNESS_COUNTS
#define ANSWER_COUNTS(q) true
#else
#define ANSWER_COUNTS(q) ready[q]
#endif

/* The second round detects that a witness has restarted since the first. */
#ifdef MUTANT_ANNOUNCE_IN_ONE_ROUND
#define DROP_ACK(mask, w) skip
#else
#define DROP_ACK(mask, w) mask = mask & ~BIT(w)
#endif

#ifdef MUTANT_JOIN_WITHOUT_WITNESSES
#define JOIN_ALLOWED(q) true
#else
#define JOIN_ALLOWED(q) MAJORITY(allowedBy[q], sequence[q])
#endif

inline stopAnnouncing(q) {
  announced[q] = 0; ackedBy[q] = 0; secondRoundDone[q] = false
}

inline adopt(q, to) {
  if
  :: q == 0 -> assert(to >= highestAdopted); highestAdopted = to
  :: else
  fi;
  sequence[q] = to;
  highestAnnounced[q] = MAX(highestAnnounced[q], to);
  adoptedSequences = adoptedSequences | BIT(to);
  allowedBy[q] = 0; requiredSequence[q] = 0; startingReplies[q] = 0;
  ready[q] = true;
  stopAnnouncing(q)
}

/* First round: witness w records the announced sequence. */
#define ACK(w) \
  :: atomic { announced[me] != 0 && !secondRoundDone[me] && !HAS(ackedBy[me], w) && \
      MUST_ACK(w, sequence[me], announced[me]) -> \
      highestAnnounced[w] = MAX(highestAnnounced[w], announced[me]); \
      ackedBy[me] = ackedBy[me] | BIT(w) }

/* A starting proxy asks a witness of its candidate for the highest sequence. */
#define ASK_WITNESS(w) \
  :: atomic { !ready[me] && sequence[me] != NONE && w != me && ANSWER_COUNTS(w) && \
      HAS(WITNESSES(sequence[me]), w) && !HAS(allowedBy[me], w) -> \
      if \
      :: highestAnnounced[w] > sequence[me] -> \
        requiredSequence[me] = MAX(requiredSequence[me], highestAnnounced[w]) \
      :: else -> allowedBy[me] = allowedBy[me] | BIT(w) \
      fi }

/* A proxy reads a newer sequence from the source and starts to announce it. */
#define READ_FROM_SOURCE(s) \
  :: atomic { ANNOUNCES(me) && ready[me] && s > sequence[me] && announced[me] == 0 -> \
      announced[me] = s }

/* A push or pull, however late, from a peer that has adopted the sequence. */
#define GET_FROM_PEER(s) \
  :: atomic { ready[me] && HAS(adoptedSequences, s) && s > sequence[me] -> \
      adopt(me, s) }

/* A starting proxy gets a candidate: a state that some proxy has adopted. */
#ifdef MUTANT_JOIN_WITH_SOURCE_STATE
#define CANDIDATE_ALLOWED(s) true
#else
#define CANDIDATE_ALLOWED(s) HAS(adoptedSequences, s)
#endif
#define GET_CANDIDATE(s) \
  :: atomic { !ready[me] && (sequence[me] == NONE || s > sequence[me]) && \
      CANDIDATE_ALLOWED(s) -> \
      sequence[me] = s; allowedBy[me] = 0 }

/* If a majority of the witnesses is starting too, a state of the source may be
   adopted, unless a witness has reported a newer sequence. */
#ifdef MUTANT_LATE_STARTING_REPLIES
/* The replies that a witness is starting date from different times. */
#define KNOWN_STARTING (startingReplies[me] | BIT(me))
#else
#define KNOWN_STARTING STARTING_MASK
#endif
#define COLD_START(s) \
  :: atomic { !ready[me] && requiredSequence[me] <= s && MAJORITY(KNOWN_STARTING, s) -> \
      adopt(me, s) }
#define ASK_WHETHER_STARTING(w) \
  :: atomic { !ready[me] && w != me && !ready[w] && !HAS(startingReplies[me], w) -> \
      startingReplies[me] = startingReplies[me] | BIT(w) }

proctype Proxy(byte me) {
  do
  READ_FROM_SOURCE(1)
  READ_FROM_SOURCE(2)
  ACK(0)
  ACK(1)
  ACK(2)
  ACK(3)
  /* Second round: a majority has not restarted since it answered the first. */
  :: atomic {
      announced[me] != 0 && !secondRoundDone[me] &&
      ACKED_BY_MAJORITIES(ackedBy[me], sequence[me], announced[me]) ->
      secondRoundDone[me] = true; ackedBy[me] = 0 }
  :: atomic { secondRoundDone[me] -> adopt(me, announced[me]) }
  /* The announcement is abandoned and may start again. */
  :: atomic { announced[me] != 0 -> stopAnnouncing(me) }
  GET_FROM_PEER(1)
  GET_FROM_PEER(2)
  /* The process crashes and restarts without its memory. */
  :: atomic {
      MAY_RESTART(me) ->
      ready[me] = false; sequence[me] = NONE; highestAnnounced[me] = 0;
      requiredSequence[me] = 0; allowedBy[me] = 0; startingReplies[me] = 0;
      stopAnnouncing(me);
      DROP_ACK(ackedBy[0], me);
      DROP_ACK(ackedBy[3], me) }
  GET_CANDIDATE(0)
  GET_CANDIDATE(1)
  GET_CANDIDATE(2)
  ASK_WITNESS(0)
  ASK_WITNESS(1)
  ASK_WITNESS(2)
  ASK_WITNESS(3)
  :: atomic {
      !ready[me] && sequence[me] != NONE && requiredSequence[me] <= sequence[me] &&
      JOIN_ALLOWED(me) ->
      adopt(me, sequence[me]) }
#ifdef MUTANT_LATE_STARTING_REPLIES
  ASK_WHETHER_STARTING(0)
  ASK_WHETHER_STARTING(1)
  ASK_WHETHER_STARTING(2)
  ASK_WHETHER_STARTING(3)
#endif
  COLD_START(0)
  COLD_START(1)
  COLD_START(2)
  od
}

init {
  atomic {
    ready[0] = true; ready[1] = true; ready[2] = true; ready[3] = true;
    adoptedSequences = BIT(0);
    run Proxy(0); run Proxy(1); run Proxy(2); run Proxy(3)
  }
}
