import dataclasses

from fescueturn import claims
from fescueturn import codes
from fescueturn import messages

EARLIER = claims.Token("b", "boot-1")
LATER = claims.Token("c", "boot-2")


def claim(owner, number=1, keep_s=10.0):
  return claims.Claim("k", "f", owner, number, keep_s=keep_s)


def test_synced_earlier_claim_stays_after_release_of_a_later_one():
  table = claims.ClaimTable()
  table.put(claim(LATER), now=0.0)  # Accepted before the sync arrived.
  table.merge(claim(EARLIER), now=0.0)
  table.release(claims.Release("k", LATER, 1))
  assert [c.owner for c in table.by_others("k", LATER)] == [EARLIER]


def test_release_keeps_a_later_claim_of_the_same_coordinator():
  table = claims.ClaimTable()
  table.put(claim(LATER, number=3), now=0.0)
  table.release(claims.Release("k", LATER, 2))
  assert len(table) == 1
  table.release(claims.Release("k", LATER, 3))
  assert len(table) == 0


def test_late_copy_of_a_released_claim_does_not_end_the_claim_made_after_it():
  table = claims.ClaimTable()
  table.put(claim(LATER, number=2), now=0.0)
  table.put(claim(LATER, number=1), now=0.0)
  table.release(claims.Release("k", LATER, 1))
  assert [c.number for c in table.by_others("k", EARLIER)] == [2]


def test_late_copy_of_a_claim_does_not_remove_its_answer():
  answer = messages.JobAnswer("k", "j", codes.Code.JOB_CANCELLED, ())
  table = claims.ClaimTable()
  table.put(dataclasses.replace(claim(LATER), answer=answer), now=0.0)
  table.put(claim(LATER), now=0.0)
  assert [c.answer for c in table.by_others("k", EARLIER)] == [answer]


def test_claims_expire_and_are_synced_with_their_time_left():
  table = claims.ClaimTable()
  table.put(claim(EARLIER, keep_s=10.0), now=100.0)
  (synced,) = table.in_partitions(range(1024), now=104.0)
  assert synced.keep_s == 6.0
  table.expire(109.9)
  assert len(table) == 1
  table.expire(110.0)
  assert len(table) == 0
