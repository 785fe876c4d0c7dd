/*
 * Endpoints lost while they run one task of a kept job, as its holders crash.
 *
 * The task either crashes every endpoint that starts it, or is sound and its
 * endpoints are only cut off for a while. A holder counts the loss when the
 * endpoint's lease has expired, and stores it before the next start; it learns
 * later whether the endpoint crashed. Up to three holders are killed, at any
 * moment; the next holder knows only what is stored.
 *
 * The protocol checked, as in crashes.py: after three losses, or two for a job
 * taken over from an earlier holder, the task isn't started. It is given up once
 * two of the losses are confirmed as crashes. Not modelled: a loss that stays
 * unconfirmed for 15 s is forgotten, and a first loss does not wait for a store
 * that is unavailable.
 *
 * Properties: at most five starts, and a sound task is never given up.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_STORE    losses are not stored;
 *  -DNO_HOLD     the task is still started while losses are unconfirmed;
 *  -DSAME_LIMIT  a job taken over from an earlier holder may lose as many
 *                endpoints as any other;
 *  -DCOUNT_CUTS  a loss counts as a confirmed crash at once.
 */

#define KILLS 3
#define MOST_STARTS 5
#define SURE_CRASHES 2

bool sound;
bool running = false;
bool unnoticed = false;      /* the endpoint is lost; the holder doesn't know yet */
bool unsaved = false;
bool resumed = false;
bool given_up = false;
byte starts = 0;
byte kills = 0;
byte here = 0;               /* unconfirmed losses that this holder can resolve */
byte before = 0;             /* unconfirmed losses that earlier holders have stored */
byte crashed = 0;
byte stored_doubts = 0;
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
  :: atomic { running -> running = false; unnoticed = true }
  :: atomic { running && sound -> running = false; break }     /* it is done */
  :: atomic { unnoticed -> unnoticed = false; unsaved = true; here++ }
  :: atomic { unsaved -> unsaved = false;
#ifndef NO_STORE
       stored_doubts = here + before; stored_crashed = crashed
#endif
     }
  :: atomic { here > 0 && !sound -> here--; crashed++; unsaved = true }
  :: atomic { before > 0 && !sound -> before--; crashed++; unsaved = true }
  :: atomic { here > 0 && sound -> here--; unsaved = true }    /* endpoint is alive */
  :: atomic { kills < KILLS && !given_up -> kills++;
       running = false; unnoticed = false; unsaved = false;
       here = 0; before = stored_doubts; crashed = stored_crashed;
       resumed = true }
  :: atomic { !given_up && LOSSES >= LIMIT && SURE >= SURE_CRASHES ->
       assert(!sound); given_up = true }
  :: given_up -> break
  od
}
