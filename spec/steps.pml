/*
 * A job of two steps with one task each, whose shard's holder changes.
 *
 * Step 1 starts once step 0 is done. Endpoints list their runs, and the ends that
 * no holder has acknowledged. A holder acknowledges the end of a best-effort
 * job's run at once, and of a kept job's once it is stored. The next holder knows
 * only what is stored and what the endpoints list. The holder before starts
 * nothing any more: it is fenced off from each endpoint that has reported.
 *
 * The protocol checked, as in offers.py, leases.py and outcomes.py: the next
 * holder starts nothing before all endpoints have reported. A run of step 1, or its
 * end, shows that step 0 is done. A run that is found becomes its task's run, or
 * the task waits for its end.
 *
 * Properties: each task has at most one run at a time, step 1 starts after the
 * end of step 0, and no task of a kept job starts after its end was acknowledged.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DADOPT_WAITING  only runs of tasks that can start are taken over;
 *  -DNO_REPORT      tasks are started before all endpoints have reported;
 *  -DNO_STORE       ends of kept jobs' runs are acknowledged before they are stored.
 */

#define ENDPOINTS 2
#define HOLDERS 3
#define STARTS 4

mtype = { BLOCKED, WAITING, ACTIVE, DONE };

bool kept;
/* At the endpoints, by 2 * endpoint + step. */
bool running[4];
bool ended[4];             /* an end that is listed: the task was done */
bool was_done[2];          /* by step */
bool acknowledged[2];
bool stored[2];

/* At the holder. */
byte holder = 0;
byte starts = 0;
byte reported = ENDPOINTS;  /* the number of endpoints that have reported */
mtype state[2];
byte at[2];                 /* the endpoint of the current run */
bool other[4];              /* another run, whose end the task waits for */

inline start(step, e) {
  assert(!running[step] && !running[2 + step]);
  assert(step == 0 || was_done[0]);
  assert(!(kept && acknowledged[step]));
  starts++;
  running[2 * e + step] = true; state[step] = ACTIVE; at[step] = e
}

inline complete(step) {
  state[step] = DONE;
  if
  :: step == 0 && state[1] == BLOCKED -> state[1] = WAITING
  :: else
  fi
}

inline find(step, e) {
  if
  :: running[2 * e + step] ->
       if
#ifndef ADOPT_WAITING
       :: step == 1 && state[0] != DONE -> complete(0)
#endif
       :: else
       fi;
       if
       :: state[step] == WAITING -> state[step] = ACTIVE; at[step] = e
#ifdef ADOPT_WAITING
       :: state[step] != WAITING
#else
       :: state[step] != WAITING -> other[2 * e + step] = true
#endif
       fi
  :: else
  fi
}

inline report(e) {
  find(0, e);
  find(1, e);
  reported++
}

/* What the current holder reads in an endpoint's list of ends. */
inline read_end(step, e) {
  ended[2 * e + step] = false;
  other[2 * e + step] = false;
  if
  :: step == 1 && state[0] != DONE -> complete(0)
  :: else
  fi;
  complete(step);
  if
  :: kept ->
#ifdef NO_STORE
       acknowledged[step] = true;
       if
       :: stored[step] = true
       :: skip
       fi
#else
       stored[step] = true; acknowledged[step] = true
#endif
  :: else -> acknowledged[step] = true
  fi
}

inline take_over() {
  holder++;
  reported = 0;
  other[0] = false; other[1] = false; other[2] = false; other[3] = false;
  state[0] = (stored[0] -> DONE : WAITING);
  state[1] = (stored[1] -> DONE : (stored[0] -> WAITING : BLOCKED))
}

active proctype Holder() {
  byte e;
  atomic {
    state[0] = WAITING; state[1] = BLOCKED;
    if
    :: kept = true
    :: kept = false
    fi
  }
end:
  do
  :: atomic { reported < ENDPOINTS -> e = reported; report(e) }
#ifdef NO_REPORT
  :: atomic { starts < STARTS && state[0] == WAITING ->
#else
  :: atomic { starts < STARTS && reported == ENDPOINTS && state[0] == WAITING &&
              !other[0] && !other[2] ->
#endif
       if
       :: e = 0
       :: e = 1
       fi;
       start(0, e) }
#ifdef NO_REPORT
  :: atomic { starts < STARTS && state[1] == WAITING ->
#else
  :: atomic { starts < STARTS && reported == ENDPOINTS && state[1] == WAITING &&
              !other[1] && !other[3] ->
#endif
       if
       :: e = 0
       :: e = 1
       fi;
       start(1, e) }
  :: atomic { reported > 0 && ended[0] -> read_end(0, 0) }
  :: atomic { reported > 0 && ended[1] -> read_end(1, 0) }
  :: atomic { reported > 1 && ended[2] -> read_end(0, 1) }
  :: atomic { reported > 1 && ended[3] -> read_end(1, 1) }
  /* A run that ended without success is started again. */
  :: atomic { state[0] == ACTIVE && !running[2 * at[0]] && !ended[2 * at[0]] ->
       state[0] = WAITING }
  :: atomic { state[1] == ACTIVE && !running[2 * at[1] + 1] &&
              !ended[2 * at[1] + 1] -> state[1] = WAITING }
  :: atomic { other[0] && !running[0] && !ended[0] -> other[0] = false }
  :: atomic { other[1] && !running[1] && !ended[1] -> other[1] = false }
  :: atomic { other[2] && !running[2] && !ended[2] -> other[2] = false }
  :: atomic { other[3] && !running[3] && !ended[3] -> other[3] = false }
  :: atomic { holder < HOLDERS - 1 -> take_over() }
  od
}

active proctype Endpoints() {
  byte n;
end:
  do
  :: atomic {
       if
       :: running[0] -> n = 0
       :: running[1] -> n = 1
       :: running[2] -> n = 2
       :: running[3] -> n = 3
       fi;
       running[n] = false;
       if
       :: ended[n] = true; was_done[n % 2] = true
       :: skip             /* it failed, was stopped, or lost its lease */
       fi }
  od
}
