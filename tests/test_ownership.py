"""Tests claims under failures, with reducers connected by fake peers."""

import itertools

import pytest

from fescueturn import claims
from fescueturn import codes
from fescueturn import jobs
from fescueturn import ownership
from fescueturn import placement
from fescueturn import reducer
from fescueturn import routing
from fescueturn import views
from tests import fakepeers

NAMES = ("a", "b", "c", "d")


def holders(key, names):
  hosts = tuple(routing.Host(n) for n in names)
  return routing.holder_table(hosts)[routing.partition(key)]


def key_held_by(first, second, names=NAMES):
  """Returns a key with holders (`first`, `second`) among the hosts `names`."""
  keys = (f"key-{i}" for i in itertools.count())
  return next(k for k in keys if holders(k, names) == (first, second))


def assert_started_once(peers, key="k", tasks=2):
  starts = {k: n for k, n in peers.starts.items() if k.startswith(f"{key}/")}
  assert starts == {f"{key}/t{i}": 1 for i in range(tasks)}


def test_concurrent_submissions_start_once_and_answer_both():
  for first, second in itertools.permutations("abc", 2):
    peers = fakepeers.Peers("abc")
    one, two = peers.submit(first), peers.submit(second)
    peers.run_rounds()
    assert_started_once(peers)
    assert peers.answer(one) == peers.answer(two)
    assert peers.answer(one).complete


def test_retry_after_coordinator_crash_reports_owner_lost():
  peers = fakepeers.Peers("abcd", finish_tasks=False)
  key = key_held_by("a", "b")
  peers.submit("c", key)
  peers.run_rounds(2)
  assert_started_once(peers, key)
  peers.crash("c")
  retry = peers.submit("d", key)
  peers.run_rounds()
  answer = peers.answer(retry)
  assert_started_once(peers, key)
  assert {t.code for t in answer.tasks} == {codes.Code.TASK_UNKNOWN_OWNER_LOST}
  assert answer.retry_after_s >= 1


def test_answer_survives_crash_of_its_coordinator():
  peers = fakepeers.Peers("abcd")
  key = key_held_by("a", "b")
  first = peers.submit("c", key)
  peers.run_rounds(2)
  peers.crash("c")
  retry = peers.submit("d", key)
  peers.run_rounds()
  assert peers.answer(retry) == peers.answer(first)
  assert_started_once(peers, key)


def test_coordinator_paused_past_its_lease_starts_nothing_on_resume():
  peers = fakepeers.Peers("abcd")
  key = key_held_by("a", "b")
  peers.submit("c", key)  # c pauses while its claims are in transit.
  delayed, peers.in_transit = peers.in_transit, []
  peers.expire_member("c")
  for name in "abd":
    peers.deliver_view(name)
  retry = peers.submit("d", key)
  peers.run_rounds(0)
  for _ in range(20):
    while peers.in_transit:
      peers.deliver(0)
    peers.tick(names="abd")
  assert peers.answer(retry).complete
  peers.in_transit = delayed  # c resumes, with its old view.
  while peers.in_transit:
    peers.deliver(0)
  assert_started_once(peers, key)
  peers.run_rounds()
  assert_started_once(peers, key)


def test_claim_made_in_an_old_view_does_not_count():
  keys = (f"key-{i}" for i in itertools.count())
  key = next(
      k
      for k in keys
      if holders(k, NAMES) == ("a", "b") and holders(k, "bcd") == ("b", "d")
  )
  peers = fakepeers.Peers("abcd")
  peers.crash("a")
  peers.expire_member("a")
  for _ in range(3):
    for name in "bd":  # c has not seen that a was removed.
      while peers.views[name]:
        peers.deliver_view(name)
    while peers.in_transit:
      peers.deliver(0)
    peers.tick(names="bd")
  peers.submit("c", key)
  while peers.in_transit:
    peers.deliver(0)
  for name in "bc":
    peers.crash(name)
    peers.expire_member(name)
  peers.run_rounds()
  retry = peers.submit("d", key)
  peers.run_rounds()
  assert peers.answer(retry).complete
  assert_started_once(peers, key)


def test_holders_replaced_by_new_hosts_still_know_the_claim():
  peers = fakepeers.Peers("ab")
  peers.submit("a")
  peers.run_rounds()
  for name in "cdefgh":
    peers.join(name)
  peers.run_rounds()
  for name in "cdefgh":
    retry = peers.submit(name)
    peers.run_rounds()
    assert peers.answer(retry).complete
  assert_started_once(peers)


