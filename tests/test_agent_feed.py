"""Test which updates of the configuration an agent sends to its entries."""

import asyncio

import pytest

from sesameward.agent import Agent
from sesameward.configuration import declared
from sesameward.configuration import feed
from sesameward.controllers.catalog import Catalog
from sesameward.controllers import configuration
from sesameward.exceptions import CompactedError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.messages import StoredObject
from sesameward.settings import AgentSettings
from sesameward.settings import Endpoint
from sesameward.settings import MembershipSettings
from sesameward.settings import PlatformSettings

HOST = '127.0.0.1'
TIMEOUT_S = 5.0


class Store:
    """Answer an agent's calls with the given lists and watches, in order.

    A list gives the revision and the objects of each kind; a watch gives a
    revision and the changed objects, or None if they are not kept any more.
    """

    def __init__(self, lists, watches):
        self._lists = list(lists)
        self._watches = list(watches)
        self._listed = {}

    async def list(self, kind):
        if not self._listed:
            if not self._lists:
                raise PlatformUnavailableError('no more lists')
            self._listed = dict(self._lists.pop(0))
        return self._listed.pop(kind)

    async def watch(self, kinds, since, wait_s):
        if not self._watches:
            await asyncio.sleep(TIMEOUT_S)
        watched = self._watches.pop(0)
        if watched is None:
            raise CompactedError('events are gone')
        return watched


@pytest.fixture
def run_agent(monkeypatch):
    """Return a function that runs an agent until an entry has a revision.

    It returns the catalog of the entry and the kinds of updates it got.
    """
    monkeypatch.setattr(configuration, 'WATCH_PAUSE_S', 0.05)

    async def main(store, revision):
        any_port = Endpoint(HOST, 0)
        agent = Agent(
            AgentSettings(
                node='n1',
                zone='a',
                http=any_port,
                grpc=any_port,
                gossip=any_port,
                platform=PlatformSettings(url=f'http://{HOST}:1'),
                membership=MembershipSettings(keys=('key',)),
            )
        )
        monkeypatch.setattr(agent.platform, 'list', store.list)
        monkeypatch.setattr(agent.platform, 'watch', store.watch)
        catalog, kinds = Catalog(), []

        def receive(update):
            match update:
                case feed.ConfigUpdate():
                    catalog.apply(update)
                    kinds.append(type(update))
                case feed.Keepalive(revision):
                    catalog.confirm(revision)
                    kinds.append(type(update))

        monkeypatch.setattr(agent.hub, 'send', receive)
        await agent.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while catalog.revision < revision:
                    await asyncio.sleep(0.01)
        finally:
            await agent.stop()
        return catalog, kinds

    return lambda store, revision: asyncio.run(main(store, revision))


def stored(item, revision):
    return StoredObject(
        declared.kind_of(item), item.name, revision, declared.encode(item)
    )


def list_of(revision, service, pool_revision, pools):
    return {'service': (revision, [service]), 'pool': (pool_revision, pools)}


# Guards against entries that stay at an old revision, and against the cost of
# all objects for each revision in which none of them differs.
def test_revision_without_changes_reaches_entries_without_objects(
    run_agent, service, pool
):
    objects = stored(service, 1), [stored(pool, 2)]
    store = Store(
        [list_of(2, objects[0], 2, objects[1])]
        + [list_of(6, objects[0], 6, objects[1])],
        [None],
    )
    catalog, kinds = run_agent(store, 6)
    assert kinds == [feed.ConfigUpdate, feed.Keepalive]
    assert set(catalog.targets) == {target.id for target in pool.targets}


# Guards against entries that never get an object that was written between the
# lists of two kinds: the agent has it before its revision advances, and
# entries ignore an update at a revision that they have.
def test_object_written_between_two_lists_reaches_entries(
    run_agent, service, pool
):
    first = stored(service, 1)
    written = stored(pool, 7)
    store = Store(
        [list_of(5, first, 5, []), list_of(5, first, 7, [written])],
        [None, (7, [written])],
    )
    catalog, _ = run_agent(store, 7)
    assert set(catalog.targets) == {target.id for target in pool.targets}
