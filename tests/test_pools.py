"""Tests that Pools opens, shares, reuses and replaces connections."""

import asyncio
import random

import pytest

from sesameward.metrics import Metrics
from sesameward.placement.relays import RelayRole
from sesameward.serving.pools import ConnectCheck
from sesameward.serving.pools import NOT_RELAY_MAX_IDLE_S
from sesameward.serving.pools import Pools
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.standin.shard_target import ShardTarget

REQUEST = b'GET /q/1 HTTP/1.1\r\nHost: h\r\nSesameward-Request-Id: r1\r\n\r\n'


@pytest.fixture
def run_with_pools():
    """Return a function that runs a scenario with pools and one target.

    The scenario also gets the list of target ids that the pools reported as
    unreachable.
    """

    def run(scenario):
        async def main():
            loop = asyncio.get_running_loop()
            unreachable = []
            standin = ShardTarget('i-1', 's')
            await standin.start()
            pools = Pools(
                Metrics('t'), random.Random(1), loop.time, unreachable.append
            )
            target = Target(
                'i-1',
                's',
                '127.0.0.1',
                standin.port,
                'z',
                2,
                TargetState.READY,
            )
            pools.declare(target)
            try:
                await scenario(pools, standin, unreachable)
            finally:
                pools.close()
                standin.stop()
                await asyncio.sleep(0.01)

        asyncio.run(main())

    return run


async def send_request(pools):
    loop = asyncio.get_running_loop()
    done = loop.create_future()

    def on_connection(conn):
        if conn is None:
            done.set_result(None)
        else:
            conn.send(REQUEST, done.set_result, lambda reply: True)

    pools.acquire('i-1', on_connection)
    return await asyncio.wait_for(done, 3.0)


def count_connections(standin):
    return len(standin._http.connections)


def test_connection_is_kept_and_used_again(run_with_pools):
    async def scenario(pools, standin, _):
        for _ in range(5):
            assert (await send_request(pools)).status == 200
        assert count_connections(standin) == 1

    run_with_pools(scenario)


@pytest.mark.parametrize(
    ('nodes', 'max_connections'), [(1, 8), (4, 2), (100, 1)]
)
def test_connections_stay_within_the_share(
    run_with_pools, nodes, max_connections
):
    async def scenario(pools, standin, _):
        pools.set_limits(lambda target: 10, nodes)
        replies = await asyncio.gather(
            *(send_request(pools) for _ in range(12))
        )
        assert {reply.status for reply in replies} == {200}
        assert count_connections(standin) <= max_connections

    run_with_pools(scenario)


def test_target_that_refuses_connections_is_told(run_with_pools):
    async def scenario(pools, standin, unreachable):
        standin.stop()
        await asyncio.sleep(0.01)
        assert await send_request(pools) is None
        assert unreachable == ['i-1']

    run_with_pools(scenario)


# Guards against requests that wait until their deadline for a target whose
# host is no address.
@pytest.mark.parametrize('host', ['a..b', 'x' * 64, '\udc80'])
def test_target_without_a_usable_address_leaves_nobody_waiting(
    run_with_pools, host
):
    async def scenario(pools, standin, unreachable):
        pools.declare(Target('i-1', 's', host, 80, 'z', 2, TargetState.READY))
        assert await send_request(pools) is None
        assert unreachable == ['i-1']

    run_with_pools(scenario)


def test_forgotten_target_leaves_nobody_waiting(run_with_pools):
    async def scenario(pools, standin, _):
        pools.forget('i-1')
        assert await send_request(pools) is None

    run_with_pools(scenario)


def test_warm_connections_are_opened_ahead(run_with_pools):
    async def scenario(pools, standin, _):
        pools.warm()
        await asyncio.sleep(0.1)
        assert count_connections(standin) == 1
        assert pools.has_idle('i-1')

    run_with_pools(scenario)


def test_targets_of_helped_zones_are_not_kept_warm(run_with_pools):
    async def scenario(pools, standin, _):
        pools.warm({'z'})
        await asyncio.sleep(0.1)
        assert count_connections(standin) == 0

    run_with_pools(scenario)


def test_broken_connection_is_replaced(run_with_pools):
    async def scenario(pools, standin, _):
        await send_request(pools)
        for conn in tuple(standin._http.connections):
            conn.abort()
        await asyncio.sleep(0.05)
        assert (await send_request(pools)).status == 200

    run_with_pools(scenario)


def test_connection_that_was_not_used_serves_the_next_request(run_with_pools):
    async def scenario(pools, standin, unreachable):
        await send_request(pools)
        acquired = []
        pools.acquire('i-1', acquired.append)
        (conn,) = acquired
        assert not pools.has_idle('i-1')
        conn.release()
        assert pools.has_idle('i-1')
        assert (await send_request(pools)).status == 200

    run_with_pools(scenario)


def test_check_tells_how_a_target_takes_connections(run_with_pools):
    async def scenario(pools, standin, unreachable):
        async def check(target_id):
            result = asyncio.get_running_loop().create_future()
            pools.check(target_id, result.set_result)
            return await result

        assert await check('i-1') is ConnectCheck.ACCEPTS
        assert await check('i-2') is ConnectCheck.UNKNOWN
        standin.stop()
        assert await check('i-1') is ConnectCheck.REFUSES

    run_with_pools(scenario)


