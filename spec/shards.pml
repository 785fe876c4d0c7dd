/* A shard's holders, its endpoints, and one task of a job.
 *
 * The task must never have two runs at a time, although a holder may freeze at
 * any point, unanswered orders are carried out late, a holder is replaced while
 * it is alive, and the caller resubmits its job through another shard after its
 * coordinator has crashed.
 *
 * One step of time is 0.1 s. A lease lasts LEASE steps (800 ms and a margin of
 * 40); a silent coordinator is detected after SILENCE (350 ms, and 50 after a
 * pause); a replaced holder learns that it is replaced within FENCED (from its
 * next lease call); a caller resubmits after RESEND at the earliest (1,300 ms).
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_FENCE    endpoints accept any order;
 *  -DNO_SETTLE   a new holder starts the task before the runs of an earlier
 *                holder have ended;
 *  -DNO_SILENCE  holders renew the leases of a crashed coordinator's runs;
 *  -DNO_STOP     the task of an unanswered order gets another run although the
 *                first has not been stopped;
 *  -DLONG_LEASE  leases have the maximum allowed duration (1,000 ms);
 *  -DANY_TOLD    a new holder treats its whole roster as queried once one of the
 *                endpoints has answered.
 *
 * Both endpoints are in every roster here. The rules that exclude a roster that
 * lacks an endpoint (its maximum age, the delay of an endpoint that joins) are
 * not modelled.
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

byte fence[2];            /* the highest fencing token an endpoint has seen */
byte lease[2];            /* steps until the endpoint kills its runs */
bool running[2];          /* the task runs there */
bool barred[2];           /* a stop arrived before the order in flight */
byte order[2];            /* fencing token of an order in flight; 0: none */
byte order_left[2];       /* steps until that order's deadline */

byte holder = 1;          /* fencing token of the holder according to the store */
byte placed = NONE;       /* the endpoint where it has placed the task */
bool knows[2];            /* the holder has queried the endpoint's runs */
byte since = SETTLE;      /* steps since it took the shard over */
byte old_holder = 0;      /* the previous holder, which may still be alive */
byte old_placed = NONE;
bool old_settled = true;  /* its takeover was complete when it was replaced */
bool told = false;        /* the new holder has the old one's roster */

bool wanted = true;       /* the task is neither done nor given up */
bool alive = true;        /* the coordinator is alive */
byte silent = 0;          /* steps since it crashed */
byte takeovers = 0;

#define HEARD (alive || silent < SILENCE)

/* The previous holder certainly has no run that this holder does not know. */
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
  /* An order got no answer: the run is stopped and the stop acknowledged, or the
     order is given up. */
  :: atomic { placed != NONE && order[placed] == holder && !running[placed] ->
#ifndef NO_STOP
      barred[placed] = true;
#endif
      order[1 - placed] = 0;
      placed = NONE }
  /* The run succeeds. */
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
     learns that it is replaced, or when it resumes after a freeze; then the
     endpoint must reject the order by its fencing token. */
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
  /* The coordinator crashes, and its caller resubmits through another shard. */
  :: atomic { alive && wanted -> alive = false }
  :: atomic { !alive && silent >= RESEND ->
      assert(!running[0] && !running[1]);
      break }
  /* Time passes. Either holder may be frozen meanwhile. */
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
