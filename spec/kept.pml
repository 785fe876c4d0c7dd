/* One kept job of two tasks: its record in the store, and two holders in turn.
 *
 * A holder writes the record before it accepts the job, and each end of a task
 * into it before it lets the endpoint forget that end. A write depends on the
 * holder's claim and on the write before; a new holder takes the head over
 * before it reads the record. Any write may lose its answer, or be carried out
 * late, after it was made again; a holder may die or be replaced at any point.
 * That endpoints obey one holder at a time is shards.pml's part.
 *
 * Mutants (tests/test_spec.py): NO_HEAD has writes depend on the claim alone;
 * READ_FIRST has them depend on the head alone, and a new holder read the record
 * before it takes the head over;
 * FORGET_FIRST lets an endpoint forget an end before it is written;
 * ACCEPT_FIRST accepts the job before it is written.
 */

#define NOTHING 0
#define OPEN 4             /* plus 1 and 2 for tasks 0 and 1 being done */
#define MAX_LATE 2

#define IDLE 0
#define RUNNING 1
#define ENDED 2            /* the endpoint lists the end */

byte record = NOTHING;
byte claim = 1;            /* the holder's fence number by the store */
byte head = 1;             /* the last write's revision, who made it, which */
byte head_fence = 1;
byte head_number = 0;

byte task[2] = IDLE;        /* the tasks' runs at the endpoint */
byte obeys = 1;            /* the highest fence number it has seen */
bool forgotten[2];         /* a run's end as done was forgotten there */
bool accepted = false;     /* the caller was told so */

/* Writes that are carried out late. */
chan late = [MAX_LATE] of { byte, byte, byte, byte };
byte slow = 0;             /* how many there were */

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

/* Writes until it is known what came of it; `ok` is false once replaced. */
inline write(value) {
  number++;
  do
  :: atomic {
       carry_out(fence, number, after, value);
       ok = (head_fence == fence && head_number == number);
       if :: ok -> after = head :: else -> skip fi;
       break
     }
  :: atomic { slow < MAX_LATE ->  /* no answer: made again */
       late!fence, number, after, value; slow++ }
  :: atomic { slow < MAX_LATE ->  /* carried out, and the answer lost */
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
  :: second == false -> break      /* it dies */
  od;
over:
  skip
}

init {
  run Holder(1, false);
  run Holder(2, true)
}
