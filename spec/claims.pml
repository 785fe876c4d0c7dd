/*
 * The claim protocol of fescueturn: which host may start the task of a key.
 *
 * Four entry hosts; host 3 is not a member at first and may join. One key with
 * one task, submitted twice, at any hosts. The store orders the views (sets of
 * members); each host sees them late but in order. The key's holders in a
 * view are its two highest-ranked members. One failure at a time: a host
 * crashes, or pauses for longer than its lease, resumes and rejoins; the next
 * failure comes only when the others have synced.
 *
 * The protocol checked, as in claims.py, claiming.py and ownership.py:
 *  - a coordinator starts the task only if every holder that is still running
 *    accepted its claim in one view, and at least one of them is trusted;
 *  - a holder accepts a claim only in its own view, while its lease is valid and
 *    it is not fenced, and only if it knows no other coordinator's claim;
 *  - a host that becomes a holder of the key is trusted (to know every earlier
 *    claim) once it has fetched the claims of every other member, and of the
 *    members that left its view, if they answer (a sync).
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_CLAIM   the coordinator starts without asking the holders;
 *  -DNO_SYNC    a new holder is trusted at once;
 *  -DONE_HOLDER the coordinator asks only the first holder.
 */

#ifndef FAILURES
#define FAILURES 1
#endif
#ifndef JOINS
#define JOINS 1
#endif
#define HOSTS 4
#define VIEWS 6
#define BIT(h) (1 << (h))
#define HAS(set, h) (((set) >> (h)) & 1)

#define IDLE 0
#define CLAIMING 1
#define DECIDED 2
#define ENDED 3

byte hist[VIEWS];     /* members in each view, in the store's order */
byte latest = 0;      /* index of the store's present view */
byte crashed = 0;     /* sets of hosts */
byte asleep = 0;
byte failures = FAILURES;
byte submissions = 2;

byte view[HOSTS];     /* index of the view each host sees */
byte claims[HOSTS];   /* coordinators whose claim each host knows */
byte trusted = 0;     /* set of hosts trusted to know every claim of the key */
byte leased = 15;     /* set of hosts whose lease is valid by their own clock */
byte fenced[HOSTS];   /* 1 + the view in which a host stopped acting */
byte awaiting[HOSTS]; /* hosts that a sync still waits for */
byte departed[HOSTS]; /* former members that have not answered a host's sync */

byte phase[HOSTS];
byte round_view[HOSTS];
byte replied[HOSTS];  /* holders that answered this round */
byte vouched = 0;     /* set of coordinators with a trusted acceptance */

byte starts = 0;

#define RUNS(h) (!HAS(crashed | asleep, h))
#define MEMBERS(h) (hist[view[h]])

/* The two highest-ranked members: 3 before 1 before 0 before 2. */
#define TOP(m) (HAS(m, 3) -> 8 : (HAS(m, 1) -> 2 : (HAS(m, 0) -> 1 : (m & 4))))
#define HOLDERS(m) (TOP(m) | TOP((m) & ~TOP(m)))

#define MAY_ACT(h) (HAS(leased, h) && HAS(MEMBERS(h), h) && fenced[h] != view[h] + 1)

inline see_view(h) {
  departed[h] = (departed[h] | (MEMBERS(h) & ~hist[view[h] + 1])) & ~BIT(h);
  view[h]++;
  departed[h] = departed[h] & ~MEMBERS(h);
  if
  :: !HAS(HOLDERS(MEMBERS(h)), h) -> trusted = trusted & ~BIT(h); awaiting[h] = 0
  :: HAS(HOLDERS(MEMBERS(h)), h) && !HAS(trusted, h) ->
       awaiting[h] = (MEMBERS(h) | departed[h]) & ~BIT(h);
#ifdef NO_SYNC
       awaiting[h] = 0;
#endif
       if :: awaiting[h] == 0 -> trusted = trusted | BIT(h) :: else fi
  :: else -> awaiting[h] = 0
  fi
}

inline answered(h, m) {
  awaiting[h] = awaiting[h] & ~BIT(m);
  departed[h] = departed[h] & ~BIT(m);
  if :: awaiting[h] == 0 -> trusted = trusted | BIT(h) :: else fi
}

inline give_up_claim(h) {
  /* The releases reach every holder, or none. */
  if
  :: claims[0] = claims[0] & ~BIT(h); claims[1] = claims[1] & ~BIT(h);
     claims[2] = claims[2] & ~BIT(h); claims[3] = claims[3] & ~BIT(h)
  :: skip
  fi
}

/* Host h fetches the claims of host m in its sync, if m is ready. */
inline fetch(h, m) {
  if
  :: !HAS(awaiting[h], m)
  :: HAS(awaiting[h], m) && HAS(crashed, m) -> answered(h, m)
  :: HAS(awaiting[h], m) && RUNS(m) && HAS(departed[h], m) ->
       claims[h] = claims[h] | claims[m];
       if
       :: view[m] < view[h] -> fenced[m] = view[m] + 1
       :: else
       fi;
       answered(h, m)
  :: HAS(awaiting[h], m) && HAS(asleep, m) && HAS(departed[h], m) ->
       answered(h, m)                      /* its grace period has ended */
  :: HAS(awaiting[h], m) && RUNS(m) && !HAS(departed[h], m) &&
       view[m] == view[h] ->
       claims[h] = claims[h] | claims[m];
       answered(h, m)
  :: else
  fi
}

#define READY(h, m) (HAS(awaiting[h], m) && (HAS(crashed | departed[h], m) || \
    (RUNS(m) && view[m] == view[h])))
