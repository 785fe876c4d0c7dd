/*
 * Offers of one best-effort job that cross their answers and withdrawals.
 *
 * One coordinator, one holder, a link that keeps the order in each direction. The
 * job is submitted twice under the same key. At any moment the coordinator may
 * take the holder for lost and hear it again (either may have stood still), the
 * link may be reset, which loses what is in flight, and the caller may leave.
 *
 * The protocol checked, as in coordinator.py, jobdispatch.py and offers.py: each
 * offer has a number of its own, and each answer names the offer that it answers.
 * An answer to an earlier offer is disregarded, but for a result, which is
 * delivered while the last offer is withdrawn. A withdrawal is repeated until it
 * is confirmed or the job is offered again.
 *
 * Properties: when the coordinator ends or moves a job because of an answer, its
 * holder has no copy and gets none. No copy starts whose caller has its answer,
 * unless its withdrawal is under way.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_NUMBER  the end of a job ends the last offer, whichever it answers;
 *  -DPER_JOB    the offers of each submission are numbered from 1;
 *  -DKEEP       the last offer isn't withdrawn when an earlier one had a result;
 *  -DONCE       a withdrawal is sent once;
 *  -DOLD_LINK   the holder reads an offer of a connection that was replaced.
 */

#define SUBMISSIONS 2
#define OFFERS 5
#define ROOM 3                /* messages in flight in each direction */

mtype = { OFFER, WITHDRAW, ACCEPT, DECLINE, END, RESULT, CONFIRM };

chan to_holder = [ROOM] of { mtype, byte };
chan to_coordinator = [ROOM] of { mtype, byte };

/* The coordinator. */
bool open = false;            /* it has a caller to answer */
bool lost = false;            /* it takes the holder for lost */
bool may_run = false;
bool withdrawing = false;     /* it repeats the withdrawal */
byte last = 0;                /* the number of the last offer */
byte offers = 0;
byte submissions = 0;
byte withdrawal = 0;          /* the number of the last withdrawal */

/* The holder. */
bool has = false;
bool begun = false;
byte answers = 0;             /* the number of the offer that it answers */

byte coming = 0;              /* offers in flight */
byte stale = 0;               /* an offer of a replaced connection */

inline offer() {
  last++; offers++; coming++;
  lost = false; withdrawing = false;
  to_holder!OFFER(last)
}

inline withdraw() {
  withdrawing = true; withdrawal++;
  to_holder!WITHDRAW(withdrawal)
}

/* The job ends or moves by an answer of its holder. */
inline leave() {
  assert(!has && coming == 0);
  open = false
}

inline read_offer(n) {
  if
  :: has -> answers = n; to_coordinator!ACCEPT(n)
  :: !has -> has = true; begun = false; answers = n; to_coordinator!ACCEPT(n)
  :: !has -> to_coordinator!DECLINE(n)
  fi
}

active proctype Coordinator() {
  byte n;
end:
  do
  :: atomic { !open && submissions < SUBMISSIONS && offers < OFFERS &&
              nfull(to_holder) ->
       submissions++; open = true; may_run = false;
#ifdef PER_JOB
       last = 0;
#endif
       offer() }
  /* The holder is taken for lost, and heard again. */
  :: atomic { open && !lost -> lost = true; may_run = true }
  :: atomic { open && lost && offers < OFFERS && nfull(to_holder) -> offer() }
  /* The caller leaves, or gets "unknown". */
  :: atomic { open && nfull(to_holder) -> withdraw(); open = false }
  :: atomic { withdrawing && nfull(to_holder) ->
       to_holder!WITHDRAW(withdrawal) }
  /* The link is reset. */
  :: atomic { nempty(to_holder) || nempty(to_coordinator) ->
#ifdef OLD_LINK
       if
       :: to_holder?[OFFER(n)] -> to_holder?OFFER(stale)
       :: else
       fi;
#endif
#ifdef ONCE
       withdrawing = false;
#endif
       do
       :: to_holder?_,n
       :: empty(to_holder) -> break
       od;
       do
       :: to_coordinator?_,n
       :: empty(to_coordinator) -> break
       od;
       coming = 0; n = 0;
       if
       :: open -> lost = true; may_run = true
       :: else
       fi }
  :: atomic { to_coordinator?ACCEPT(n) ->
       if
       :: open && n == last -> lost = false; may_run = true
       :: else
       fi; n = 0 }
  :: atomic { to_coordinator?DECLINE(n) ->
       if
       :: open && n == last && !may_run -> leave()
       :: open && n == last && may_run -> lost = true
       :: else
       fi; n = 0 }
  :: atomic { to_coordinator?END(n) ->
       if
#ifdef NO_NUMBER
       :: open -> leave()
#else
       :: open && n == last -> leave()
#endif
       :: else
       fi; n = 0 }
  :: atomic { nfull(to_holder) && to_coordinator?[RESULT(n)] ->
       to_coordinator?RESULT(n);
       if
       :: open && n == last -> leave()
       :: open && n != last ->
#ifndef KEEP
            withdraw();
#endif
            open = false
       :: else
       fi; n = 0 }
  :: atomic { to_coordinator?CONFIRM(n) ->
       if
       :: n == withdrawal -> withdrawing = false
       :: else
       fi; n = 0 }
  od
}

active proctype Holder() {
  byte n;
end:
  do
  :: atomic { nfull(to_coordinator) && to_holder?[OFFER(n)] ->
       to_holder?OFFER(n); coming--; read_offer(n); n = 0 }
  :: atomic { nfull(to_coordinator) && to_holder?[WITHDRAW(n)] ->
       to_holder?WITHDRAW(n); has = false; begun = false;
       to_coordinator!CONFIRM(n); n = 0 }
#ifdef OLD_LINK
  :: atomic { stale && nfull(to_coordinator) -> read_offer(stale); stale = 0 }
#endif
  :: atomic { has && !begun -> assert(open || withdrawing); begun = true }
  /* It gives the job up, or doesn't hear its coordinator. */
  :: atomic { has && nfull(to_coordinator) ->
       has = false; begun = false; to_coordinator!END(answers) }
  :: atomic { has && begun && nfull(to_coordinator) ->
       has = false; begun = false; to_coordinator!RESULT(answers) }
  od
}
