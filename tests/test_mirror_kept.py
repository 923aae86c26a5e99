"""Test what a starting node takes over after a restore of the store."""

import asyncio
import random

import pytest

from sesameward.exceptions import PlatformUnavailableError
from sesameward.messages import Member
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.epochs import Position
from sesameward.serving.mirror import Mirror
from sesameward.serving.takeover import Takeover

KIND = 'things'
TIMEOUT_S = 2.0
MEMBERS = tuple(Member(name, 'z', 'h', 1, 2, 3) for name in ('new', 'old'))
OLDER = StoredObject(KIND, 'main', 2, b'older')
NEWER = StoredObject(KIND, 'main', 5, b'newer')
BEFORE_RESTORE = Position(5, 1)
RESTORED = Position(2, 2)


class Store:
    """Give a list once it may be read, and no changes."""

    def __init__(self, position, stored):
        self.readable = asyncio.Event()
        self._listing = position, [stored]

    async def list(self, kind, timeout_s, allow_stale=False):
        await self.readable.wait()
        return self._listing

    async def watch(self, kind, since, wait_s, timeout_s):
        raise PlatformUnavailableError('no changes')


def make_mirror(name, store, pull=None):
    return Mirror(
        KIND,
        name,
        store,
        pull,
        lambda: MEMBERS,
        lambda rumor: None,
        lambda update: None,
        Takeover(3.0, 0.0),
        Metrics('test'),
        random.Random(1),
        asyncio.get_running_loop().time,
    )


# Guards against a starting node that goes by a restored store, because the
# node from which it pulls does not know of the restore yet. The store may
# answer the starting node before its pull is sent, or before it is answered.
@pytest.mark.parametrize('is_read_during_pull', [False, True])
def test_starting_node_gets_what_is_in_force_before_the_restore(
    is_read_during_pull,
):
    async def main():
        old = make_mirror('old', Store(BEFORE_RESTORE, NEWER))
        old.copy.apply_list(BEFORE_RESTORE, [NEWER])
        old.in_force = lambda: (NEWER,)
        store = Store(RESTORED, OLDER)

        async def pull(member, request):
            delta = old.answer(request)
            store.readable.set()
            while new.copy.epoch != RESTORED.epoch:
                await asyncio.sleep(0.01)
            return delta

        new = make_mirror('new', store, pull)
        received = []
        new.on_kept = received.extend
        if not is_read_during_pull:
            new.copy.apply_list(RESTORED, [OLDER])
        new.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not new.has_pulled:
                    await asyncio.sleep(0.01)
        finally:
            await new.stop()
        assert received == [NEWER]

    asyncio.run(main())


# Guards against all objects that are in force being sent twice in each pull.
def test_objects_in_force_are_sent_only_to_nodes_of_a_later_epoch():
    async def main():
        old = make_mirror('old', Store(BEFORE_RESTORE, NEWER))
        old.copy.apply_list(BEFORE_RESTORE, [NEWER])
        old.in_force = lambda: (NEWER,)
        new = make_mirror('new', Store(BEFORE_RESTORE, NEWER))
        new.copy.apply_list(BEFORE_RESTORE, [NEWER])
        assert old.answer(new.copy.pull_request(wants_kept=True)).kept == ()
        new.copy.apply_list(RESTORED, [OLDER])
        assert old.answer(new.copy.pull_request()).kept == ()
        assert old.answer(new.copy.pull_request(wants_kept=True)).kept == (
            NEWER,
        )

    asyncio.run(main())
