/*
 * A team's settings: concurrent operators, lost replies, late and repeated reads.
 *
 * Two operators write by compare-and-swap on the revision that they read; a reply
 * may be lost after the write was applied, and the operator then reads back. Two
 * entry hosts learn revisions from watches and fresh reads, in any order.
 *
 * Mutants, in each of which spin must find a violation (tests/test_spec.py):
 *  -DNO_CAS        a put overwrites whatever is there;
 *  -DNO_MONOTONIC  an entry host applies whatever revision arrives.
 */

#define OPERATORS 2
#define HOSTS 2

byte revision = 0;          /* the store's revision of the key */
byte writer = 0;            /* 1 + the operator whose text is stored */
byte read_at[OPERATORS];    /* the revision each operator saw */
byte accepted[OPERATORS];   /* the revision that each knows its write to have, or 0 */
byte base_of[4];            /* by revision: the revision it replaced */
byte applied[HOSTS];
byte highest[HOSTS];

proctype Operator(byte o) {
  byte tries = 0;
  read_at[o] = revision;
  do
  :: atomic {
#ifdef NO_CAS
       true ->
#else
       revision == read_at[o] ->
#endif
       revision++; writer = o + 1; base_of[revision] = read_at[o];
       assert(base_of[revision] == revision - 1)   /* no other write is lost */
     };
     if
     :: accepted[o] = read_at[o] + 1; break        /* the reply arrived */
     :: atomic {                                   /* lost: read back */
          if
          :: writer == o + 1 -> accepted[o] = revision
          :: else
          fi
        };
        break
     fi
#ifndef NO_CAS
  :: atomic { revision != read_at[o] -> break }    /* conflict reported */
#endif
  od
}

proctype Host(byte h) {
  byte n = 0;
  byte rev;
  do
  :: n < 4 ->
       if                                          /* any revision so far */
       :: rev = revision
       :: atomic { revision > 0 -> rev = revision - 1 }
       fi;
#ifdef NO_MONOTONIC
       applied[h] = rev;
#else
       if :: rev > applied[h] -> applied[h] = rev :: else -> skip fi;
#endif
       assert(applied[h] >= highest[h]);           /* never reverts */
       highest[h] = applied[h];
       n++
  :: n == 4 -> break
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. OPERATORS - 1) { run Operator(i) };
    for (i : 0 .. HOSTS - 1) { run Host(i) }
  }
}
