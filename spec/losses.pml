/*
 * Endpoints lost under one task of a kept job, while holders of its shard die.
 *
 * The task crashes every endpoint that starts it, or (sound) its endpoints are
 * only cut off for a while. A holder notes the loss when the lease is over, and
 * stores it before the next start; it learns later whether the endpoint crashed.
 * Up to three holders are killed, at any moment; the next one knows what is stored.
 *
 * The protocol checked, as in crashes.py: with three losses, or two for a job
 * that an earlier holder had, the task starts no more; it is given up once two
 * of them have surely crashed. Left out: a loss that stays in doubt for
 * 15 s is forgotten, and a first loss does not wait for a store that is away.
 *
 * Promised: five starts at the most, and a sound task is never given up.
 *
 * Mutants, each of which spin must refute (tests/test_spec.py):
 *  -DNO_STORE    losses are not stored;
 *  -DNO_HOLD     the task goes on starting while losses are in doubt;
 *  -DSAME_LIMIT  a job that an earlier holder had may lose as many as any;
 *  -DCOUNT_CUTS  a loss counts as a crash at once.
 */

#define KILLS 3
#define MOST_STARTS 5
#define SURE_CRASHES 2

bool sound;
bool running = false;
bool unnoticed = false;      /* the endpoint is lost, the holder doesn't know */
bool unsaved = false;
bool resumed = false;
bool given_up = false;
byte starts = 0;
byte kills = 0;
byte here = 0;               /* losses in doubt that this holder can settle */
byte before = 0;             /* losses in doubt of earlier holders */
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
end:  /* Losses of dead holders stay in doubt: waiting is allowed. */
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
  :: atomic { here > 0 && sound -> here--; unsaved = true }    /* it lives */
  :: atomic { kills < KILLS && !given_up -> kills++;
       running = false; unnoticed = false; unsaved = false;
       here = 0; before = stored_doubts; crashed = stored_crashed;
       resumed = true }
  :: atomic { !given_up && LOSSES >= LIMIT && SURE >= SURE_CRASHES ->
       assert(!sound); given_up = true }
  :: given_up -> break
  od
}
