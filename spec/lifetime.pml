/*
 * How long a run of a best-effort job lives, in discrete time.
 *
 * A caller leaves and sends its job again RETURN later. Its
 * coordinator looks at its callers' connections whenever it gets a processor,
 * and tells a holder when it last saw them open. The holder orders the run and
 * renews its endpoint's lease; another host may take the shard over. Messages
 * and orders may be lost or take any time, and every process may stand still
 * for any time: nothing but the endpoint's lease is sure to end a run.
 *
 * Property: once the caller is back, no run of its first submission is active.
 *
 * SILENCE, LEASE, RETURN: delays in steps of 0.1 s (`scheduler/timebudget.py`,
 * rounded against the property): how long a holder serves a job after its
 * coordinator's last look, a lease on a slow clock, the caller's return. A mutant
 * lacks one of the rules:
 *
 * UNREAD_CLOSE       the coordinator looks, but doesn't see the close
 * PING_WITHOUT_LOOK  a ping counts as a look
 * AGE_FROM_READING   a ping counts as sent when it is read
 * FIRST_AGE          only the first one that a new holder reads does
 * OFFER_UNSERVED     a run is ordered for a coordinator that is silent
 * RENEW_SILENT       a lease is renewed for one
 * RENEW_BESIDE       a lease is renewed for another job's run beside it
 * RENEW_UNKNOWN      a new holder renews a lease although it doesn't know the job
 * NO_START_DEADLINE  a start is carried out at any time
 * NO_RENEWAL_END     a lease counts from when its renewal is carried out
 * NO_FENCE           the endpoint obeys the orders of a replaced holder, whose
 *                    runs its successor doesn't know of
 * SUSPENDED          the holder's clock doesn't count a suspension
 */

#ifndef SILENCE
#define SILENCE 4
#endif
#ifndef LEASE
#define LEASE 9
#endif
#ifndef RETURN
#define RETURN 13
#endif
#define LEFT_AT 3
#define RETURNS_AT (LEFT_AT + RETURN)

byte now = 1;          /* The time. */
byte looked_at;        /* When the coordinator last saw it open. */
byte ping;             /* The look that a ping on its way tells of; 0: none. */
byte heard;            /* The latest look that the holder knows of; 0: none. */
byte holder;           /* How often the shard was taken over. */
byte stood_still;      /* How long the holder's clock stood still. */
bool knows_run;        /* The holder has ordered the run, or seen it listed. */
bool knows_job;        /* The holder has the job. */
bool asked;            /* The holder's first call to the endpoint was answered. */
byte order;            /* The end of the lease of an order on its way; 0: none. */
byte order_of;         /* The holder that sent it. */
bool is_start;         /* It is a start, or else a renewal. */
byte fence;            /* The latest holder that the endpoint has heard of. */
bool running;
byte lease_end;

#define later(a, b) ((a) > (b) -> (a) : (b))
#define holders_now (now - stood_still)
#define served (knows_job && heard && holders_now - heard <= SILENCE)

inline coordinator_looks()
{
#ifdef UNREAD_CLOSE
  looked_at = now
#else
  if
  :: now <= LEFT_AT -> looked_at = now
  :: else
  fi
#endif
}

inline coordinator_pings()
{
#ifdef PING_WITHOUT_LOOK
  ping = now
#else
  ping = looked_at
#endif
}

inline holder_reads()
{
#ifdef AGE_FROM_READING
  heard = holders_now;
#else
#ifdef FIRST_AGE
  if
  :: holder && heard == 0 -> heard = holders_now
  :: else -> heard = later(heard, ping)
  fi;
#else
  heard = later(heard, ping);
#endif
#endif
  knows_job = true;
  ping = 0
}

inline holder_orders()
{
  order = now + LEASE;
  order_of = holder;
  is_start = true;
  knows_run = true
}

inline holder_renews()
{
  order = now + LEASE;
  order_of = holder;
  is_start = false
}

inline other_host_takes_over()
{
  holder++;
  heard = 0;
  stood_still = 0;
  knows_job = false;
  knows_run = false;
  asked = false
}

inline endpoint_starts()
{
#ifdef NO_START_DEADLINE
  running = true;
  lease_end = now + LEASE
#else
  if
  :: now < order -> running = true; lease_end = later(lease_end, order)
  :: else
  fi
#endif
}

inline endpoint_renews()
{
#ifdef NO_RENEWAL_END
  lease_end = now + LEASE
#else
  lease_end = later(lease_end, order)
#endif
}

inline endpoint_obeys()
{
  if
#ifdef NO_FENCE
  :: is_start -> endpoint_starts()
  :: !is_start -> endpoint_renews()
#else
  :: is_start && order_of >= fence -> endpoint_starts()
  :: !is_start && order_of >= fence -> endpoint_renews()
#endif
  :: else
  fi;
  order = 0
}

inline time_passes()
{
  now++;
  if
  :: running && now >= lease_end -> running = false
  :: else
  fi;
  assert(!running || now < RETURNS_AT)
}

active proctype world()
{
  do
  :: now <= RETURNS_AT ->
     if
     :: atomic { looked_at < now -> coordinator_looks() }
     /* A later ping replaces one that is lost or late. */
     :: atomic { looked_at > ping -> coordinator_pings() }
     :: atomic { ping -> holder_reads() }
#ifdef OFFER_UNSERVED
     :: atomic { order != now + LEASE && !running && knows_job && asked -> holder_orders() }
#else
     :: atomic { order != now + LEASE && !running && served && asked -> holder_orders() }
#endif
     /* A lease is renewed for this run, or for another job's run beside it. */
#if defined(RENEW_BESIDE)
     :: atomic { asked && order != now + LEASE -> holder_renews() }
#elif defined(RENEW_SILENT)
     :: atomic { asked && order != now + LEASE && (knows_job || !knows_run) -> holder_renews() }
#elif defined(RENEW_UNKNOWN)
     :: atomic { asked && order != now + LEASE && (served || !knows_run || !knows_job) -> holder_renews() }
#else
     :: atomic { asked && order != now + LEASE && (served || !knows_run) -> holder_renews() }
#endif
     :: atomic { order -> endpoint_obeys() }
     :: atomic { holder < 1 -> other_host_takes_over() }
     /* The endpoint answers the holder's first call and lists what it runs. */
     :: atomic {
          !asked -> asked = true;
          fence = holder;
          knows_run = running
        }
#ifdef SUSPENDED
     :: atomic { stood_still == 0 && now > 2 -> stood_still = now - 2 }
#endif
     :: time_passes()
     fi
  :: else -> break
  od
}
