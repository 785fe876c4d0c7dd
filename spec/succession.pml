/*
 * A holder that is shut down: whom it releases its shard to, and how it hands the
 * shard over without the store.
 *
 * A claim in the store gets the store's revision as its fencing token. A holder
 * that knows that its claim was in place at a later revision may use the numbers
 * between: the store has spent them, so no claim ever gets them. While the store
 * is away, it grants a part of them to its successor, which serves under the
 * lowest and may grant the rest in turn. Grants may be lost or arrive late.
 *
 * Properties: no two hosts serve under one fencing token; a claim in the store is
 * higher than every token that was used before it; and a holder that is shut down
 * stops serving only once another host serves, or its process ends.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DANY_NUMBER    a holder grants numbers that the store has not spent;
 *  -DSTALE_CLAIM   a holder takes numbers as its own that the store spent after
 *                  it had lost its claim;
 *  -DSAME_NUMBER   a second grant repeats the numbers of the first;
 *  -DREREAD        the numbers granted count as unused once the store is read
 *                  again;
 *  -DDROP_RELEASED the holder stops serving when its release is reported;
 *  -DNO_HOST       the holder releases its claim although all others drain.
 */

#define HOSTS 3
#define MAX_REVISION 8
#define NONE 255

byte revision = 1;
bool up = true;              /* the store answers */
byte claim = 0;              /* fencing token of the claim in the store */
byte claimer = NONE;
byte highest = 0;            /* the highest token that was used */
byte user[MAX_REVISION + 2]; /* host + 1 that has served under a token */

byte serving[HOSTS];         /* the token under which a host serves; 0: none */
byte next[HOSTS];            /* the lowest number that it may grant */
byte limit[HOSTS];           /* the highest number that it may grant */
bool draining[HOSTS];
bool ended[HOSTS];
byte granted[HOSTS];         /* a grant on its way to the host; 0: none */
byte granted_limit[HOSTS];

#define SERVED (serving[0] || serving[1] || serving[2])
#define LIVE(h) (!draining[h] && !ended[h])

inline use(h, token) {
  assert(user[token] == 0 || user[token] == h + 1);
  user[token] = h + 1;
  serving[h] = token;
  if
  :: token > highest -> highest = token
  :: else
  fi
}

inline write_claim(h) {
  revision++;
  assert(revision > highest);
  claim = revision; claimer = h;
  use(h, revision);
  next[h] = 0; limit[h] = 0
}

active [HOSTS] proctype Host() {
  byte me = _pid;
  byte to = 0;
  byte middle = 0;
end:
  do
  :: atomic { up && !ended[me] && !draining[me] && claim == 0 &&
       revision < MAX_REVISION -> write_claim(me) }
  /* The store is read at a revision at which the own claim is in place. */
  :: atomic { up && serving[me] && revision > serving[me] &&
#ifndef STALE_CLAIM
       claim == serving[me] && claimer == me &&
#endif
       !ended[me] ->
#ifdef REREAD
       next[me] = serving[me] + 1;
#else
       if
       :: next[me] <= serving[me] -> next[me] = serving[me] + 1
       :: else
       fi;
#endif
       limit[me] = revision }
  :: atomic { !draining[me] && !ended[me] -> draining[me] = true }
  /* The shard is granted to another host while the store is away. */
  :: atomic { !up && draining[me] && !ended[me] && serving[me] &&
       next[me] > serving[me] &&
#ifdef ANY_NUMBER
       next[me] < MAX_REVISION ->
       limit[me] = MAX_REVISION;
#else
       next[me] <= limit[me] ->
#endif
       if
       :: to = 0
       :: to = 1
       :: to = 2
       fi;
       if
       :: to != me && LIVE(to) && !granted[to] ->
            middle = (next[me] + limit[me]) / 2;
            granted[to] = next[me]; granted_limit[to] = middle;
#ifndef SAME_NUMBER
            next[me] = middle + 1
#endif
       :: else
       fi }
  /* A grant arrives, or is lost. The granting host stops serving when it learns
     of that, or is fenced off by the endpoints. */
  :: atomic { granted[me] ->
       if
       :: !draining[me] && !ended[me] && granted[me] > serving[me] ->
            use(me, granted[me]);
            next[me] = granted[me] + 1; limit[me] = granted_limit[me]
       :: true
       fi;
       granted[me] = 0; granted_limit[me] = 0 }
  :: atomic { serving[me] && highest > serving[me] -> serving[me] = 0 }
  /* The claim is released to a successor, which claims the shard whether the
     store has deleted the earlier claim by then or not. */
  :: atomic { up && draining[me] && !ended[me] && serving[me] &&
       claim == serving[me] && claimer == me && revision + 1 < MAX_REVISION ->
#ifdef NO_HOST
       to = NONE;
#else
       if
       :: LIVE(0) -> to = 0
       :: LIVE(1) -> to = 1
       :: LIVE(2) -> to = 2
       :: else -> to = me
       fi;
#endif
       if
       :: to != me ->
            if
            :: to != NONE -> write_claim(to)
            :: claim = 0; claimer = NONE; revision++;
               if
               :: to != NONE -> write_claim(to)
#ifdef NO_HOST
               :: to == NONE -> serving[me] = 0
#endif
               /* This host serves until the next claim. */
#ifdef DROP_RELEASED
               :: serving[me] = 0
#else
               :: to != NONE -> skip
#endif
               fi
            fi;
            assert(SERVED)
       :: else
       fi }
  :: atomic { draining[me] && !ended[me] ->
       ended[me] = true; serving[me] = 0 }
  od
}

active proctype World() {
end:
  do
  :: atomic { up -> up = false }
  :: atomic { !up -> up = true }
  /* Another key is written. */
  :: atomic { up && revision < MAX_REVISION - 2 -> revision++ }
  /* The claim expires. */
  :: atomic { up && claim && revision < MAX_REVISION - 2 ->
       claim = 0; claimer = NONE; revision++ }
  od
}
