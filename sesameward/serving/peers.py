"""Track the other nodes by gossip, and exchange store objects with them."""

from __future__ import annotations

import random
import typing

from grpclib._typing import IServable
from grpclib.server import Server

from .. import logs
from ..codec import MsgpackCodec
from ..configuration.config_peers import PullClient
from ..configuration.config_peers import PullHandler
from ..exceptions import RumorTooLargeError
from ..membership.gossip import Gossip
from ..membership.peers import PeerClient
from ..membership.peers import PeerHandler
from ..messages import Address
from ..messages import Delta
from ..messages import Member
from ..messages import Pull
from ..messages import Rumor
from ..metrics import Metrics
from ..settings import Endpoint
from ..types import Clock
from ..types import NodeId
from .settings import NodeSettings

# A node that is no longer a member may only be cut off and still send
# requests. So its share of the limits that all nodes share, such as
# connections and retries, stays reserved for this time.
ABSENT_MEMBER_TTL_S = 30.0
PULL_TIMEOUT_S = 0.5

PullAnswerer = typing.Callable[[Pull], Delta]


class Peers:
    """Run this node's gossip, and pulls from and calls by other nodes."""

    def __init__(
        self,
        cfg: NodeSettings,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
    ):
        self._cfg = cfg
        self._metrics = metrics
        self._clock = clock
        self._last_seen: dict[NodeId, float] = {}
        self._pull_answerers: dict[str, PullAnswerer] = {}
        self._pull_client = PullClient(metrics, PULL_TIMEOUT_S)
        own_member = Member(
            node=cfg.node,
            zone=cfg.zone,
            host=cfg.gossip.host,
            gossip_port=cfg.gossip.port,
            grpc_port=cfg.peer_port,
            http_port=cfg.readiness.port,
        )
        self.gossip = Gossip(
            cfg, own_member, metrics, rng, transport=PeerClient()
        )
        self._handlers = [
            PeerHandler(self.gossip.answer_sync),
            PullHandler(self._answer_pull),
        ]
        self._server: Server | None = None

    def set_pull_answerer(self, kind: str, answer: PullAnswerer) -> None:
        """Set the function that answers pulls of one kind of objects."""
        self._pull_answerers[kind] = answer

    def add_handler(self, handler: IServable) -> None:
        """Add a gRPC service for other nodes; only before start()."""
        self._handlers.append(handler)

    async def start(self) -> None:
        """Listen for other nodes' calls and start to join by gossip."""
        self._server = Server(self._handlers, codec=MsgpackCodec())
        await self._server.start(self._cfg.gossip.host, self._cfg.peer_port)
        await self.gossip.start()

    async def stop(self) -> None:
        """Stop the gossip, and close the connections and the server."""
        await self.gossip.stop()
        self._pull_client.close()
        if self._server is not None:
            self._server.close()

    async def pull(self, member: Member, request: Pull) -> Delta:
        """Pull store objects from a member; raise PeerUnavailableError."""
        return await self._pull_client.pull(member, request)

    async def _answer_pull(self, request: Pull) -> Delta:
        return self._pull_answerers[request.kind](request)

    def members(self) -> tuple[Member, ...]:
        """Return all nodes not known to be gone, including this one."""
        return self.gossip.members()

    def sharing_nodes(self, now: float) -> int:
        """Return how many nodes the limits that all nodes share are split by.

        Counts the members of the last ABSENT_MEMBER_TTL_S, and at least the
        number of configured seeds.
        """
        for member in self.gossip.members():
            self._last_seen[member.node] = now
        for node, at in tuple(self._last_seen.items()):
            if now - at > ABSENT_MEMBER_TTL_S:
                del self._last_seen[node]
        return max(len(self._last_seen), len(self._cfg.seeds), 1)

    def publish(self, rumor: Rumor) -> None:
        """Publish a rumor; one that is too large is counted and dropped."""
        try:
            self.gossip.publish(rumor)
        except RumorTooLargeError as exc:
            self._metrics.count('rumors_refused', 'too_large')
            logs.change('rumor_refused', topic=rumor.topic, error=str(exc))

    def offer_entry(self, is_ready: bool) -> None:
        """Publish this node's address for callers, or withdraw it."""
        callers = self._cfg.callers
        entry = Address(
            self._cfg.node, callers.host, callers.port, self._cfg.zone, 1.0
        )
        self.gossip.update(entries=(entry,) if is_ready else ())

    def announce_leaving(self) -> None:
        """Withdraw the address for callers and mark this node as leaving."""
        self.gossip.update(entries=(), leaving=True)

    def set_hints(self, hints: typing.Iterable[Endpoint]) -> None:
        """Set gossip addresses at which other nodes may be found."""
        self.gossip.set_hints(hints)