def test_new_holders_are_not_trusted_before_their_sync():
  names = ("a", "b", "c", "d")
  key = key_held_by("c", "d", names)
  peers = fakepeers.Peers("ab")
  peers.submit("a", key)
  peers.run_rounds()
  peers.join("c")
  peers.join("d")
  for name in names:
    while peers.views[name]:
      peers.deliver_view(name)
  syncs, peers.in_transit = peers.in_transit, []
  retry = peers.submit("d", key)
  while peers.in_transit:
    peers.deliver(0)
  assert retry not in peers.outcomes
  peers.in_transit = syncs
  peers.run_rounds()
  assert peers.answer(retry).complete
  assert_started_once(peers, key)


def test_claims_of_a_leaving_holder_are_transferred():
  peers = fakepeers.Peers("abcd")
  key = key_held_by("a", "b")
  first = peers.submit("c", key)
  peers.run_rounds()
  for name in "ab":
    peers.put_member(name, leaving=True)
    peers.run_rounds()
  for name in "ab":
    peers.crash(name)
    peers.expire_member(name)
  peers.run_rounds()
  peers.crash("c")
  peers.expire_member("c")
  peers.run_rounds()
  retry = peers.submit("d", key)
  peers.run_rounds()
  assert_started_once(peers, key)
  assert peers.answer(retry).job_id == peers.answer(first).job_id


def test_loss_of_a_whole_rack_loses_no_claim():
  racks = {"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3"}
  for lost in ("r1", "r2"):
    peers = fakepeers.Peers()
    for name, rack in racks.items():
      peers.join(name, rack=rack)
    peers.run_rounds(10)
    keys = [f"key-{i}" for i in range(20)]
    for key in keys:
      peers.submit("a" if lost == "r1" else "c", key)
    peers.run_rounds(2)
    for name in [n for n, rack in racks.items() if rack == lost]:
      peers.crash(name)
    for name in [n for n, rack in racks.items() if rack == lost]:
      peers.expire_member(name)
    peers.run_rounds(10)
    retries = {k: peers.submit(next(iter(peers.hosts)), k) for k in keys}
    peers.run_rounds(10)
    for key in keys:
      assert_started_once(peers, key)
      assert peers.answer(retries[key]).complete


def test_peer_promises_replace_leases_in_a_platform_outage():
  peers = fakepeers.Peers("abc")
  for name in "abc":
    peers.put_member(name, lease_s=fakepeers.TTL_S)
  peers.run_rounds(2)
  peers.tick(10 * fakepeers.TTL_S)
  peers.run_rounds()
  request = peers.submit("a", "during")
  peers.run_rounds()
  assert peers.answer(request).complete


def test_host_partitioned_from_the_platform_alone_blocks_no_other():
  peers = fakepeers.Peers("abc")
  peers.put_member("a", lease_s=fakepeers.TTL_S)
  peers.run_rounds(2)
  peers.tick(fakepeers.TTL_S)  # a's lease expires; b and c renew theirs.
  for name in "bc":
    peers.put_member(name)
  while peers.in_transit:
    peers.deliver(0)
  assert not any(peers.hosts[n].membership.promises for n in "bc")
  assert not peers.hosts["a"].membership.may_accept_claims(peers.now)
  peers.expire_member("a")
  peers.run_rounds(5)
  request = peers.submit("b")
  peers.run_rounds(5)
  assert peers.answer(request).complete


def test_hosts_partitioned_past_their_lease_start_nothing():
  peers = fakepeers.Peers("abc")
  key = key_held_by("a", "b", ("a", "b", "c"))
  for name in "ab":
    peers.put_member(name, lease_s=fakepeers.TTL_S)
  peers.run_rounds(2)
  # a and b reach each other, but neither the platform nor c.
  peers.broken_links = {frozenset("ac"), frozenset("bc")}
  peers.expire_member("a")
  peers.expire_member("b")
  while peers.views["c"]:
    peers.deliver_view("c")
  for _ in range(100):
    for name in "ab":
      peers.views[name].clear()
    while peers.in_transit:
      peers.deliver(0)
    peers.tick(0.1)
  request_at_c, request_at_a = peers.submit("c", key), peers.submit("a", key)
  for _ in range(100):
    while peers.in_transit:
      peers.deliver(0)
    peers.tick(0.1)
  assert peers.answer(request_at_c).complete
  assert peers.outcomes[request_at_a].error.code == codes.Code.NO_OWNER
  assert_started_once(peers, key)


def test_expiry_of_every_lease_in_an_outage_loses_no_claim():
  peers = fakepeers.Peers("abc")
  key = key_held_by("b", "c", ("a", "b", "c"))
  for name in "abc":
    peers.put_member(name, lease_s=fakepeers.TTL_S)
  peers.run_rounds(2)
  peers.submit("b", key)
  peers.run_rounds(2)
  peers.tick(2 * fakepeers.TTL_S)
  peers.run_rounds(3)  # All leases expired, so the hosts exchange promises.
  for name in "abc":
    peers.expire_member(name)
  peers.put_member("a")
  while peers.views["a"]:
    peers.deliver_view("a")
  retry = peers.submit("a", key)
  for _ in range(5):
    peers.tick(names="a")
  assert retry not in peers.outcomes
  for name in "bc":
    peers.put_member(name)
  peers.run_rounds()
  assert peers.answer(retry).complete
  assert_started_once(peers, key)


