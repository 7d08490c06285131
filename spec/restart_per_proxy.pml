/*
 * Models an earlier design of the restart protocol, to document why it was
 * rejected. Each proxy has its own witnesses. Before a step to a new sequence it
 * announces the step to a majority of its witnesses under the current and under
 * the new sequence. After a restart it asks a majority of its witnesses under
 * the state that it was given. `npm run model` expects a violation in each
 * variant.
 *
 * SKIPPED_WITNESS_SET: the proxy moves from 0 to 2 and restarts; it is given
 * state 1, to whose witnesses the step was never announced.
 * RESTARTED_WITNESS: all sequences have the same witnesses, but one of them, a
 * minority, restarts and is ready again before the proxy asks.
 *
 * Bounds: one proxy, witnesses 1 to 5 of which three serve each sequence,
 * sequences 0 to 2, at most one restart of a witness.
 */
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

#ifdef SKIPPED_WITNESS_SET
#define WITNESSES(s) ((s) == 1 -> 56 : 14)
#define MAY_RESTART_WITNESS false
#else
#define WITNESSES(s) 14
#define MAY_RESTART_WITNESS true
#endif

bool ready = true;
byte sequence;             /* adopted if ready, else NONE */
byte highestAdopted;       /* for the property only */
byte highestAnnounced[6];  /* to each witness */
bool witnessRestarted;
byte witnessA, witnessB;   /* the chosen witnesses, 0 if none */
byte target;               /* the sequence to adopt */

/* Chooses two of the three witnesses of sequence v, or sets both to 0. */
inline chooseMajority(v) {
  if
  :: witnessA = 1 :: witnessA = 2 :: witnessA = 3 :: witnessA = 4
  fi;
  if
  :: witnessB = 2 :: witnessB = 3 :: witnessB = 4 :: witnessB = 5
  fi;
  if
  :: witnessA < witnessB && HAS(WITNESSES(v), witnessA) &&
      HAS(WITNESSES(v), witnessB) -> skip
  :: else -> witnessA = 0; witnessB = 0
  fi
}

inline announce(to) {
  highestAnnounced[witnessA] = MAX(highestAnnounced[witnessA], to);
  highestAnnounced[witnessB] = MAX(highestAnnounced[witnessB], to)
}

active proctype Proxy() {
  do
  :: atomic {
      ready && sequence < 2 ->
      if
      :: target = sequence + 1
      :: target = 2
      fi;
      chooseMajority(sequence);
      if
      :: witnessA != 0 ->
        announce(target);
        chooseMajority(target);
        if
        :: witnessA != 0 ->
          announce(target);
          assert(target >= highestAdopted);
          sequence = target; highestAdopted = target
        :: else
        fi
      :: else
      fi;
      witnessA = 0; witnessB = 0; target = 0 }
  :: atomic { ready -> ready = false; sequence = NONE }
  :: atomic {
      !ready ->
      if
      :: target = 0 :: target = 1 :: target = 2
      fi;
      chooseMajority(target);
      if
      :: witnessA != 0 && highestAnnounced[witnessA] <= target &&
          highestAnnounced[witnessB] <= target ->
        announce(target);
        assert(target >= highestAdopted);
        sequence = target; highestAdopted = target; ready = true
      :: else
      fi;
      witnessA = 0; witnessB = 0; target = 0 }
  :: atomic {
      MAY_RESTART_WITNESS && !witnessRestarted ->
      witnessRestarted = true;
      if
      :: highestAnnounced[1] = 0
      :: highestAnnounced[2] = 0
      :: highestAnnounced[3] = 0
      fi }
  od
}
