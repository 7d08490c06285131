/*
 * Models the requests with one idempotency key. Each upstream VM has a proxy;
 * under each configuration version one of the proxies is the key holder, which
 * keeps the key's record and decides whether the request runs. A proxy that was
 * the key holder under an earlier version is a former key holder.
 *
 * Properties: the request runs at most once; it never runs after it was reported
 * to a caller as not run; it is never reported as not run after it ran.
 *
 * Bounds: one key, 3 proxies that can be its holder, 3 configuration versions
 * whose holders are proxy 0, proxy 1, and then proxy 0 or 2, any number of
 * restarts, one planned stop of each holder. There is any number of entries and
 * of retries by the caller: once the key is in use, a request or a give-up
 * message of any entry, sent under any published version, may reach the holder
 * at any time, however late, or never. The result counts as reported as soon as
 * the holder decides, which is the strictest assumption. Callers are assumed to
 * keep the contract that a key is not sent again after its lifetime.
 *
 * Each MUTANT_ macro removes one guard; the search must then find a violation.
 */
#define HOLDERS 3
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

mtype = {
  absent,       /* no record */
  pending,      /* waits for former holders or for a slot; not dispatched */
  closing,      /* as pending, but will be closed instead of run */
  running, finished, inDoubt,
  closed,       /* never ran, and was reported as not run */
  moved         /* never ran here, and a later holder has taken over */
};

byte lastHolder;        /* holder under version 2 */
byte publishedVersion;  /* latest published version */
bool keyInUse;          /* a caller has sent a request with the key */
bool reportedNotRun;    /* the request was reported as not run */
byte runs;              /* how often the request has run */

mtype record[HOLDERS];
byte configVersion[HOLDERS];       /* version that the proxy has */
bool startedBeforeKey[HOLDERS];    /* so a missing record proves never-ran */
byte confirmedNeverRan[HOLDERS];   /* former holders that reported never-ran */
bool dispatched[HOLDERS];          /* dispatched, but not yet run by the upstream */
bool stopped[HOLDERS];             /* the planned stop is complete */
bool handedOver[HOLDERS];          /* the stopping holder handed over its record */
bool handedOverNeverRan[HOLDERS];  /* that record says that the request never ran */
bool dispatchScheduled[HOLDERS];   /* for MUTANT_DISPATCH_WITHOUT_RECHECK only */

#define HOLDER(v) ((v) == 0 -> 0 : ((v) == 1 -> 1 : lastHolder))
/* Bit mask of the holders under versions 0 to v. */
#define HOLDERS_UP_TO(v) \
  (1 | ((v) >= 1 -> 2 : 0) | ((v) == 2 -> BIT(lastHolder) : 0))

/* Former holders that must report never-ran before h may run or close the key. */
#if defined(MUTANT_ASK_NO_FORMER_HOLDER)
#define FORMER_HOLDERS(h) 0
#elif defined(MUTANT_ASK_LATEST_FORMER_HOLDER_ONLY)
#define FORMER_HOLDERS(h) \
  (configVersion[h] == 0 -> 0 : (BIT(HOLDER(configVersion[h] - 1)) & ~BIT(h)))
#else
#define FORMER_HOLDERS(h) (HOLDERS_UP_TO(configVersion[h]) & ~BIT(h))
#endif
#define ALL_CONFIRMED(h) ((FORMER_HOLDERS(h) & ~confirmedNeverRan[h]) == 0)

/* With ONLY, a mutant has to violate that property; others are not checked. */
#ifdef ONLY
#define CHECK(property, condition) assert(ONLY != property || (condition))
#else
#define CHECK(property, condition) assert(condition)
#endif
#define AT_MOST_ONCE 1
#define NO_RUN_AFTER_REPORT 2
#define NO_REPORT_AFTER_RUN 3

inline reportNotRun() {
  CHECK(NO_REPORT_AFTER_RUN, runs == 0);
  reportedNotRun = true
}