def test_cancel_before_the_job_survives_its_coordinator():
  peers = fakepeers.Peers("abcd")
  key = key_held_by("a", "b")
  cancelled = peers.cancel("c", key)
  peers.run_rounds()
  assert peers.answer(cancelled).code == codes.Code.JOB_CANCELLED
  for name in "cd":
    late = peers.submit(name, key)
    peers.run_rounds()
    answer = peers.answer(late)
    assert [t.code for t in answer.tasks] == [
        codes.Code.TASK_NOT_RUN_CANCELLED
    ] * 2
  peers.crash("c")
  peers.run_rounds()
  late = peers.submit("d", key)
  peers.run_rounds()
  assert peers.answer(late).code == codes.Code.JOB_CANCELLED
  assert not peers.starts


def test_cancel_reaches_a_running_job_at_another_host():
  peers = fakepeers.Peers("abc", finish_tasks=False)
  job = peers.submit("a")
  peers.run_rounds(2)
  cancel = peers.cancel("c")
  peers.run_rounds()
  assert peers.answer(job).code == codes.Code.JOB_FAILED
  assert peers.answer(cancel) == peers.answer(job)
  assert_started_once(peers)


def test_job_longer_than_the_answer_keep_time_is_not_started_again():
  peers = fakepeers.Peers("abcd", finish_tasks=False)
  key = key_held_by("a", "b")
  limits = peers.hosts["c"].limits
  deadline_ms = int(2000 * (limits.answer_keep_s + jobs.CLAIM_KEEP_EXTRA_S))
  peers.submit("c", key, deadline_ms=deadline_ms)
  peers.run_rounds(2)
  assert_started_once(peers, key)
  peers.tick(0.9 * deadline_ms / 1000)
  peers.submit("d", key)
  peers.run_rounds(2)
  assert_started_once(peers, key)


def test_host_frozen_past_the_deadline_sends_no_waiting_task_on_resume():
  peers = fakepeers.Peers("abcd", finish_tasks=False, slots=4)
  key = key_held_by("a", "b")
  peers.submit("c", key)
  peers.run_rounds(2)
  (running,) = peers.running  # c may fill one of the four slots.
  peers.running.clear()
  peers.tick(2 * peers.hosts["c"].limits.answer_keep_s, "abd")
  peers.submit("d", key)
  while peers.in_transit:
    peers.deliver(0)
  while peers.running:
    peers.finish_task(0)
  peers.running.append(running)
  peers.finish_task(0)  # c resumes and reads the answer that waited for it.
  assert peers.starts[f"{key}/t1"] == 1


def index_of(peers, kind):
  """Returns the index of the message of this kind in transit."""
  (index,) = [
      i
      for i, envelope in enumerate(peers.in_transit)
      if isinstance(envelope.effect.message, kind)
  ]
  return index


def deliver_all_but(peers, kind):
  """Delivers every message in transit except those of one kind."""
  while others := [
      i
      for i, envelope in enumerate(peers.in_transit)
      if not isinstance(envelope.effect.message, kind)
  ]:
    peers.deliver(others[0])


def ran_values(peers, request):
  """Returns what a request's outcome says of its tasks."""
  answer = peers.answer(request)
  return {t.ran for t in answer.tasks} if answer else {codes.Ran.NOT_RUN}


def test_refusal_does_not_deny_what_a_lost_forward_started():
  peers = fakepeers.Peers("ab", finish_tasks=False)
  peers.drain("a")
  request = peers.submit("a")
  peers.deliver(index_of(peers, claims.ForwardJob))
  peers.run_rounds(2)
  assert_started_once(peers)
  peers.cancel("b")  # Ends the job at b; its answer is lost on the way to a.
  peers.drop(index_of(peers, claims.ForwardJob))
  assert ran_values(peers, request) == {codes.Ran.UNKNOWN}


def test_not_run_is_not_answered_while_a_lost_forward_may_start_the_job():
  peers = fakepeers.Peers("abcd", finish_tasks=False, slots=0)
  key = key_held_by("a", "b")
  peers.submit("c", key)
  peers.run_rounds(2)
  request = peers.submit("d", key)
  deliver_all_but(peers, claims.ForwardJob)
  peers.time_out(index_of(peers, claims.ForwardJob))
  for _ in range(2):  # The job's deadline passes at c, and then at d.
    peers.tick(1.0)
    deliver_all_but(peers, claims.ForwardJob)
  peers.tick(1.0)
  assert request in peers.outcomes
  peers.set_slots(64)
  peers.run_rounds(2)
  assert_started_once(peers, key)
  assert ran_values(peers, request) == {codes.Ran.UNKNOWN}


