"""Ask agents over HTTP what is in force, on behalf of operators."""

from __future__ import annotations

import asyncio
import collections.abc
import time
import typing

import msgspec
from tornado import httpclient

from ..exceptions import AgentRefusalError
from ..exceptions import PeerUnavailableError
from ..http_client import CurlClient
from ..messages import Member
from ..messages import NodeStatus
from ..types import Clock
from ..types import MemberState
from ..types import NodeId
from ..types import Revision

TIMEOUT_S = 2.0
POLL_S = 0.2
MAX_CLIENTS = 64
LISTED = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

Message = typing.TypeVar('Message')


class Lag(msgspec.Struct, frozen=True):
    """Name a node or an entry in which a revision is not in force."""

    where: str
    reason: str


class NodeView(msgspec.Struct, frozen=True):
    """Hold a member and its status; None means that it did not answer."""

    member: Member
    status: NodeStatus | None


class Fleet:
    """Read the state of all nodes, starting from one agent."""

    def __init__(self, agent: str, clock: Clock = time.monotonic):
        self._agent = agent
        self._clock = clock
        self._http = CurlClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._slots = asyncio.Semaphore(MAX_CLIENTS)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def members(self) -> list[Member]:
        """Return the members which the agent knows."""
        return await self._get(self._agent, '/v1/members', list[Member])

    async def targets(self) -> list[dict[str, object]]:
        """Return the targets as the agent sees them."""
        return await self._get(
            self._agent, '/v1/targets', list[dict[str, object]]
        )

    async def drain(self, what: dict[str, str], drain: bool) -> None:
        """Start or end the draining of a target or a node."""
        body = msgspec.json.encode({**what, 'drain': drain})
        address = self._agent
        if 'node' in what:
            address = await self._address_of(what['node'])
        await self._fetch(address, '/v1/drain', body)

    async def _address_of(self, node: str) -> str:
        """Return where the agent of a node listens; this one if unknown."""
        for member in await self.members():
            if member.node == node and member.state in LISTED:
                return f'{member.host}:{member.http_port}'
        return self._agent

    async def views(self) -> list[NodeView]:
        """Return every listed member with its status."""
        members = [m for m in await self.members() if m.state in LISTED]
        return list(await asyncio.gather(*map(self._view, members)))

    async def wait(self, revision: Revision, wait_s: float) -> list[Lag]:
        """Wait until a revision is in force everywhere; return who lags."""
        deadline = self._clock() + wait_s
        while True:
            lags = lagging(await self.views(), revision)
            if not lags or self._clock() >= deadline:
                return lags
            await asyncio.sleep(POLL_S)

    async def _view(self, member: Member) -> NodeView:
        address = f'{member.host}:{member.http_port}'
        async with self._slots:
            try:
                status = await self._get(address, '/v1/status', NodeStatus)
            except (AgentRefusalError, PeerUnavailableError):
                status = None
        if status is not None and status.node != member.node:
            status = None
        return NodeView(member, status)

    async def _get(
        self, address: str, path: str, kind: type[Message]
    ) -> Message:
        body = await self._fetch(address, path, None)
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as exc:
            raise PeerUnavailableError(
                f'{address}{path} is no sesameward agent ({exc}); '
                'check the address'
            ) from exc

    async def _fetch(
        self, address: str, path: str, body: bytes | None
    ) -> bytes:
        try:
            resp = await self._http.fetch(
                f'http://{address}{path}',
                method='GET' if body is None else 'POST',
                body=body,
                connect_timeout=TIMEOUT_S,
                request_timeout=TIMEOUT_S,
            )
        except httpclient.HTTPClientError as exc:
            if 400 <= exc.code < 500:
                text = exc.response.body.decode(errors='replace').strip()
                raise AgentRefusalError(
                    f'agent {address} refused {path}: {text or exc.message}; '
                    'correct the request'
                ) from exc
            raise _unavailable(address, path, exc) from exc
        except OSError as exc:
            raise _unavailable(address, path, exc) from exc
        return resp.body


def _unavailable(
    address: str, path: str, exc: Exception
) -> PeerUnavailableError:
    return PeerUnavailableError(
        f'agent {address} did not serve {path} ({exc}); '
        'name another agent by --agent'
    )


def lagging(
    views: collections.abc.Iterable[NodeView], revision: Revision
) -> list[Lag]:
    """Return where a revision is not known to be in force."""
    lags = []
    for view in views:
        node = view.member.node
        if view.status is None:
            lags.append(Lag(node, 'did not answer'))
            continue
        lags += _behind(node, view.status.revision, revision)
        for entry in view.status.entries:
            where = f'{node} entry {entry.address}'
            lags += _behind(NodeId(where), entry.revision, revision)
        for bad in view.status.rejected:
            reason = f'rejects {bad.kind} {bad.name}: {bad.problem}'
            lags.append(Lag(node, reason))
    return lags


def _behind(where: str, has: Revision, wanted: Revision) -> list[Lag]:
    if has >= wanted:
        return []
    return [Lag(where, f'has revision {has}, not yet {wanted}')]