inline execute() {
  CHECK(AT_MOST_ONCE, runs == 0);
  CHECK(NO_RUN_AFTER_REPORT, !reportedNotRun);
  runs = 1
}

inline close(h) {
  record[h] = closed; confirmedNeverRan[h] = 0;
  reportNotRun()
}

/* Holder h gets a request with the key or, with giveUp, an order to close it. */
inline handleRequest(h, giveUp) {
  if
  :: HOLDER(configVersion[h]) != h ->
#ifdef MUTANT_WRONG_HOLDER_REPORTS_NOT_RUN
    reportNotRun()
#else
    skip
#endif
  :: else ->
    if
    :: record[h] == absent && !startedBeforeKey[h] -> record[h] = inDoubt
#ifdef MUTANT_GIVE_UP_SKIPS_FORMER_HOLDERS
    :: (record[h] == absent && startedBeforeKey[h] || record[h] == pending) &&
        giveUp -> close(h)
#endif
#ifdef MUTANT_GIVE_UP_DOES_NOT_CLOSE
    :: record[h] == absent && startedBeforeKey[h] && giveUp && ALL_CONFIRMED(h) ->
      reportNotRun()
#endif
    :: record[h] == absent && startedBeforeKey[h] ->
      if
      :: giveUp -> record[h] = closing
      :: else -> record[h] = pending
      fi
    :: record[h] == pending && giveUp -> record[h] = closing
#ifdef MUTANT_IGNORE_FINISHED_RECORD
    :: record[h] == finished && !giveUp -> record[h] = pending
#endif
#ifdef MUTANT_MOVED_COUNTS_AS_NOT_RUN
    :: record[h] == moved -> reportNotRun()
#else
    :: record[h] == moved -> record[h] = inDoubt
#endif
    :: record[h] == closed -> reportNotRun()
    :: else
    fi
  fi
}

/* Former holder f answers a later holder: sets neverRan; if true, f has given up
   the key. */
inline answerLaterHolder(f, neverRan) {
  if
  :: handedOver[f] -> neverRan = handedOverNeverRan[f]
  :: else ->
    if
    :: record[f] == absent && startedBeforeKey[f] -> record[f] = moved
    :: record[f] == absent && !startedBeforeKey[f] -> record[f] = inDoubt
    :: record[f] == pending || record[f] == closing ->
      record[f] = moved; confirmedNeverRan[f] = 0
#ifdef MUTANT_CLOSED_COUNTS_AS_NEVER_RAN
    :: record[f] == closed -> record[f] = moved
#endif
    :: else
    fi;
    neverRan = (record[f] == moved)
  fi
}

/* Holder h receives what some entry sent under version v. */
#define RECEIVE(v, giveUp) \
  :: atomic { !stopped[h] && keyInUse && v <= publishedVersion && \
      HOLDER(v) == h -> \
      configVersion[h] = MAX(configVersion[h], v); \
      handleRequest(h, giveUp) }

#define ASK_FORMER_HOLDER(f) \
  :: atomic { !stopped[h] && (record[h] == pending || record[h] == closing) && \
      HAS(FORMER_HOLDERS(h), f) && !HAS(confirmedNeverRan[h], f) -> \
      answerLaterHolder(f, neverRan); \
      if \
      :: neverRan -> confirmedNeverRan[h] = confirmedNeverRan[h] | BIT(f) \
      :: else -> record[h] = inDoubt; confirmedNeverRan[h] = 0 \
      fi; \
      neverRan = false }

#ifdef MUTANT_RESTARTED_HOLDER_HANDS_OVER_NEVER_RAN
#define STARTED_BEFORE_KEY(h) true
#else
#define STARTED_BEFORE_KEY(h) startedBeforeKey[h]
#endif

