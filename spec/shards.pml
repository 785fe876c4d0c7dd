/* A shard's holders, its endpoints, and one task of a job.
 *
 * The task must never have two runs at a time, though a holder may stand still
 * at any point, orders without an answer are carried out late, the holder is
 * replaced while it lives, and the caller sends its job again through another
 * shard once its coordinator is dead.
 *
 * One step of time is 0.1 s. A lease lasts LEASE steps (800 ms and a margin of
 * 40); a coordinator's silence is noticed after SILENCE (350 ms and 50 after a
 * pause); a replaced holder learns of it within FENCED (its next lease call); a
 * caller comes back after RESEND at the earliest (1,300 ms).
 *
 * Mutants (tests/test_spec.py): NO_FENCE has endpoints take any order;
 * NO_SETTLE has a new holder start the task before an earlier one's runs are
 * over; NO_SILENCE has holders renew for a coordinator that is dead; NO_STOP
 * gives the task of an unanswered order to another run without stopping the
 * first; LONG_LEASE asks for the longest lease allowed (1,000 ms); ANY_TOLD has
 * a new holder take a roster for asked when one of its endpoints has told.
 *
 * Both endpoints are in every roster here. What keeps one without an endpoint
 * from being used (its age, the wait of an endpoint that joins) is not modelled.
 */

#ifdef LONG_LEASE
#define LEASE 11
#else
#define LEASE 9
#endif
#define SILENCE 4
#define RESEND 13
#define FENCED 5
#define SETTLE 15
#define NONE 2

byte fence[2];            /* the highest fence number an endpoint has seen */
byte lease[2];            /* steps until all that runs there is killed */
bool running[2];          /* the task's run */
bool barred[2];           /* a stop came before the order in flight */
byte order[2];            /* fence of an order in flight; 0: none */
byte order_left[2];       /* steps until that order's deadline */

byte holder = 1;          /* fence of the holder by the store */
byte placed = NONE;       /* the endpoint that it has the task on */
bool knows[2];            /* it has asked what runs there */
byte since = SETTLE;      /* steps since it took the shard over */
byte old_holder = 0;      /* the one before it, which may live on */
byte old_placed = NONE;
bool old_settled = true;  /* its own takeover was over when it was replaced */
bool told = false;        /* the new holder has the old one's roster: both */

bool wanted = true;       /* the task is not done, nor given up */
bool alive = true;        /* the coordinator */
byte silent = 0;          /* steps since it died */
byte takeovers = 0;

#define HEARD (alive || silent < SILENCE)

/* The holder before it surely has nothing that runs unknown to this one. */
#ifdef ANY_TOLD
#define ASKED (told && (knows[0] || knows[1]))
#else
#define ASKED (told && knows[0] && knows[1])
#endif
#define SETTLED (since >= SETTLE || ASKED)

inline pass_time(e) {
  if
  :: lease[e] > 0 -> lease[e]--
  :: else -> skip
  fi;
  if
  :: lease[e] == 0 -> running[e] = false
  :: else -> skip
  fi;
  if
  :: order_left[e] > 0 -> order_left[e]--
  :: else -> skip
  fi
}

inline renew(e, f) {
  if
  :: f >= fence[e] && running[e] -> fence[e] = f; lease[e] = LEASE
  :: else -> skip
  fi
}

inline ask(e) {
  knows[e] = true;
  if
  :: holder > fence[e] -> fence[e] = holder
  :: else -> skip
  fi;
  if
  :: running[e] && wanted && alive && placed == NONE -> placed = e
  :: running[e] && (!wanted || placed != e) -> running[e] = false /* stopped */
  :: else -> skip
  fi
}