#define SOME_READY(h) (READY(h, 0) || READY(h, 1) || READY(h, 2) || READY(h, 3))

inline new_round(h) {
  round_view[h] = view[h]; replied[h] = 0; vouched = vouched & ~BIT(h)
}

/* Holder m decides on the claim of coordinator h. */
inline ask(h, m) {
  if
  :: HAS(crashed, m) -> replied[h] = replied[h] | BIT(m)
  :: !HAS(crashed, m) && view[m] != round_view[h] -> new_round(h)
  :: !HAS(crashed, m) && view[m] == round_view[h] && !MAY_ACT(m) -> skip
  :: !HAS(crashed, m) && view[m] == round_view[h] && MAY_ACT(m) ->
       if
       :: (claims[m] & ~BIT(h)) != 0 -> phase[h] = ENDED; give_up_claim(h)
       :: else ->
            claims[m] = claims[m] | BIT(h);
            replied[h] = replied[h] | BIT(m);
            if
            :: HAS(trusted, m) -> vouched = vouched | BIT(h)
            :: else
            fi
       fi
  fi
}

#ifdef ONE_HOLDER
#define ASKED(h) TOP(hist[round_view[h]])
#else
#define ASKED(h) HOLDERS(hist[round_view[h]])
#endif
#define MAY_ASK(h, m) (phase[h] == CLAIMING && RUNS(h) && !HAS(asleep, m) && \
    HAS(ASKED(h) & ~replied[h], m))

proctype Host(byte h) {
end:
  do
  :: atomic { RUNS(h) && view[h] < latest -> see_view(h) }

  /* Fetch claims from the hosts of the sync that are ready. */
  :: atomic { RUNS(h) && SOME_READY(h) ->
       fetch(h, 0); fetch(h, 1); fetch(h, 2); fetch(h, 3) }

  /* A caller submits the job here. */
  :: atomic {
       RUNS(h) && submissions > 0 && phase[h] == IDLE && HAS(MEMBERS(h), h) ->
       submissions--;
#ifdef NO_CLAIM
       phase[h] = DECIDED
#else
       phase[h] = CLAIMING; new_round(h)
#endif
     }

  /* Ask one holder to accept the claim. */
  :: atomic { MAY_ASK(h, 0) -> ask(h, 0) }
  :: atomic { MAY_ASK(h, 1) -> ask(h, 1) }
  :: atomic { MAY_ASK(h, 2) -> ask(h, 2) }
  :: atomic { MAY_ASK(h, 3) -> ask(h, 3) }

  /* Every holder answered: start, or try again. */
  :: atomic {
       RUNS(h) && phase[h] == CLAIMING && replied[h] == ASKED(h) ->
       if
       :: round_view[h] == view[h] && HAS(vouched, h) ->
            claims[h] = claims[h] | BIT(h); phase[h] = DECIDED
       :: else -> new_round(h)
       fi
     }

  /* Start the task; or give up before that and answer "not run" truthfully. */
  :: atomic { RUNS(h) && phase[h] == DECIDED -> starts++; phase[h] = ENDED;
       assert(starts <= 1) }
  :: atomic { RUNS(h) && phase[h] == DECIDED -> assert(starts == 0);
       phase[h] = ENDED; give_up_claim(h) }
  od
}

#define SEES_ALL(h) (HAS(crashed, h) || (view[h] == latest && awaiting[h] == 0))
#define ALL_SEE (SEES_ALL(0) && SEES_ALL(1) && SEES_ALL(2) && SEES_ALL(3))
#define CALM (asleep == 0 && ALL_SEE && (hist[latest] & crashed) == 0)

inline next_view(members) {
  hist[latest + 1] = members; latest++
}

#define MAY_FAIL(h) (failures > 0 && CALM && latest < VIEWS - 2 && \
    HAS(hist[latest], h) && hist[latest] != BIT(h))

inline fail(h) {
  failures--;
  if
  :: crashed = crashed | BIT(h)
  :: asleep = asleep | BIT(h)
  fi
}

/* The store, the failures and the membership changes. */
active proctype World() {
  byte h = 0;
  atomic {
    hist[0] = 7; trusted = HOLDERS(7);
    run Host(0); run Host(1); run Host(2); run Host(3)
  };
end:
  do
  /* Host 3 joins. */
  :: atomic { JOINS && !HAS(hist[latest], 3) && !HAS(crashed | asleep, 3) &&
       HAS(leased, 3) && latest < VIEWS - 1 ->
       next_view(hist[latest] | 8) }
  /* A host crashes, or pauses for longer than its lease. */
  :: atomic { MAY_FAIL(0) -> fail(0) }
  :: atomic { MAY_FAIL(1) -> fail(1) }
  :: atomic { MAY_FAIL(2) -> fail(2) }
  :: atomic { MAY_FAIL(3) -> fail(3) }
  /* The store removes a failed host. */
  :: atomic {
       (hist[latest] & (crashed | asleep)) != 0 && latest < VIEWS - 1 ->
       leased = leased & ~(hist[latest] & (crashed | asleep));
       next_view(hist[latest] & ~(crashed | asleep))
     }
  /* A paused host resumes, and rejoins later. */
  :: atomic { asleep != 0 && (hist[latest] & asleep) == 0 -> asleep = 0 }
  :: atomic {
       asleep == 0 && (7 & ~hist[latest] & ~crashed & ~leased) != 0 &&
         latest < VIEWS - 1 ->
       h = 7 & ~hist[latest] & ~crashed;
       leased = leased | h;
       next_view(hist[latest] | h);
       h = 0
     }
  od
}