def test_promise_given_in_an_earlier_round_does_not_extend_to_a_later_one():
  peers = fakepeers.Peers("abc")
  for name in "abc":
    peers.put_member(name, lease_s=fakepeers.TTL_S)
  peers.run_rounds(2)
  peers.tick(fakepeers.TTL_S)
  peers.in_transit = [e for e in peers.in_transit if e.source == "a"]
  peers.deliver(0)
  peers.deliver(0)  # b and c promise; their replies are late.
  replies, peers.in_transit = peers.in_transit, []
  peers.tick(views.PROMISE_S - 0.1)
  peers.in_transit = replies
  peers.deliver(0)
  peers.deliver(0)
  peers.tick(0.2)
  assert not any(peers.hosts[n].membership.promises for n in "bc")
  assert not peers.hosts["a"].membership.may_accept_claims(peers.now)


def test_reply_to_an_earlier_sync_does_not_complete_the_sync_after_a_gap():
  peers = fakepeers.Peers("ab")
  peers.join("c")
  for name in "abc":
    while peers.views[name]:
      peers.deliver_view(name)
  peers.in_transit = [e for e in peers.in_transit if e.source == "c"]
  peers.deliver(0)
  peers.deliver(0)
  early_replies, peers.in_transit = peers.in_transit, []
  peers.miss_views("c")
  peers.in_transit = early_replies
  peers.deliver(0)
  peers.deliver(0)
  assert not peers.hosts["c"].membership.trusted


def test_job_cancelled_before_its_tasks_were_sent_is_not_run_by_a_late_copy():
  peers = fakepeers.Peers("abcd", slots=0)
  key = key_held_by("a", "b")
  job = peers.submit("c", key)
  peers.run_rounds(2)
  cancel = peers.cancel("d", key)
  peers.run_rounds(2)
  assert ran_values(peers, job) == {codes.Ran.NOT_RUN}
  assert peers.answer(cancel) == peers.answer(job)
  peers.set_slots(64)
  late = peers.submit("d", key)
  peers.run_rounds(2)
  assert not peers.starts
  assert peers.answer(late).code == codes.Code.JOB_CANCELLED


def test_cancel_is_not_acknowledged_while_a_silent_coordinator_may_go_on():
  peers = fakepeers.Peers("abcd", finish_tasks=False, slots=4)
  key = key_held_by("a", "b")
  peers.submit("c", key, deadline_ms=60_000)
  peers.run_rounds(2)
  peers.broken_links = {frozenset(pair) for pair in ("ca", "cb", "cd")}
  peers.expire_member("c")
  peers.views["c"].clear()
  peers.tick(fakepeers.TTL_S, "abd")
  peers.run_rounds(2)
  resubmission = peers.submit("d", key)
  peers.run_rounds(2)
  assert ran_values(peers, resubmission) == {codes.Ran.UNKNOWN}
  cancel = peers.cancel("d", key)
  peers.run_rounds(2)
  peers.finish_task(0)
  peers.tick(placement.UNREACHABLE_PAUSE_S)  # c sends the job's other task.
  assert_started_once(peers, key)
  assert peers.outcomes[cancel].error.code == codes.Code.OWNER_LOST


def test_host_that_woke_after_its_claims_lapsed_answers_for_no_other_host():
  peers = fakepeers.Peers("abcd", finish_tasks=False)
  key = key_held_by("a", "b")
  peers.submit("c", key)
  peers.run_rounds(2)
  peers.tick(2 * peers.hosts["c"].limits.answer_keep_s, "abd")
  at_d = peers.submit("d", key, deadline_ms=60_000)
  deliver_all_but(peers, ())
  peers.tick(names="c")
  deliver_all_but(peers, ())
  cancel = peers.cancel("b", key)
  deliver_all_but(peers, ())
  assert peers.outcomes[cancel] == peers.outcomes.get(at_d)


@pytest.mark.parametrize("disabled", ["view", "trust"])
def test_disabling_a_check_lets_a_task_start_twice(monkeypatch, disabled):
  """Checks that the tests above detect a double start.

  Each case disables one check: that claims of an old view are refused, and
  that a holder which has not synced is not trusted.
  """
  if disabled == "view":
    real = ownership.answer_claim

    def any_view(state, request):
      view = state.membership.view.digest
      return real(state, type(request)(view, request.claim))

    monkeypatch.setitem(
        reducer._REQUEST_HANDLERS, claims.ClaimRequest, any_view
    )
    check = test_claim_made_in_an_old_view_does_not_count
  else:
    monkeypatch.setattr(views.Membership, "trusts", lambda self, key: True)
    check = test_new_holders_are_not_trusted_before_their_sync
  with pytest.raises(AssertionError):
    check()