active proctype world() {
  byte e;
  knows[0] = true; knows[1] = true;
end:
  do
  /* The holder orders the task to start; the answer may be lost. */
  :: atomic { wanted && HEARD && placed == NONE && (knows[0] || knows[1]) &&
#ifndef NO_SETTLE
      SETTLED &&
#endif
      order[0] == 0 && order[1] == 0 ->
      if
      :: knows[0] -> e = 0
      :: knows[1] -> e = 1
      fi;
      placed = e; barred[e] = false;
      if
      :: order[e] = holder; order_left[e] = LEASE
      :: true ->
        if
        :: holder >= fence[e] ->
          fence[e] = holder;
          assert(!running[1 - e]);
          running[e] = true; lease[e] = LEASE
        :: else -> skip
        fi
      fi }
  /* An order in flight is carried out, at any time. */
  :: atomic { order[0] > 0 ->
      if
#ifndef NO_FENCE
      :: order[0] < fence[0] -> skip
#endif
      :: order_left[0] == 0 || barred[0] -> skip
      :: else ->
        assert(!running[1]);
        running[0] = true; fence[0] = order[0];
        if
        :: order_left[0] > lease[0] -> lease[0] = order_left[0]
        :: else -> skip
        fi
      fi;
      order[0] = 0 }
  :: atomic { order[1] > 0 ->
      if
#ifndef NO_FENCE
      :: order[1] < fence[1] -> skip
#endif
      :: order_left[1] == 0 || barred[1] -> skip
      :: else ->
        assert(!running[0]);
        running[1] = true; fence[1] = order[1];
        if
        :: order_left[1] > lease[1] -> lease[1] = order_left[1]
        :: else -> skip
        fi
      fi;
      order[1] = 0 }
  /* An order got no answer: stopped, and the stop acknowledged, or given up. */
  :: atomic { placed != NONE && order[placed] == holder && !running[placed] ->
#ifndef NO_STOP
      barred[placed] = true;
#endif
      order[1 - placed] = 0;
      placed = NONE }
  /* The run ends well. */
  :: atomic { placed != NONE && running[placed] ->
      running[placed] = false; wanted = false; placed = NONE }
  /* Another host takes the shard over. */
  :: atomic { takeovers < 2 && since > FENCED ->
      takeovers++;
      old_holder = holder; old_placed = placed;
      old_settled = SETTLED;
      if
      :: old_settled -> told = true
      :: told = false
      fi;
      holder++; since = 0; placed = NONE;
      knows[0] = false; knows[1] = false }
  :: atomic { !knows[0] -> ask(0) }
  :: atomic { !knows[1] -> ask(1) }
  /* The replaced holder starts the task that it had not started: before it
     learns that it is replaced, or, if it stood still, on waking up, where the
     endpoint's fence must stop it. */
  :: atomic { old_holder > 0 && old_placed == NONE && old_settled && wanted &&
      alive && placed == NONE && !running[0] && !running[1] &&
      (since <= FENCED || knows[0] || knows[1]) ->
      if
      :: since <= FENCED || knows[0] -> e = 0
      :: since <= FENCED || knows[1] -> e = 1
      fi;
      old_placed = e;
      if
#ifndef NO_FENCE
      :: old_holder < fence[e] -> skip
#endif
      :: else ->
        running[e] = true; lease[e] = LEASE; fence[e] = old_holder
      fi }
  /* The coordinator dies, and its caller comes back elsewhere. */
  :: atomic { alive && wanted -> alive = false }
  :: atomic { !alive && silent >= RESEND ->
      assert(!running[0] && !running[1]);
      break }
  /* Time passes. Either holder may stand still meanwhile. */
  :: atomic { silent < RESEND ->
      if
      :: placed == NONE -> skip
#ifndef NO_SILENCE
      :: placed != NONE && HEARD -> renew(placed, holder)
      :: placed != NONE && !HEARD ->
        barred[placed] = true; running[placed] = false; placed = NONE
#else
      :: placed != NONE -> renew(placed, holder)
#endif
      :: true -> skip
      fi;
      if
      :: old_placed != NONE && since <= FENCED && HEARD ->
        renew(old_placed, old_holder)
      :: true -> skip
      fi;
      pass_time(0); pass_time(1);
      if
      :: since < SETTLE -> since++
      :: else -> skip
      fi;
      if
      :: !alive -> silent++
      :: else -> skip
      fi }
  od
}
