/* One kept job of one task, two data centres, and evacuations at any time.
 *
 * The holder of an evacuated data centre, or of one whose endpoints can't run the
 * job, starts nothing; once none of the job's runs is left there, it moves the job to the other data centre's records. The
 * move is conditional on the holder's claim and on its previous write; it may
 * lose its answer, or take effect late. Each holder reads its own records from
 * time to time and adopts the jobs that it does not know, except those that it
 * has moved away since that read began. The first holder of data centre 0 may be
 * replaced at any point; the next one doesn't know of runs before the endpoints have
 * reported to it, which fences the first one off. shards.pml checks that endpoints obey one holder at a
 * time.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_HEAD       a move is unconditional;
 *  -DMOVE_RUNNING  a job is moved while it runs;
 *  -DMOVE_UNREPORTED  a job is moved before the endpoints have reported;
 *  -DSTALE_LIST    a job that was moved away since the read began is adopted;
 *  -DGUESS         a holder continues with a job whose move got no answer.
 */

#define MAX_LATE 2
#define MAX_MOVES 2

byte place = 0;            /* the data centre whose records contain the job */
byte head[2] = 1;          /* the revision of the last write to the records */
byte claim[2] = 1;         /* the holder's fencing token according to the store */
byte obeys[2] = 1;         /* the highest fencing token the endpoints have seen */
bool running[2];           /* the task runs at the data centre's endpoints */
bool evacuated[2];         /* or its endpoints can't run the job */
byte slow = 0;
byte moves = 0;

chan late = [MAX_LATE] of { byte, byte, byte };

#ifdef NO_HEAD
#define TURN(s, f, a) (true)
#else
#define TURN(s, f, a) (claim[s] == f && head[s] == a)
#endif

#ifdef MOVE_RUNNING
#define MAY_MOVE (true)
#elif defined(MOVE_UNREPORTED)
#define MAY_MOVE (obeys[s] != fence || !running[s])
#else
#define MAY_MOVE (obeys[s] == fence && !running[s])
#endif

#ifdef STALE_LIST
#define KNOWN_GONE (false)
#else
#define KNOWN_GONE (moved)
#endif

inline carry_out(s, f, a) {
  if
  :: TURN(s, f, a) -> place = 1 - s; head[s]++
  :: else -> skip
  fi
}

active proctype Late() {
  byte s, f, a;
end:
  do
  :: atomic { late?s, f, a -> carry_out(s, f, a) }
  od
}

active proctype Operator() {
  byte changes = 0;
end:
  do
  :: changes < 3 -> atomic { evacuated[0] = !evacuated[0]; changes++ }
  :: changes < 3 -> atomic { evacuated[1] = !evacuated[1]; changes++ }
  od
}

/* Retries the move until its result is known. */
inline move() {
  moving = true;
  do
  :: atomic {
       if
       :: claim[s] == fence && head[s] == after ->
          place = 1 - s; head[s]++; after = head[s];
          has = false; moved = true; moving = false
       :: claim[s] == fence && head[s] != after ->
          /* An earlier attempt took effect, and its answer was lost. */
          after = head[s]; has = false; moved = true; moving = false
       :: else -> skip
       fi;
       break
     }
  :: atomic { slow < MAX_LATE -> late!s, fence, after; slow++ }
  :: atomic { slow < MAX_LATE -> carry_out(s, fence, after); slow++ }
#ifdef GUESS
  :: slow > 0 -> moving = false; break
#endif
  od
}

inline start() {
  atomic {
    obeys[s] == fence && !running[s] ->
    assert(!running[1 - s]);
    running[s] = true
  }
}

proctype Holder(byte s; byte fence) {
  byte after = 1;
  bool has = false, listed = false, reads = false, moved = false;
  bool moving = false;
  atomic {
    /* The holder takes the records over, then reads them. */
    if :: fence > 1 -> claim[s] = fence; head[s]++ :: else -> skip fi;
    after = head[s]
  };
  has = (place == s);
end:
  do
  :: has && !moving && !evacuated[s] && obeys[s] == fence && !running[s] ->
     if
     :: start()
     :: obeys[s] > fence -> break
     fi
  :: running[s] && obeys[s] == fence -> running[s] = false
  :: obeys[s] < fence -> obeys[s] = fence    /* The endpoints report. */
  :: has && !moving && evacuated[s] && MAY_MOVE && moves < MAX_MOVES ->
     moves++; move()
  :: !reads -> atomic { reads = true; moved = false; listed = (place == s) }
  :: reads -> atomic {
       reads = false;
       if
       :: listed && !has && !KNOWN_GONE -> has = true
       :: else -> skip
       fi
     }
  :: obeys[s] > fence -> break
  od
}

init {
  run Holder(0, 1);
  run Holder(1, 1);
  run Holder(0, 2)
}
