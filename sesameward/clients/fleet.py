"""Read the state of nodes from their agents over HTTP, for operators."""

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

REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2
MAX_CONCURRENT_REQUESTS = 64
# Members in other states have left or are dead and cannot answer.
LISTED_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

Message = typing.TypeVar('Message')


class Lag(msgspec.Struct, frozen=True):
    """Describe why a revision is not in force on a node or an entry of it."""

    where: str
    reason: str


class NodeView(msgspec.Struct, frozen=True):
    """Hold a member and its status, None if its agent did not answer."""

    member: Member
    status: NodeStatus | None


class Fleet:
    """Query all nodes, which are found in the member list of one agent."""

    def __init__(self, agent: str, clock: Clock = time.monotonic):
        self._agent = agent
        self._clock = clock
        self._http = CurlClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )
        self._request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    def close(self) -> None:
        self._http.close()

    async def members(self) -> list[Member]:
        """Return the members that the agent knows, in any state."""
        return await self._get(self._agent, '/v1/members', list[Member])

    async def targets(self) -> list[dict[str, object]]:
        """Return the targets and their states as the agent knows them."""
        return await self._get(
            self._agent, '/v1/targets', list[dict[str, object]]
        )

    async def drain(self, subject: dict[str, str], drain: bool) -> None:
        """Start or end the draining of a target or a node.

        subject maps 'target' or 'node' to the name. A request for a node goes
        to the agent of that node if it is alive or suspect.
        """
        body = msgspec.json.encode({**subject, 'drain': drain})
        address = self._agent
        if 'node' in subject:
            address = await self._address_of(subject['node'])
        await self._fetch(address, '/v1/drain', body)

    async def _address_of(self, node: str) -> str:
        """Return the address of a node's agent.

        If the node is not alive or suspect, return the address of the agent
        through which all nodes are found.
        """
        for member in await self.members():
            if member.node == node and member.state in LISTED_STATES:
                return f'{member.host}:{member.http_port}'
        return self._agent

    async def node_views(self) -> list[NodeView]:
        """Return the status of each member that is alive or suspect."""
        members = [m for m in await self.members() if m.state in LISTED_STATES]
        return list(await asyncio.gather(*map(self._view, members)))

    async def wait_in_force(
        self, revision: Revision, wait_s: float
    ) -> list[Lag]:
        """Wait until a revision is in force on all nodes and entries.

        Return the nodes and entries that lack the revision after wait_s.
        """
        deadline = self._clock() + wait_s
        while True:
            lags = find_lags(await self.node_views(), revision)
            if not lags or self._clock() >= deadline:
                return lags
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _view(self, member: Member) -> NodeView:
        address = f'{member.host}:{member.http_port}'
        async with self._request_slots:
            try:
                status = await self._get(address, '/v1/status', NodeStatus)
            except (AgentRefusalError, PeerUnavailableError):
                status = None
        if status is not None and status.node != member.node:
            status = None
        return NodeView(member, status)

    async def _get(
        self, address: str, path: str, reply_type: type[Message]
    ) -> Message:
        body = await self._fetch(address, path, None)
        try:
            return msgspec.json.decode(body, type=reply_type)
        except msgspec.DecodeError as exc:
            raise PeerUnavailableError(
                f'{address}{path} returned no valid reply of a sesameward '
                f'agent ({exc}); check the address'
            ) from exc

    async def _fetch(
        self, address: str, path: str, body: bytes | None
    ) -> bytes:
        try:
            resp = await self._http.fetch(
                f'http://{address}{path}',
                method='GET' if body is None else 'POST',
                body=body,
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
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
        f'agent {address} failed to serve {path} ({exc}); '
        'use --agent to name another agent'
    )


def find_lags(
    views: collections.abc.Iterable[NodeView], revision: Revision
) -> list[Lag]:
    """Return the nodes and entries not known to have a revision in force."""
    lags = []
    for view in views:
        node = view.member.node
        if view.status is None:
            lags.append(Lag(node, 'agent did not return its status'))
            continue
        lags += _find_lag(node, view.status.revision, revision)
        for entry in view.status.entries:
            where = f'{node} entry {entry.address}'
            lags += _find_lag(NodeId(where), entry.revision, revision)
        for item in view.status.rejected:
            reason = f'rejects {item.kind} {item.name}: {item.problem}'
            lags.append(Lag(node, reason))
    return lags


def _find_lag(where: str, current: Revision, required: Revision) -> list[Lag]:
    if current >= required:
        return []
    return [Lag(where, f'has revision {current} in force, needs {required}')]
