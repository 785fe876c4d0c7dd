/* A kept task of a data centre that is cut off, or lost, and another data centre
 * that takes it over.
 *
 * Time passes in steps. The holder of the first data centre starts the task, and
 * its endpoint ends a run when its lease expires. The holder may be cut off from
 * the store, and be frozen, at any moment and for any time; a cut ends the claim
 * some time later. Its calls to the endpoint may be carried out late, but a start
 * or a lease has an end that is fixed when it is sent. The store shows the holder
 * its claim while it isn't cut off. The other data centre finds the records
 * unclaimed, waits, and moves the job if they are still unclaimed and have not
 * been read since. A holder that comes back claims the shard anew and reads the
 * records. The first run may end by itself; the holder hears of it, but can't
 * store it while it is cut off, and acknowledges it when it is back.
 *
 * No two runs are active at a time, and no run starts between an end and its
 * acknowledgement, or after it.
 *
 * Delays are given by tests/test_spec.py from timebudget.py, in steps:
 *  CONFIRM  for how long a holder goes on after the store showed its claim;
 *  LEASE    how long a run may go on after the last lease was requested, with the
 *           tick that is late and the margin of the clocks;
 *  WAIT     for how long the records must have been unclaimed and unchanged.
 *
 * Mutants, in each of which spin must find a violation:
 *  -DNO_STOP      a holder goes on while it is cut off;
 *  -DANY_ANSWER   it counts any answer of the store, not only those that show
 *                 its claim;
 *  -DNO_WAIT      the job is moved as soon as the records are unclaimed;
 *  -DNO_HEAD      the move doesn't depend on the head record;
 *  -DCLAIMS_FIRST the claims are read before the head record;
 *  -DKEEP_JOB     a holder that is back goes on without reading the records;
 *  -DFROZEN_OLD   a holder that thaws starts the task before it looks at how
 *                 old its last answer is;
 *  -DRENEW_BESIDE the lease is extended for other runs of the endpoint although
 *                 the kept run must end;
 *  -DNO_LAPSE     an end that couldn't be stored is acknowledged at once.
 */

#define MAX_HEAD 3        /* further reads of the records add nothing new */

bool claim = true;         /* the store has the first holder's claim */
byte head = 0;             /* how often the first shard's records were read */
bool moved = false;        /* the job's record is in the second shard */

bool cut = false;          /* the first holder doesn't reach the store */
bool served = false;       /* the store answers it, but turns its writes down */
bool frozen = false;
bool loaded = true;        /* it has read the records, and has the job */
byte age = 0;              /* since the store last showed it its claim */

bool run1 = false;         /* a run at the first data centre's endpoint */
byte lease = 0;            /* what is left of the endpoint's lease */
bool other = true;         /* best-effort runs keep that lease alive */
bool ended = false;        /* a run has ended done there, unacknowledged */
bool lapsed = false;       /* ... and the lease has expired since */
bool run2 = false;
bool again = false;        /* the second run began after that end */

bool read = false;         /* the second holder found the records unclaimed */
byte seen = 0;             /* their head record then */
byte waited = 0;
bool half = false;         /* it has read one of head record and claims */

#ifdef NO_STOP
#define MAY_RUN true
#else
#define MAY_RUN (age <= CONFIRM)
#endif

#ifdef NO_HEAD
#define UNCHANGED true
#else
#define UNCHANGED (head == seen)
#endif

#ifdef NO_WAIT
#define LONG_ENOUGH true
#else
#define LONG_ENOUGH (waited >= WAIT)
#endif

#ifdef NO_LAPSE
#define MAY_FORGET true
#else
#define MAY_FORGET lapsed
#endif

inline expire() {
  if
  :: lease == 0 ->
     run1 = false;
     if :: ended -> lapsed = true :: else -> skip fi
  :: else -> skip
  fi
}

active proctype World() {
end:
  do
  /* A step of time. A live holder extends the lease in each of them while it
   * may: that is the latest that a lease can end. */
  :: atomic { true ->
       if :: lease > 0 -> lease-- :: else -> skip fi;
       expire();
       if :: age <= CONFIRM -> age++ :: else -> skip fi;
       if :: read && waited < WAIT -> waited++ :: else -> skip fi;
       if
       :: !cut && claim && loaded && !frozen -> age = 0
       :: else -> skip
       fi;
#ifdef ANY_ANSWER
       if :: served && !frozen -> age = 0 :: else -> skip fi;
#endif
       if
       :: run1 && loaded && MAY_RUN && !frozen -> lease = LEASE
#ifdef RENEW_BESIDE
       :: run1 && other && !frozen -> lease = LEASE
#endif
       /* Leases without a kept run keep the endpoint's going, but for a held end. */
       :: !run1 && other && !frozen && !(ended && !cut) -> lease = LEASE
       :: else -> skip
       fi
     }

  /* Faults. */
  :: atomic { !cut -> cut = true; served = false }
  :: atomic { !cut -> cut = true; served = true }
  :: atomic { cut && claim && head < MAX_HEAD -> claim = false }
  :: atomic { !frozen -> frozen = true }
  :: atomic { other -> other = false }

  /* The holder thaws, and looks at its clock before it does anything. */
  :: atomic { frozen ->
       frozen = false;
#ifdef FROZEN_OLD
       if
       :: loaded && !run1 && !ended ->
          assert(!run2);
          run1 = true; lease = LEASE
       :: else -> skip
       fi
#endif
     }

  /* The first holder starts the task. */
  :: atomic { loaded && !frozen && !run1 && !ended && MAY_RUN ->
       assert(!run2);
       run1 = true; lease = LEASE }

  /* Its run ends done, and it can store that only while it has its claim. */
  :: atomic { run1 && lease > 0 && cut ->
       run1 = false; ended = true; lapsed = false; again = false }

  /* The cut ends. */
  :: atomic { cut && claim && !frozen -> cut = false; age = 0 }
  :: atomic { cut && !claim && !frozen ->
       cut = false; claim = true;
#ifndef KEEP_JOB
       loaded = false
#else
       age = 0
#endif
     }
  :: atomic { !loaded && claim && !cut && !frozen ->
       head++; age = 0;
       if
       :: !moved -> loaded = true;
          if
          :: ended -> goto over     /* It stores the end, and is done. */
          :: else -> skip
          fi
       :: else -> skip
       fi
     }

  /* The end of a job that has moved is acknowledged. */
  :: atomic { ended && !loaded && moved && claim && !cut && !frozen && MAY_FORGET ->
       assert(!(again && !lapsed)); goto over }
  od;
over:
  skip
}

active proctype Other() {
end:
  do
  /* It reads the head record, and then the claims. */
#ifdef CLAIMS_FIRST
  :: atomic { !read && !half && !claim -> half = true }
  :: atomic { !read && half -> seen = head; read = true; waited = 0 }
#else
  :: atomic { !read && !half -> seen = head; half = true }
  :: atomic { !read && half ->
       if
       :: !claim -> read = true; waited = 0
       :: else -> half = false
       fi }
#endif
  :: atomic { read && !moved && LONG_ENOUGH ->
       if
       :: !claim && UNCHANGED -> moved = true
       :: else -> read = false; half = false
       fi }
  :: atomic { moved && !run2 ->
       assert(!run1);
       run2 = true;
       if :: ended -> again = true :: else -> skip fi }
  od
}
