import collections
import dataclasses

from fescueturn import codes
from fescueturn import events
from fescueturn import reducer
from fescueturn import settings
from tests import conftest


def kinds(effects):
  return [type(e).__name__ for e in effects]


def finish(state, send, code=codes.Code.TASK_DONE, result="ok"):
  return reducer.reduce(
      state,
      events.TaskFinished(
          send.key, send.task.task_id, send.endpoint.name, code, result
      ),
  )


def test_job_sends_each_task_once_and_replies_complete(state):
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=2))
  )
  assert kinds(sends) == ["SendTask", "SendTask"]
  assert finish(state, sends[0]) == []
  replies = finish(state, sends[1])
  assert kinds(replies) == ["SendOutcome"]
  assert replies[0].outcome.answer.code == codes.Code.JOB_COMPLETE
  assert [t.task_id for t in replies[0].outcome.answer.tasks] == ["t0", "t1"]


def test_tasks_spread_over_endpoints_within_slots(state):
  effects = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=5))
  )
  sent = [e.endpoint.name for e in effects]
  assert sorted(sent) == ["e1", "e1", "e2", "e2"]
  assert len(state.queue) == 1
  more = finish(state, effects[0])
  assert kinds(more) == ["SendTask"]


def test_retry_with_same_key_joins_and_starts_nothing(state):
  job = conftest.make_job()
  sends = reducer.reduce(state, events.JobArrived(1, job))
  assert reducer.reduce(state, events.JobArrived(2, job)) == []
  finish(state, sends[0])
  replies = finish(state, sends[1])
  assert sorted(r.request_id for r in replies) == [1, 2]
  again = reducer.reduce(state, events.JobArrived(3, job))
  assert (
      kinds(again) == ["SendOutcome"]
      and again[0].outcome.answer == replies[0].outcome.answer
  )


def test_reused_key_with_other_job_is_refused(state):
  reducer.reduce(state, events.JobArrived(1, conftest.make_job(payload="a")))
  effects = reducer.reduce(
      state, events.JobArrived(2, conftest.make_job(payload="b"))
  )
  assert kinds(effects) == ["SendOutcome"]
  assert effects[0].outcome.error.code == codes.Code.KEY_REUSED


def test_unknown_team_and_oversized_job_are_refused(state):
  unknown = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(team="nobody"))
  )
  assert unknown[0].outcome.error.code == codes.Code.UNKNOWN_TEAM
  big = reducer.reduce(
      state, events.JobArrived(2, conftest.make_job(key="k2", tasks=6))
  )
  assert big[0].outcome.error.code == codes.Code.JOB_TOO_LARGE
  assert state.counters["sends"] == 0


def test_failed_task_fails_job_at_once_with_accurate_codes(state):
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=5))
  )
  replies = finish(state, sends[0], codes.Code.TASK_FAILED)
  answer = replies[0].outcome.answer
  assert answer.code == codes.Code.JOB_FAILED
  assert answer.retry_after_s == 1
  by_task = {t.task_id: t.ran for t in answer.tasks}
  assert by_task["t0"] == codes.Ran.RAN
  assert by_task["t1"] == codes.Ran.UNKNOWN  # Sent, but not answered yet.
  assert by_task["t4"] == codes.Ran.NOT_RUN  # Never sent.


def test_task_not_started_is_retried_on_another_endpoint(state):
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=1))
  )
  again = finish(state, sends[0], codes.Code.TASK_NOT_RUN)
  assert kinds(again) == ["SendTask"]
  assert again[0].endpoint.name != sends[0].endpoint.name


def test_non_idempotent_task_with_lost_reply_is_never_retried(state):
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=1, idempotent=False))
  )
  replies = finish(state, sends[0], codes.Code.TASK_UNKNOWN_LOST)
  assert kinds(replies) == ["SendOutcome"]
  assert replies[0].outcome.answer.tasks[0].ran == codes.Ran.UNKNOWN
  assert state.counters["sends"] == 1


def test_deadline_fails_job_at_once_with_retry_after(state):
  state.now = 100.0
  reducer.reduce(state, events.JobArrived(1, conftest.make_job(tasks=5)))
  assert reducer.reduce(state, events.Tick(100.5)) == []
  replies = reducer.reduce(state, events.Tick(101.0))
  assert kinds(replies) == ["SendOutcome"]
  assert replies[0].outcome.answer.retry_after_s == 1
  codes_seen = {t.code for t in replies[0].outcome.answer.tasks}
  assert codes_seen == {
      codes.Code.TASK_UNKNOWN,
      codes.Code.TASK_NOT_RUN_DEADLINE,
  }


