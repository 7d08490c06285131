/*
 * One idempotency key: it runs at most once; it never runs after a caller was
 * told that it did not run; nobody is told so after it ran.
 *
 * Bounds: one key, 3 upstreams that may be its home, 3 configuration versions
 * whose homes are 0, 1 and then 0 or 2, restarts without number, one planned
 * stop of each home. Entries and the caller's resends are without number: once
 * the key is minted, a request or a give-up message of any entry, sent under
 * any published version, may reach its home at any time, however late, or
 * never. A caller counts as told as soon as the home decides, which is the
 * strongest case. The contract that a key is not sent again after its lifetime
 * is assumed.
 *
 * Each MUTANT_ macro takes one guard away and must be found to fail.
 */
#define HOMES 3
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

mtype = {
  absent,       /* no record */
  pending,      /* waits for former homes or a slot; not dispatched */
  closing,      /* as pending, but to be closed and not to be run */
  running, finished, inDoubt,
  closed,       /* never ran, and a caller was told so */
  moved         /* never ran here, and another home has taken over */
};

byte lastHome;             /* home in version 2 */
byte newest;               /* published version */
bool minted;               /* the key has been sent */
bool told;                 /* a caller was told that the key did not run */
byte runs;

mtype record[HOMES];
byte homeVersion[HOMES];
bool vouches[HOMES];       /* the key was minted after this process started */
byte cleared[HOMES];       /* former homes that said never-ran */
bool sent[HOMES];          /* a dispatch that the upstream has not executed */
bool stopped[HOMES];       /* a planned stop has ended */
bool handedOver[HOMES];    /* the stopping home has handed its record over ... */
bool handedClean[HOMES];   /* ... and it said that the key never ran */
bool lateDispatch[HOMES];  /* for MUTANT_NO_RECHECK only */

#define HOME(v) ((v) == 0 -> 0 : ((v) == 1 -> 1 : lastHome))
#define ALL_HOMES(v) \
  (1 | ((v) >= 1 -> 2 : 0) | ((v) == 2 -> BIT(lastHome) : 0))

/* Homes that must have said never-ran before home h may run or close the key. */
#if defined(MUTANT_NO_FORMER_HOMES)
#define FORMER(h) 0
#elif defined(MUTANT_LATEST_FORMER_HOME_ONLY)
#define FORMER(h) (homeVersion[h] == 0 -> 0 : (BIT(HOME(homeVersion[h] - 1)) & ~BIT(h)))
#else
#define FORMER(h) (ALL_HOMES(homeVersion[h]) & ~BIT(h))
#endif
#define CLEARED(h) ((FORMER(h) & ~cleared[h]) == 0)

/* A mutant is searched for one property only, so that it has to break that one. */
#ifdef ONLY
#define CHECK(property, condition) assert(ONLY != property || (condition))
#else
#define CHECK(property, condition) assert(condition)
#endif
#define AT_MOST_ONCE 1
#define NO_RUN_AFTER_NOT_RUN 2
#define NO_NOT_RUN_AFTER_RUN 3

inline tellNotRun() {
  CHECK(NO_NOT_RUN_AFTER_RUN, runs == 0);
  told = true
}

inline execute() {
  CHECK(AT_MOST_ONCE, runs == 0);
  CHECK(NO_RUN_AFTER_NOT_RUN, !told);
  runs = 1
}

inline close(h) {
  record[h] = closed; cleared[h] = 0;
  tellNotRun()
}

/* Home h is asked for the key by an entry or, with giveUp, told to close it. */
inline handle(h, giveUp) {
  if
  :: HOME(homeVersion[h]) != h ->
#ifdef MUTANT_WRONG_HOME_IS_NOT_RUN
    tellNotRun()
#else
    skip
#endif
  :: else ->
    if
    :: record[h] == absent && !vouches[h] -> record[h] = inDoubt
#ifdef MUTANT_GIVE_UP_SKIPS_FORMER_HOMES
    :: (record[h] == absent && vouches[h] || record[h] == pending) && giveUp -> close(h)
#endif
#ifdef MUTANT_GIVE_UP_LEAVES_OPEN
    :: record[h] == absent && vouches[h] && giveUp && CLEARED(h) -> tellNotRun()
#endif
    :: record[h] == absent && vouches[h] ->
      if
      :: giveUp -> record[h] = closing
      :: else -> record[h] = pending
      fi
    :: record[h] == pending && giveUp -> record[h] = closing
#ifdef MUTANT_NO_RECORD
    :: record[h] == finished && !giveUp -> record[h] = pending
#endif
#ifdef MUTANT_MOVED_IS_NOT_RUN
    :: record[h] == moved -> tellNotRun()
#else
    :: record[h] == moved -> record[h] = inDoubt
#endif
    :: record[h] == closed -> tellNotRun()
    :: else
    fi
  fi
}

