/* One kept job of two tasks: its record in the store, and two successive holders.
 *
 * A holder writes the record before it accepts the job. It writes the result of
 * each run into the record before it acknowledges the result to the endpoint,
 * which then forgets it. A write is conditional on the holder's claim and on the
 * previous write; a new holder writes the head record before it reads the job's
 * record. Any write may lose its answer, or take effect late, after it was
 * retried; a holder may crash or be replaced at any point. shards.pml checks
 * that endpoints obey one holder at a time.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_HEAD       writes are conditional on the claim alone;
 *  -DREAD_FIRST    writes are conditional on the head record alone, and a new
 *                  holder reads the record before it writes the head record;
 *  -DFORGET_FIRST  an endpoint may forget a result before it is written;
 *  -DACCEPT_FIRST  the job is accepted before it is written.
 */

#define NOTHING 0
#define OPEN 4             /* plus 1 and 2 for tasks 0 and 1 being done */
#define MAX_LATE 2

#define IDLE 0
#define RUNNING 1
#define ENDED 2            /* the endpoint reports the run as ended */

byte record = NOTHING;
byte claim = 1;            /* the holder's fencing token according to the store */
byte head = 1;             /* the last write: its revision, fencing token, number */
byte head_fence = 1;
byte head_number = 0;

byte task[2] = IDLE;        /* the tasks' runs at the endpoint */
byte obeys = 1;            /* the highest fencing token the endpoint has seen */
bool forgotten[2];         /* the endpoint has forgotten the task's result */
bool accepted = false;     /* the caller got the answer that the job is accepted */

/* Writes that take effect late. */
chan late = [MAX_LATE] of { byte, byte, byte, byte };
byte slow = 0;             /* number of writes that got no answer */

#ifdef NO_HEAD
#define TURN(f, a) (claim == f)
#elif defined(READ_FIRST)
#define TURN(f, a) (head == a)
#else
#define TURN(f, a) (claim == f && head == a)
#endif

inline carry_out(f, n, a, value) {
  if
  :: TURN(f, a) && !(head_fence == f && head_number == n) ->
     record = value; head++; head_fence = f; head_number = n
  :: else -> skip
  fi
}

/* Retries a write until its result is known; `ok` is false if this holder has
 * been replaced. */
inline write(value) {
  number++;
  do
  :: atomic {
       carry_out(fence, number, after, value);
       ok = (head_fence == fence && head_number == number);
       if :: ok -> after = head :: else -> skip fi;
       break
     }
  :: atomic { slow < MAX_LATE ->  /* no answer: retried */
       late!fence, number, after, value; slow++ }
  :: atomic { slow < MAX_LATE ->  /* carried out, but the answer is lost */
       carry_out(fence, number, after, value); slow++ }
  od
}

active proctype Late() {
  byte f, n, a, v;
end:
  do
  :: atomic { late?f, n, a, v -> carry_out(f, n, a, v) }
  od
}

active proctype Endpoint() {
end:
  do
  :: task[0] == RUNNING -> task[0] = ENDED
  :: task[1] == RUNNING -> task[1] = ENDED
  od
}

inline take_over() {
  claim = fence;
#ifdef READ_FIRST
  seen = record;
#endif
  atomic {
    head++; head_fence = fence; head_number = 0; after = head;
    obeys = fence
  };
#ifndef READ_FIRST
  seen = record;
#endif
  assert(!accepted || seen != NOTHING)
}

inline accept() {
#ifdef ACCEPT_FIRST
  accepted = true;
#endif
  write(OPEN);
  if
  :: ok -> seen = OPEN; accepted = true
  :: else -> goto over
  fi
}

inline start(i) {
  atomic {
    if
    :: obeys == fence && task[i] == IDLE ->
       assert(!forgotten[i]);
       task[i] = RUNNING
    :: else -> skip
    fi
  }
}

inline forget(i) {
  atomic {
    if
    :: obeys == fence && task[i] == ENDED -> task[i] = IDLE; forgotten[i] = true
    :: else -> skip
    fi
  }
}

inline note_end(i) {
#ifdef FORGET_FIRST
  forget(i);
#endif
  seen = seen | (i + 1);
  write(seen);
  if
  :: !ok -> goto over
  :: else -> forget(i)
  fi
}

proctype Holder(byte fence; bool second) {
  byte seen = NOTHING, after = 1, number = 0;
  bool ok;
  if
  :: second -> take_over()
  :: else -> skip
  fi;
end:
  do
  :: seen == NOTHING -> accept()
  :: seen >= OPEN && !(seen & 1) && task[0] == IDLE && obeys == fence -> start(0)
  :: seen >= OPEN && !(seen & 2) && task[1] == IDLE && obeys == fence -> start(1)
  :: seen >= OPEN && !(seen & 1) && task[0] == ENDED && obeys == fence ->
     note_end(0)
  :: seen >= OPEN && !(seen & 2) && task[1] == ENDED && obeys == fence ->
     note_end(1)
  :: seen == OPEN + 3 -> break
  :: obeys != fence -> break
  :: second == false -> break      /* it crashes */
  od;
over:
  skip
}

init {
  run Holder(1, false);
  run Holder(2, true)
}
