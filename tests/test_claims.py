from fescueturn import claims

EARLY = claims.Token("b", "boot-1")
LATE = claims.Token("c", "boot-2")


def claim(owner, number=1, keep_s=10.0):
  return claims.Claim("k", "f", owner, number, keep_s=keep_s)


def test_claim_learnt_late_outlives_the_release_of_one_accepted_before():
  table = claims.ClaimTable()
  table.put(claim(LATE), now=0.0)  # Accepted before the sync arrived.
  table.merge(claim(EARLY), now=0.0)
  table.release(claims.Release("k", LATE, 1))
  assert [c.owner for c in table.by_others("k", LATE)] == [EARLY]


def test_release_spares_a_later_claim_of_the_same_coordinator():
  table = claims.ClaimTable()
  table.put(claim(LATE, number=3), now=0.0)
  table.release(claims.Release("k", LATE, 2))
  assert len(table) == 1
  table.release(claims.Release("k", LATE, 3))
  assert len(table) == 0


def test_claims_are_kept_for_their_time_and_synced_with_the_rest_of_it():
  table = claims.ClaimTable()
  table.put(claim(EARLY, keep_s=10.0), now=100.0)
  (synced,) = table.in_partitions(range(1024), now=104.0)
  assert synced.keep_s == 6.0
  table.expire(109.9)
  assert len(table) == 1
  table.expire(110.0)
  assert len(table) == 0
