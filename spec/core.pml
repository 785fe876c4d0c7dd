/*
 * The core protocol of fescueturn, small enough to check exhaustively.
 *
 * One job of NT tasks under one idempotency key. Entry host 0 owns the key
 * first; entry host 1 is next in rendezvous order and takes the key over
 * when host 0's membership lease lapses (host 0 crashed, or is paused and
 * does not know). One endpoint counts task starts; its replies may be lost.
 *
 * The protocol checked:
 *  - before sending task t, the owner records "t may have started" on the
 *    next owner (REPLICA), and sends only while its lease holds (FENCE);
 *  - a new owner never resends a task so recorded: it answers it unknown;
 *  - a task is answered "not run" only if no owner may still start it;
 *  - settings are applied only at a higher revision than held (MONOTONIC).
 *
 * Mutants, each of which spin must refute (see tests/test_spec.py):
 *  -DNO_FENCE      the old owner sends without checking its lease;
 *  -DNO_REPLICA    the new owner does not learn what was sent;
 *  -DNO_MONOTONIC  an entry host applies whatever revision arrives.
 */

#define NT 2
#define NONE 0
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3

byte starts[NT];        /* task starts seen by the endpoint */
bool maybe_started[NT]; /* held by the next owner (replica of the send log) */
bool lease0 = true;     /* entry host 0's lease, as the platform holds it */
byte answer[NT];        /* the answer given for each task */
bool answered = false;

#ifdef NO_FENCE
#define MAY_SEND (true)
#else
#define MAY_SEND (lease0)
#endif

/* Entry host 0: the first owner. It may stop for good at any point. */
active proctype Owner0() {
  byte t = 0;
  byte got[NT];
  do
  :: t < NT ->
       maybe_started[t] = true;
       if
       :: atomic { MAY_SEND -> starts[t]++ };
          if
          :: got[t] = RAN        /* the endpoint's reply arrived */
          :: got[t] = UNKNOWN    /* the reply was lost: never resent */
          fi;
          t++
       :: atomic { !MAY_SEND -> skip };
          break                  /* fenced out: it stops sending */
       fi
  :: t < NT -> break          /* crash, or paused for ever */
  :: t == NT ->
       atomic {
         if
         :: lease0 && !answered ->
              answer[0] = got[0]; answer[1] = got[1]; answered = true
         :: else -> skip
         fi
       };
       break
  od
}

/* The platform: host 0's lease may lapse at any moment (crash or pause). */
active proctype Platform() {
  lease0 = false
}

/* Entry host 1: owns the key once host 0's lease has lapsed. */
active proctype Owner1() {
  byte t = 0;
  (!lease0);
  do
  :: t < NT ->
#ifdef NO_REPLICA
       if :: true -> skip fi;
#else
       if
       :: maybe_started[t] -> answer[t] = UNKNOWN; t++; goto next
       :: else -> skip
       fi;
#endif
       if
       :: starts[t]++; answer[t] = RAN   /* send it: it may not have run */
       :: answer[t] = NOT_RUN            /* deadline: give up, never sent */
       fi;
       t++;
next:  skip
  :: t == NT -> break
  od;
  atomic { if :: !answered -> answered = true :: else -> skip fi }
}

/* Settings: revisions arrive out of order (stale cache, lost reply). */
byte applied = 0;
byte highest = 0;

active proctype Settings() {
  byte rev;
  byte n = 0;
  /* Deliver three revisions, each any of 1..3, in any order. */
  do
  :: n < 3 ->
       if :: rev = 1 :: rev = 2 :: rev = 3 fi;
#ifdef NO_MONOTONIC
       applied = rev;
#else
       if :: rev > applied -> applied = rev :: else -> skip fi;
#endif
       assert(applied >= highest);  /* never reverts */
       highest = applied;
       n++
  :: n == 3 -> break
  od
}

/* When nothing can move any more, check the promises. */
active proctype Check() {
  byte t;
  timeout ->
  for (t : 0 .. NT - 1) {
    assert(starts[t] <= 1);                            /* starts once */
    assert(answer[t] != NOT_RUN || starts[t] == 0);    /* "not run" is true */
    assert(!answered || answer[t] != NONE)             /* whole answer */
  }
}
