/*
 * The first design of the restart protocol, kept because it fails: each proxy
 * announces its step to a majority of its own witnesses under the sequence it
 * holds and under the next, and at a start asks a majority of the witnesses
 * under the state it was given. Searched by `npm run model`, which expects a
 * violation in each variant.
 *
 * SKIPPED_SET: the proxy moves from 0 to 2; later it is given state 1, whose
 * witnesses never heard of the step.
 * LOST_WITNESS: the sets are all alike, but one witness, a minority, restarts
 * and is ready again before the proxy asks.
 *
 * Bounds: one proxy, witnesses 1 to 5 of which three serve each sequence,
 * sequences 0 to 2, at most one restart of a witness.
 */
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

#ifdef SKIPPED_SET
#define WITNESSES(s) ((s) == 1 -> 56 : 14)
#define MAY_LOSE_WITNESS false
#else
#define WITNESSES(s) 14
#define MAY_LOSE_WITNESS true
#endif

bool ready = true;
byte sequence;
byte highest;
byte floor[6];
bool lostWitness;
byte i, j, s;

/* Any two of the three members of a witness set. */
inline pickMajority(v) {
  if
  :: i = 1 :: i = 2 :: i = 3 :: i = 4
  fi;
  if
  :: j = 2 :: j = 3 :: j = 4 :: j = 5
  fi;
  if
  :: i < j && HAS(WITNESSES(v), i) && HAS(WITNESSES(v), j) -> skip
  :: else -> i = 0; j = 0
  fi
}

inline announce(to) {
  floor[i] = MAX(floor[i], to); floor[j] = MAX(floor[j], to)
}

active proctype Proxy() {
  do
  :: atomic {
      ready && sequence < 2 ->
      if
      :: s = sequence + 1
      :: s = 2
      fi;
      pickMajority(sequence);
      if
      :: i != 0 ->
        announce(s);
        pickMajority(s);
        if
        :: i != 0 ->
          announce(s);
          assert(s >= highest);
          sequence = s; highest = s
        :: else
        fi
      :: else
      fi;
      i = 0; j = 0; s = 0 }
  :: atomic { ready -> ready = false; sequence = NONE }
  :: atomic {
      !ready ->
      if
      :: s = 0 :: s = 1 :: s = 2
      fi;
      pickMajority(s);
      if
      :: i != 0 && floor[i] <= s && floor[j] <= s ->
        announce(s);
        assert(s >= highest);
        sequence = s; highest = s; ready = true
      :: else
      fi;
      i = 0; j = 0; s = 0 }
  :: atomic {
      MAY_LOSE_WITNESS && !lostWitness ->
      lostWitness = true;
      if
      :: floor[1] = 0
      :: floor[2] = 0
      :: floor[3] = 0
      fi }
  od
}