# Nodes with connections kept to their shares, although the others could use
# none, and their requests waited for a connection.
@pytest.mark.parametrize(
    ('nodes', 'cut_off', 'limit', 'expected'),
    [(5, 0, 26, 4), (5, 3, 26, 8), (12, 11, 26, 9), (24, 15, 52, 2)],
)
def test_shares_of_cut_off_nodes_are_used(
    run_with_pools, nodes, cut_off, limit, expected
):
    async def scenario(pools, standin, unreachable):
        pools.set_limits(lambda target: limit, nodes, cut_off)
        standin.faults.paused = True
        waiting = [
            asyncio.ensure_future(send_request(pools)) for _ in range(20)
        ]
        await asyncio.sleep(0.1)
        assert len(standin._http.connections) == expected
        standin.faults.paused = False
        await asyncio.gather(*waiting)

    run_with_pools(scenario)


def test_pools_open_nothing_while_connections_are_lost(run_with_pools):
    async def scenario(pools, standin, unreachable):
        pools.may_connect = lambda: False
        assert await send_request(pools) is None
        pools.warm()
        await asyncio.sleep(0.05)
        assert len(standin._http.connections) == 0
        results = []
        pools.probe('i-1', results.append)
        await asyncio.sleep(0.05)
        assert results == [ConnectCheck.ACCEPTS]

    run_with_pools(scenario)


def test_target_without_connections_is_unreachable_for_a_while(run_with_pools):
    async def scenario(pools, standin, unreachable):
        failures = []
        pools.on_failure = lambda since, was_open: failures.append(was_open)
        assert not pools.is_unreachable('i-1')
        standin.stop()
        await send_request(pools)
        assert pools.is_unreachable('i-1')
        assert failures == [False]

    run_with_pools(scenario)


def test_probes_leave_no_connections_beyond_the_share(run_with_pools):
    async def scenario(pools, standin, unreachable):
        pools.set_limits(lambda target: 5, 2)
        results = []
        for _ in range(10):
            pools.probe('i-1', results.append)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert results == [ConnectCheck.ACCEPTS] * 10
        assert len(standin._http.connections) == 2

    run_with_pools(scenario)


@pytest.mark.parametrize(
    ('limit', 'nodes', 'cut_off', 'needs'),
    [
        (54, 26, 0, False),
        (54, 43, 0, False),
        (54, 44, 0, True),
        (54, 44, 20, True),
        (68, 91, 0, True),
        (440, 91, 0, False),
    ],
)
def test_relays_are_needed_if_a_share_is_below_one(
    run_with_pools, limit, nodes, cut_off, needs
):
    async def scenario(pools, standin, _):
        pools.set_limits(lambda target: limit, nodes, cut_off)
        target = Target('x', 's', 'h', 1, 'z', 2, TargetState.READY)
        assert pools.needs_relay(target) is needs

    run_with_pools(scenario)


# Guards against a node that takes more of a target's connections than its role
# allows.
@pytest.mark.parametrize(
    ('role', 'max_connections'),
    [(RelayRole.FIRST, 6), (RelayRole.SECOND, 6), (RelayRole.OTHER, 1)],
)
def test_connections_stay_within_those_of_the_role(
    run_with_pools, role, max_connections
):
    async def scenario(pools, standin, _):
        pools.set_limits(lambda target: 68, 91)
        pools.role = lambda target_id: role
        replies = await asyncio.gather(
            *(send_request(pools) for _ in range(12))
        )
        assert {reply.status for reply in replies} == {200}
        assert 1 <= count_connections(standin) <= max_connections

    run_with_pools(scenario)


# Guards against as many idle connections to a target as there are nodes.
@pytest.mark.parametrize('role', list(RelayRole))
def test_only_first_relays_keep_connections_warm(run_with_pools, role):
    async def scenario(pools, standin, _):
        pools.role = lambda target_id: role
        for _ in range(20):
            pools.warm()
            await asyncio.sleep(0.01)
        is_warm = role in (RelayRole.FIRST, RelayRole.UNRELAYED)
        assert count_connections(standin) == (1 if is_warm else 0)

    run_with_pools(scenario)


@pytest.mark.parametrize('role', list(RelayRole))
def test_nodes_that_are_no_relays_close_idle_connections(run_with_pools, role):
    async def scenario(pools, standin, _):
        pools.role = lambda target_id: role
        assert (await send_request(pools)).status == 200
        pools.warm()
        assert pools.has_idle('i-1')
        await asyncio.sleep(NOT_RELAY_MAX_IDLE_S)
        pools.warm()
        assert pools.has_idle('i-1') is (role is not RelayRole.OTHER)

    run_with_pools(scenario)


# Guards against first relays that leave it to others to connect, as a node
# does for zones where helpers send for it.
def test_first_relay_connects_also_in_delegated_zones(run_with_pools):
    async def scenario(pools, standin, _):
        pools.role = lambda target_id: RelayRole.FIRST
        for _ in range(20):
            pools.warm({'z'})
            await asyncio.sleep(0.01)
        assert count_connections(standin) == 1

    run_with_pools(scenario)
