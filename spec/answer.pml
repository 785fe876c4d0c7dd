/*
 * One job at its coordinator: tasks, lost replies, and the final answer.
 *
 * Two tasks of a claimed job. An endpoint may refuse a task before it
 * starts, run it, fail it, or run it and lose the reply. The job may reach
 * its deadline, be cancelled, or lose its coordinator at any moment.
 *
 * The protocol checked, as in jobs.py: a task is retried only if its endpoint
 * certainly did not start it. The job is answered once, for all its tasks
 * together. For each task the answer is "ran", "not run" or "unknown", which is
 * true when it is given and stays true.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DRETRY_LOST  a task whose reply was lost is retried;
 *  -DGUESS       a task in flight is reported as "not run";
 *  -DPARTIAL     the job counts as complete once any task is done.
 */

#define NT 2
mtype = { WAITING, FLYING, DONE, FAILED, LOST };          /* at the coordinator */
mtype = { RAN, NOT_RUN, UNKNOWN };                        /* in the answer */

mtype task[NT] = WAITING;
mtype word[NT] = UNKNOWN;
byte starts[NT];
bool answered = false;
bool complete = false;

inline say(t) {
  if
  :: task[t] == DONE || task[t] == FAILED -> word[t] = RAN
  :: task[t] == WAITING -> word[t] = NOT_RUN
#ifdef GUESS
  :: task[t] == FLYING -> word[t] = NOT_RUN
#else
  :: task[t] == FLYING -> word[t] = UNKNOWN
#endif
  :: task[t] == LOST -> word[t] = UNKNOWN
  fi
}

inline answer(ok) {
  say(0); say(1); answered = true; complete = ok
}

/* One task: sent while the job is open, run or refused by an endpoint. */
proctype Task(byte t) {
  do
  :: atomic { task[t] == WAITING && !answered -> task[t] = FLYING };
     if
     :: atomic { task[t] = WAITING }                /* refused, not started */
     :: starts[t]++;                                /* it starts */
        if
        :: atomic { task[t] = DONE }
        :: atomic { task[t] = FAILED }
        :: atomic { task[t] = LOST }
        fi
     fi
  :: atomic { task[t] == DONE || task[t] == FAILED } -> break
#ifdef RETRY_LOST
  :: atomic { task[t] == LOST && !answered -> task[t] = WAITING }
#endif
  :: task[t] == LOST -> break
  :: answered && task[t] == WAITING -> break
  od
}

active proctype Coordinator() {
  atomic { run Task(0); run Task(1) };
  if
#ifdef PARTIAL
  :: atomic { task[0] == DONE || task[1] == DONE -> answer(true) }
#else
  :: atomic { task[0] == DONE && task[1] == DONE -> answer(true) }
#endif
  :: atomic { task[0] == FAILED || task[1] == FAILED ||
       task[0] == LOST || task[1] == LOST -> answer(false) }
  :: atomic { answer(false) }                       /* deadline or cancel */
  :: skip                                           /* the coordinator crashes */
  fi
}

active proctype Check() {
  byte t;
  timeout ->
  for (t : 0 .. NT - 1) {
    assert(starts[t] <= 1);
    assert(!answered || word[t] != NOT_RUN || starts[t] == 0);
    assert(!answered || word[t] != RAN || starts[t] == 1);
    assert(!complete || word[t] == RAN)
  }
}