/* Home f answers a later home that wants the key: `verdict` is never-ran or not. */
inline release(f, verdict) {
  if
  :: handedOver[f] -> verdict = handedClean[f]
  :: else ->
    if
    :: record[f] == absent && vouches[f] -> record[f] = moved
    :: record[f] == absent && !vouches[f] -> record[f] = inDoubt
    :: record[f] == pending || record[f] == closing -> record[f] = moved; cleared[f] = 0
#ifdef MUTANT_CLOSED_IS_NEVER_RAN
    :: record[f] == closed -> record[f] = moved
#endif
    :: else
    fi;
    verdict = (record[f] == moved)
  fi
}

/* A request or a give-up message that some entry sent under version v. */
#define RECEIVE(v, giveUp) \
  :: atomic { !stopped[h] && minted && v <= newest && HOME(v) == h -> \
      homeVersion[h] = MAX(homeVersion[h], v); \
      handle(h, giveUp) }

#define ASK_FORMER(f) \
  :: atomic { !stopped[h] && (record[h] == pending || record[h] == closing) && \
      HAS(FORMER(h), f) && !HAS(cleared[h], f) -> \
      release(f, verdict); \
      if \
      :: verdict -> cleared[h] = cleared[h] | BIT(f) \
      :: else -> record[h] = inDoubt; cleared[h] = 0 \
      fi; \
      verdict = false }

#ifdef MUTANT_RESTARTED_HOME_HANDS_OVER
#define VOUCHES_AT_STOP(h) true
#else
#define VOUCHES_AT_STOP(h) vouches[h]
#endif

proctype Home(byte h) {
  bool verdict;
  do
  RECEIVE(0, false)
  RECEIVE(1, false)
  RECEIVE(2, false)
  RECEIVE(0, true)
  RECEIVE(1, true)
  RECEIVE(2, true)
  ASK_FORMER(0)
  ASK_FORMER(1)
  ASK_FORMER(2)
  :: atomic { !stopped[h] && homeVersion[h] < newest -> homeVersion[h]++ }
  /* A former home stays silent. */
  :: atomic {
      (record[h] == pending || record[h] == closing) && !CLEARED(h) ->
#ifdef MUTANT_SILENCE_IS_NEVER_RAN
      cleared[h] = FORMER(h)
#else
      record[h] = inDoubt; cleared[h] = 0
#endif
    }
  :: atomic { record[h] == closing && CLEARED(h) -> close(h) }
  /* Admission refuses the request. */
  :: atomic {
      record[h] == pending && CLEARED(h) ->
#ifdef MUTANT_REFUSAL_LEAVES_OPEN
      record[h] = absent; cleared[h] = 0; tellNotRun()
#else
      close(h)
#endif
    }
  /* A slot is free: the record changes in the step that dispatches. */
#ifdef MUTANT_NO_RECHECK
  :: atomic { record[h] == pending && CLEARED(h) && !lateDispatch[h] -> lateDispatch[h] = true }
  :: atomic { lateDispatch[h] -> lateDispatch[h] = false; record[h] = running; sent[h] = true }
#else
  :: atomic { record[h] == pending && CLEARED(h) ->
      record[h] = running; cleared[h] = 0; sent[h] = true }
#endif
  /* The upstream runs it, perhaps after the proxy beside it has died. */
  :: atomic {
      sent[h] ->
      sent[h] = false;
      execute();
      if
      :: record[h] == running -> record[h] = finished
      :: else
      fi }
  /* The upstream refused the connection, so nothing was sent. */
  :: atomic { sent[h] && record[h] == running -> sent[h] = false; close(h) }
  /* The connection broke after the request was sent. */
  :: atomic {
      sent[h] && record[h] == running ->
#ifdef MUTANT_BROKEN_CONNECTION_IS_NOT_RUN
      close(h)
#else
      record[h] = inDoubt
#endif
    }
  /* The process dies and starts again with nothing. */
  :: atomic {
      !stopped[h] && minted ->
      record[h] = absent; cleared[h] = 0;
#ifndef MUTANT_RESTARTED_HOME_VOUCHES
      vouches[h] = false
#endif
    }
  /* A planned stop: nothing runs any more; the record is handed over. */
  :: atomic {
      !stopped[h] && !handedOver[h] && minted && record[h] != running &&
      record[h] != pending && record[h] != closing ->
#ifndef MUTANT_HAND_OVER_BEFORE_STOP
      stopped[h] = true;
#endif
      handedOver[h] = true;
      handedClean[h] =
        (record[h] == moved || record[h] == absent && VOUCHES_AT_STOP(h));
#ifndef MUTANT_HAND_OVER_BEFORE_STOP
      record[h] = absent; vouches[h] = false
#endif
    }
  od
}

init {
  atomic {
    if
    :: lastHome = 0
    :: lastHome = 2
    fi;
    record[0] = absent; record[1] = absent; record[2] = absent;
    vouches[0] = true; vouches[1] = true; vouches[2] = true;
    run Home(0); run Home(1); run Home(2)
  }
  do
  :: atomic { newest < 2 -> newest++ }
  :: atomic { !minted -> minted = true }
#ifdef MUTANT_LOCAL_REFUSAL_IS_NOT_RUN
  /* An entry refuses the request by itself, without asking the home. */
  :: atomic { minted && !told -> tellNotRun() }
#endif
  od
}
