/*
 * Start requests of one task that are sent again after they got no answer.
 *
 * The task's attempts alternate between two endpoints. A copy of a start request
 * whose answer the holder no longer awaits may still arrive, at any time; the
 * holder sends the request again, and that copy may surely not be carried out
 * (the connection fails, or the endpoint rejects it). An endpoint starts an
 * attempt once, and no attempt that has ended or was stopped there. A list of an
 * endpoint's runs shows what is true when it answers. A lease that isn't extended
 * ends the run and keeps later copies from being carried out.
 *
 * The protocol checked, as in runanswers.py and leases.py: a run ends when its
 * only start request was surely not carried out, when the list shows its end, when
 * the list doesn't show it after a confirmed start or a confirmed stop, or when
 * its lease has expired. Then the next attempt is started.
 *
 * Property: the task runs on one endpoint at a time.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DLAST_COPY     a copy that was not carried out ends the run, whatever the
 *                  copies before it may do;
 *  -DNO_STOP       a run that the list doesn't show has ended, stopped or not;
 *  -DNO_EXPIRY     a silent endpoint's run has ended before its lease expires.
 */

#define ATTEMPTS 4
#define SENDS 3
#define NONE 255
#define HERE (attempt % 2)

mtype = { WAITING, ORDERED, RUNNING, UNSURE, STOPPED };

mtype state = WAITING;
byte attempt = 0;            /* the holder's current attempt; the first is 1 */
byte sends = 0;
bool awaited = false;        /* a copy is under way whose answer is awaited */
byte late[ATTEMPTS];         /* copies under way whose answers are not awaited */
byte running[2] = NONE;
byte revoked[2];             /* the highest attempt that ended or was stopped */

inline arrive(a) {
  if
  :: a > revoked[a % 2] && running[a % 2] != a ->
       assert(running[1 - a % 2] == NONE);
       running[a % 2] = a
  :: else
  fi
}

inline run_ends(e) {
  revoked[e] = (running[e] > revoked[e] -> running[e] : revoked[e]);
  running[e] = NONE
}

active proctype Holder() {
end:
  do
  :: atomic { state == WAITING && attempt < ATTEMPTS - 1 ->
       attempt++; sends = 1; awaited = true; state = ORDERED }
  /* The awaited copy arrives, and its answer does as well. */
  :: atomic { awaited -> awaited = false; arrive(attempt);
       if
       :: state == ORDERED -> state = RUNNING
       :: else
       fi }
  /* It gets no answer in time: it is lost, or arrives later. */
  :: atomic { awaited -> awaited = false; late[attempt]++;
       if
       :: state == ORDERED && sends < SENDS -> sends++; awaited = true
       :: state == ORDERED -> state = UNSURE
       :: else
       fi }
  /* It is surely not carried out. */
  :: atomic { awaited -> awaited = false;
       if
#ifdef LAST_COPY
       :: state == ORDERED -> state = WAITING
#else
       :: state == ORDERED && sends == 1 -> state = WAITING
       :: state == ORDERED && sends > 1 -> state = UNSURE
#endif
       :: else
       fi }
  /* A stop is carried out; its answer arrives or doesn't. */
  :: atomic { (state == ORDERED || state == RUNNING || state == UNSURE) ->
       revoked[HERE] = (attempt > revoked[HERE] -> attempt : revoked[HERE]);
       if
       :: state = STOPPED
       :: state = UNSURE
       fi }
  /* The list shows the run, its end, or neither. */
  :: atomic { state == ORDERED && running[HERE] == attempt -> state = RUNNING }
  :: atomic { (state == RUNNING || state == STOPPED) &&
              running[HERE] != attempt -> state = WAITING; awaited = false }
#ifdef NO_STOP
  :: atomic { state == UNSURE && running[HERE] != attempt -> state = WAITING }
#endif
  /* The endpoint was silent until the run's lease had expired. */
  :: atomic { (state == ORDERED || state == RUNNING || state == UNSURE ||
               state == STOPPED) && !awaited ->
#ifndef NO_EXPIRY
       if
       :: running[HERE] == attempt -> run_ends(HERE)
       :: else
       fi;
       late[attempt] = 0;
#endif
       state = WAITING }
  od
}

active proctype Network() {
  byte a;
end:
  do
  :: atomic { late[1] > 0 -> late[1]--; a = 1; arrive(a) }
  :: atomic { late[2] > 0 -> late[2]--; a = 2; arrive(a) }
  :: atomic { late[3] > 0 -> late[3]--; a = 3; arrive(a) }
  :: atomic { running[0] != NONE -> run_ends(0) }
  :: atomic { running[1] != NONE -> run_ends(1) }
  od
}