def test_deadline_answers_not_run_also_if_answers_are_not_kept(state):
  state.limits = dataclasses.replace(state.limits, answer_keep_s=0.0)
  state.now = 100.0
  reducer.reduce(state, events.JobArrived(1, conftest.make_job(tasks=5)))
  (reply,) = reducer.reduce(state, events.Tick(101.1))
  codes_seen = {t.code for t in reply.outcome.answer.tasks}
  assert codes.Code.TASK_NOT_RUN_DEADLINE in codes_seen


def test_no_endpoint_answers_not_run_and_stores_no_record(state):
  reducer.reduce(state, events.EndpointsChanged(()))
  replies = reducer.reduce(state, events.JobArrived(1, conftest.make_job()))
  assert {t.code for t in replies[0].outcome.answer.tasks} == {
      codes.Code.TASK_NOT_RUN_NO_ENDPOINT
  }
  assert "k1" not in state.jobs


def test_leaving_endpoint_gets_no_new_task(state):
  reducer.reduce(
      state,
      events.EndpointsChanged(
          (conftest.endpoint("e1", leaving=True), conftest.endpoint("e2"))
      ),
  )
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=4))
  )
  assert {s.endpoint.name for s in sends} == {"e2"}


def test_team_settings_never_revert(state):
  newer = settings.TeamSettings(service="speller", max_tasks_per_job=9)
  reducer.reduce(state, events.TeamChanged("altamaha", 7, newer))
  reducer.reduce(state, events.TeamChanged("altamaha", 6, conftest.SPELLER))
  assert state.teams["altamaha"].team_settings == newer
  reducer.reduce(state, events.TeamChanged("altamaha", 8, None))
  reducer.reduce(state, events.TeamChanged("altamaha", 7, newer))
  assert state.teams["altamaha"].team_settings is None


def test_drain_refuses_new_keys_and_reports_drained(state):
  job = conftest.make_job(tasks=1)
  sends = reducer.reduce(state, events.JobArrived(1, job))
  assert reducer.reduce(state, events.DrainStarted()) == []
  refused = reducer.reduce(
      state, events.JobArrived(2, conftest.make_job(key="new"))
  )
  assert refused[0].outcome.error.code == codes.Code.DRAINING
  effects = finish(state, sends[0])
  assert kinds(effects) == ["SendOutcome", "Drained"]


def test_quota_delays_tasks_until_others_finish(state):
  small = settings.TeamSettings(
      service="speller", max_tasks_per_job=5, max_tasks_in_flight=1
  )
  reducer.reduce(state, events.TeamChanged("altamaha", 9, small))
  sends = reducer.reduce(
      state, events.JobArrived(1, conftest.make_job(tasks=3))
  )
  assert len(sends) == 1
  assert kinds(finish(state, sends[0])) == ["SendTask"]


def test_resubmitted_job_is_not_sent_by_the_queue_entries_of_its_first_try(
    state,
):
  state.now = 100.0
  long_job = conftest.make_job(key="long", tasks=5)
  long_tasks = [dataclasses.replace(t, run_ms=5000) for t in long_job.tasks]
  long_job = dataclasses.replace(
      long_job, tasks=tuple(long_tasks), deadline_ms=60_000
  )
  sends = reducer.reduce(state, events.JobArrived(1, long_job))
  waiting = conftest.make_job(key="waiting", tasks=2)
  reducer.reduce(state, events.JobArrived(2, waiting))
  (ended,) = reducer.reduce(state, events.Tick(101.0))
  assert {t.ran for t in ended.outcome.answer.tasks} == {codes.Ran.NOT_RUN}
  reducer.reduce(state, events.JobArrived(3, waiting))
  sent = collections.Counter()
  while sends:
    send = sends.pop(0)
    sent[send.downstream_key] += 1
    sends += [e for e in finish(state, send) if isinstance(e, events.SendTask)]
  assert len(sent) == 7 and set(sent.values()) == {1}


def test_free_slots_go_to_teams_by_the_weight_in_their_settings(state):
  heavy = settings.TeamSettings(service="speller", weight=3.0)
  light = settings.TeamSettings(service="speller")
  reducer.reduce(state, events.TeamChanged("altamaha", 9, heavy))
  reducer.reduce(state, events.TeamChanged("light", 9, light))
  sends = []
  for request, team in enumerate(("altamaha", "light")):
    job = conftest.make_job(key=team, tasks=60)
    job = dataclasses.replace(job, team=team, deadline_ms=60_000)
    sends += reducer.reduce(state, events.JobArrived(request, job))
  shares = state.snapshot()["shares"]
  assert shares["altamaha"]["weight"] == 3.0
  sends = [e for e in sends if isinstance(e, events.SendTask)]
  sent = collections.Counter()
  for _ in range(40):
    effects = finish(state, sends.pop(0))
    new = [e for e in effects if isinstance(e, events.SendTask)]
    sent.update(e.team for e in new)
    sends += new
  assert abs(sent["altamaha"] - 30) <= 1
  assert sent.total() == 40
