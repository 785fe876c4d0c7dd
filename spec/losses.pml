/*
 * Endpoints lost while they run one task of a kept job, as its holders crash.
 *
 * The task either crashes every endpoint that starts it, or is sound: then its
 * endpoints are only cut off for a while, but for one, which crashes under it by
 * its own fault. An endpoint may also have been down since before the task's
 * start is requested. A holder counts the loss when the endpoint's lease has
 * expired, and stores it before the next start; it learns later whether the
 * endpoint crashed. Up to three holders are killed, at any moment; the next
 * holder knows only what is stored.
 *
 * The protocol checked, as in crashes.py: a task is only started at an endpoint
 * that has just answered a call. After three losses, or two for a job taken over
 * from an earlier holder, the task isn't started. It is given up once two of the
 * losses are confirmed as crashes. Not modelled: a loss that stays unconfirmed
 * for 15 s is forgotten, and a first loss does not wait for a store that is
 * unavailable.
 *
 * Properties: at most five starts, and a sound task is never given up.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_STORE    losses are not stored;
 *  -DNO_HOLD     the task is still started while losses are unconfirmed;
 *  -DSAME_LIMIT  a job taken over from an earlier holder may lose as many
 *                endpoints as any other;
 *  -DCOUNT_CUTS  a loss counts as a confirmed crash at once;
 *  -DNO_PROBE    the endpoint need not have answered before the start;
 *  -DSURE_ONLY   nor need it, and only a run that the endpoint has confirmed
 *                counts as lost.
 */

#define KILLS 3
#define MOST_STARTS 5
#define SURE_CRASHES 2
/* Endpoints that crash under a sound task by their own fault. */
#define OWN_CRASHES 1

bool sound;
bool running = false;
bool unnoticed = false;      /* the endpoint is lost; the holder doesn't know yet */
bool unsaved = false;
bool resumed = false;
bool given_up = false;
byte starts = 0;
byte kills = 0;
byte own_crashes = 0;
byte here = 0;               /* unconfirmed losses that this holder can resolve */
byte before = 0;             /* unconfirmed losses that earlier holders have stored */
byte fallen = 0;             /* endpoints among both that did crash */
byte crashed = 0;
byte stored_doubts = 0;
byte stored_fallen = 0;
byte stored_crashed = 0;

#ifdef SAME_LIMIT
#define LIMIT 3
#else
#define LIMIT (resumed -> 2 : 3)
#endif
#define LOSSES (here + before + crashed)
#ifdef COUNT_CUTS
#define SURE LOSSES
#else
#define SURE crashed
#endif
#ifdef NO_HOLD
#define MAY_START (LOSSES < 7)
#else
#define MAY_START (LOSSES < LIMIT && !unsaved)
#endif

bool noticed_fallen = false; /* the endpoint of the unnoticed loss did crash */

active proctype Task() {
  if
  :: sound = true
  :: sound = false
  fi;
end:  /* Earlier holders' losses may stay unconfirmed: the task may wait. */
  do
  :: atomic { !given_up && !running && !unnoticed && MAY_START ->
       assert(starts < MOST_STARTS || sound);
       if
       :: starts < MOST_STARTS -> starts++
       :: else
       fi;
       running = true }
#ifdef NO_PROBE
  /* The start is sent to an endpoint that is down, and its loss is counted. */
  :: atomic { !given_up && !running && !unnoticed && MAY_START && sound ->
       unnoticed = true; noticed_fallen = true }
#endif
  :: atomic { running && !sound -> running = false;
       unnoticed = true; noticed_fallen = true }
  :: atomic { running && sound -> running = false;
       unnoticed = true; noticed_fallen = false }
  :: atomic { running && sound && own_crashes < OWN_CRASHES -> running = false;
       own_crashes++; unnoticed = true; noticed_fallen = true }
  :: atomic { running && sound -> running = false; break }     /* it is done */
  :: atomic { unnoticed -> unnoticed = false;
#ifdef SURE_ONLY
       if
       :: unsaved = true; here++; fallen = fallen + noticed_fallen
       :: !sound      /* it crashed before it answered */
       fi
#else
       unsaved = true; here++; fallen = fallen + noticed_fallen
#endif
     }
  :: atomic { unsaved -> unsaved = false;
#ifndef NO_STORE
       stored_doubts = here + before; stored_fallen = fallen;
       stored_crashed = crashed
#endif
     }
  /* Another incarnation answers, or the same one. */
  :: atomic { here > 0 && fallen > 0 -> here--; fallen--; crashed++;
       unsaved = true }
  :: atomic { before > 0 && fallen > 0 -> before--; fallen--; crashed++;
       unsaved = true }
  :: atomic { here + before > fallen && here > 0 -> here--; unsaved = true }
  :: atomic { kills < KILLS && !given_up -> kills++;
       running = false; unnoticed = false; unsaved = false;
       here = 0; before = stored_doubts; fallen = stored_fallen;
       crashed = stored_crashed; resumed = true }
  :: atomic { !given_up && LOSSES >= LIMIT && SURE >= SURE_CRASHES ->
       assert(!sound); given_up = true }
  :: given_up -> break
  od
}
