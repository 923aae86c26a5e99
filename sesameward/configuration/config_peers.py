"""Pull objects from other agents or nodes over gRPC, and serve such pulls."""

from __future__ import annotations

import asyncio
import collections.abc

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server
import msgspec

from ..channels import Channel
from ..channels import Channels
from ..exceptions import PeerUnavailableError
from ..messages import Delta
from ..messages import Member
from ..messages import Pull
from ..metrics import Metrics
from . import page_compression
from ..types import Revision

PULL_METHOD = '/sesameward.Peer/Pull'
PULL_TIMEOUT_S = 1.0
MAX_PAGES = 1_000

AnswerPull = collections.abc.Callable[[Pull], collections.abc.Awaitable[Delta]]


class PullHandler:
    """Serve the requests of other agents or nodes for changed objects."""

    def __init__(self, answer: AnswerPull):
        self._answer = answer

    async def pull(self, stream: server.Stream) -> None:
        """Answer one request with a page of changed objects."""
        request = await stream.recv_message()
        delta = await self._answer(request)
        if request.accepts_compressed:
            delta = page_compression.compress(delta)
        await stream.send_message(delta)

    def __mapping__(self) -> dict[str, const.Handler]:
        return {
            PULL_METHOD: const.Handler(
                self.pull, const.Cardinality.UNARY_UNARY, Pull, Delta
            )
        }


class PullClient:
    """Pull objects from other agents or nodes over cached gRPC channels."""

    def __init__(
        self,
        metrics: Metrics,
        timeout_s: float = PULL_TIMEOUT_S,
        connect: collections.abc.Callable[..., Channel] = Channel,
    ):
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._channels = Channels(connect)

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    async def pull(self, member: Member, request: Pull) -> Delta:
        """Pull all pages from a member and return them as one delta.

        Raise PeerUnavailableError if a page can't be fetched, if there are
        too many pages, if the pages are of different epochs, or if one page
        is part of a list of changes and another of a list of all objects. The
        member switches to the latter when it drops records of deletions that
        the list of changes needs.
        """
        request = msgspec.structs.replace(request, accepts_compressed=True)
        page = await self._pull_page(member, request)
        objects = list(page.objects)
        for _ in range(MAX_PAGES):
            if page.cursor is None:
                return msgspec.structs.replace(page, objects=tuple(objects))
            full, epoch = page.full, page.epoch
            request = msgspec.structs.replace(
                request, after=page.cursor, wanted=Revision(0), wait_s=0.0
            )
            page = await self._pull_page(member, request)
            objects += page.objects
            if page.full != full or page.epoch != epoch:
                break
        raise PeerUnavailableError(
            f'the objects of agent {member.node} changed too much while they '
            'were pulled; pull again'
        )

    async def _pull_page(self, member: Member, request: Pull) -> Delta:
        method = client.UnaryUnaryMethod(
            self._channels.get(member), PULL_METHOD, Pull, Delta
        )
        timeout_s = request.wait_s + self._timeout_s
        try:
            page = await method(request, timeout=timeout_s)
            return page_compression.decompress(page)
        except (
            asyncio.TimeoutError,
            OSError,
            exceptions.GRPCError,
            exceptions.ProtocolError,
            exceptions.StreamTerminatedError,
            msgspec.DecodeError,
        ) as exc:
            self._metrics.count('config_pull_errors', type(exc).__name__)
            raise PeerUnavailableError(
                f'agent {member.node} did not answer a pull of objects; '
                'pull from another agent'
            ) from exc
