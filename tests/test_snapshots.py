"""Test which shard map and snapshot a query is pinned to."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sesameward.configuration import declared
from sesameward.routing.snapshots import narrow
from sesameward.routing.snapshots import pin
from sesameward.types import Generation
from sesameward.types import ShardId
from sesameward.types import TargetId

S0, S1, S2 = (ShardId(f's{index}') for index in range(3))
T0, T1 = TargetId('t0'), TargetId('t1')


def test_newest_snapshot_which_all_shards_hold(service):
    pinned = pin(service, {S0: {T0: [1, 2]}, S1: {T0: [1], T1: [1, 2, 3]}})
    assert pinned.snapshot == 2
    assert pinned.complete
    groups = {g.shards: g.candidates for g in pinned.groups}
    assert groups == {(S0,): (T0,), (S1,): (T1,)}


def test_shards_of_the_same_replicas_form_one_group(service):
    held = {T0: [1], T1: [1]}
    pinned = pin(service, {S0: held, S1: held})
    (group,) = pinned.groups
    assert (group.shards, group.candidates) == ((S0, S1), (T0, T1))


def test_shards_which_can_not_be_answered_are_told(service):
    pinned = pin(service, {S0: {T0: [4]}})
    assert pinned.without_replica == (S1,)
    pinned = pin(service, {S0: {T0: [4]}, S1: {T0: [3]}})
    assert pinned.snapshot == 4
    assert pinned.without_snapshot == (S1,)
    assert not pinned.complete


def test_no_replica_at_all_gives_no_pin(service):
    assert pin(service, {}) is None


def test_older_map_serves_until_the_newer_one_is_whole(service):
    newer = declared.ShardMap(Generation(2), (declared.Shard(S2),))
    two_maps = declared.Service(
        name='trip-desk',
        maps=(*service.maps, newer),
        record_versions=service.record_versions,
    )
    holdings = {S0: {T0: [1]}, S1: {T0: [1]}}
    assert pin(two_maps, holdings).shard_map.generation == 1
    holdings[S2] = {T1: [1]}
    assert pin(two_maps, holdings).shard_map.generation == 2


def test_narrow_keeps_what_is_asked_for(service):
    pinned = narrow(pin(service, {S0: {T0: [1]}}), {S1})
    assert pinned.groups == ()
    assert pinned.without_replica == (S1,)


@given(
    st.dictionaries(
        st.sampled_from([S0, S1]),
        st.dictionaries(
            st.sampled_from([T0, T1]), st.lists(st.integers(1, 4), min_size=1)
        ),
    )
)
def test_pin_never_mixes_and_accounts_for_every_shard(holdings):
    shards = (
        declared.Shard(S0, end='m'),
        declared.Shard(S1, start='m'),
    )
    service = declared.Service(
        name='trip-desk',
        maps=(declared.ShardMap(Generation(1), shards),),
        record_versions=(1,),
    )
    pinned = pin(service, holdings)
    if pinned is None:
        assert not any(holdings.values())
        return
    for group in pinned.groups:
        for shard in group.shards:
            for target in group.candidates:
                assert pinned.snapshot in holdings[shard][target]
    accounted = [s for g in pinned.groups for s in g.shards]
    accounted += [*pinned.without_replica, *pinned.without_snapshot]
    assert sorted(accounted) == [S0, S1]
    snapshots = [
        {v for versions in holdings.get(s, {}).values() for v in versions}
        for s in (S0, S1)
    ]
    if snapshots[0] & snapshots[1]:
        assert pinned.complete
        assert pinned.snapshot == max(snapshots[0] & snapshots[1])