proctype Holder(byte h) {
  bool neverRan;
  do
  RECEIVE(0, false)
  RECEIVE(1, false)
  RECEIVE(2, false)
  RECEIVE(0, true)
  RECEIVE(1, true)
  RECEIVE(2, true)
  ASK_FORMER_HOLDER(0)
  ASK_FORMER_HOLDER(1)
  ASK_FORMER_HOLDER(2)
  :: atomic { !stopped[h] && configVersion[h] < publishedVersion ->
      configVersion[h]++ }
  /* A former holder does not answer. */
  :: atomic {
      (record[h] == pending || record[h] == closing) && !ALL_CONFIRMED(h) ->
#ifdef MUTANT_TIMEOUT_COUNTS_AS_NEVER_RAN
      confirmedNeverRan[h] = FORMER_HOLDERS(h)
#else
      record[h] = inDoubt; confirmedNeverRan[h] = 0
#endif
    }
  :: atomic { record[h] == closing && ALL_CONFIRMED(h) -> close(h) }
  /* Admission control refuses the request. */
  :: atomic {
      record[h] == pending && ALL_CONFIRMED(h) ->
#ifdef MUTANT_REFUSAL_DOES_NOT_CLOSE
      record[h] = absent; confirmedNeverRan[h] = 0; reportNotRun()
#else
      close(h)
#endif
    }
  /* A slot is free: the record changes in the same step as the dispatch. */
#ifdef MUTANT_DISPATCH_WITHOUT_RECHECK
  :: atomic { record[h] == pending && ALL_CONFIRMED(h) && !dispatchScheduled[h] ->
      dispatchScheduled[h] = true }
  :: atomic { dispatchScheduled[h] ->
      dispatchScheduled[h] = false; record[h] = running; dispatched[h] = true }
#else
  :: atomic { record[h] == pending && ALL_CONFIRMED(h) ->
      record[h] = running; confirmedNeverRan[h] = 0; dispatched[h] = true }
#endif
  /* The upstream runs the request, possibly after its proxy has crashed. */
  :: atomic {
      dispatched[h] ->
      dispatched[h] = false;
      execute();
      if
      :: record[h] == running -> record[h] = finished
      :: else
      fi }
  /* The upstream refused the connection, so nothing was sent. */
  :: atomic { dispatched[h] && record[h] == running -> dispatched[h] = false; close(h) }
  /* The connection broke after the request was sent. */
  :: atomic {
      dispatched[h] && record[h] == running ->
#ifdef MUTANT_BROKEN_CONNECTION_COUNTS_AS_NOT_RUN
      close(h)
#else
      record[h] = inDoubt
#endif
    }
  /* The process crashes and restarts without its memory. */
  :: atomic {
      !stopped[h] && keyInUse ->
      record[h] = absent; confirmedNeverRan[h] = 0;
#ifndef MUTANT_RESTARTED_HOLDER_CONFIRMS_NEVER_RAN
      startedBeforeKey[h] = false
#endif
    }
  /* Planned stop: no request is running, and the record is handed over. */
  :: atomic {
      !stopped[h] && !handedOver[h] && keyInUse && record[h] != running &&
      record[h] != pending && record[h] != closing ->
#ifndef MUTANT_HAND_OVER_BEFORE_STOP
      stopped[h] = true;
#endif
      handedOver[h] = true;
      handedOverNeverRan[h] =
        (record[h] == moved || record[h] == absent && STARTED_BEFORE_KEY(h));
#ifndef MUTANT_HAND_OVER_BEFORE_STOP
      record[h] = absent; startedBeforeKey[h] = false
#endif
    }
  od
}

init {
  atomic {
    if
    :: lastHolder = 0
    :: lastHolder = 2
    fi;
    record[0] = absent; record[1] = absent; record[2] = absent;
    startedBeforeKey[0] = true; startedBeforeKey[1] = true; startedBeforeKey[2] = true;
    run Holder(0); run Holder(1); run Holder(2)
  }
  do
  :: atomic { publishedVersion < 2 -> publishedVersion++ }
  :: atomic { !keyInUse -> keyInUse = true }
#ifdef MUTANT_LOCAL_REFUSAL_REPORTS_NOT_RUN
  /* An entry refuses the request on its own, without asking the holder. */
  :: atomic { keyInUse && !reportedNotRun -> reportNotRun() }
#endif
  od
}
