"""Know the other nodes and exchange state with them."""

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

# A node that is gone may have been cut off only, and goes on sending; its
# part of common allowances stays reserved for this time.
RESERVED_S = 30.0
PULL_TIMEOUT_S = 0.5

Answer = typing.Callable[[Pull], Delta]


class Peers:
    """Run this node's membership and its calls to other nodes."""

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
        self._seen: dict[NodeId, float] = {}
        self._answers: dict[str, Answer] = {}
        self._pulls = PullClient(metrics, PULL_TIMEOUT_S)
        me = Member(
            node=cfg.node,
            zone=cfg.zone,
            host=cfg.gossip.host,
            gossip_port=cfg.gossip.port,
            grpc_port=cfg.peer_port,
            http_port=cfg.readiness.port,
        )
        self.gossip = Gossip(cfg, me, metrics, rng, transport=PeerClient())
        self._handlers = [
            PeerHandler(self.gossip.answer_sync),
            PullHandler(self._answer),
        ]
        self._server: Server | None = None

    def on_pull(self, kind: str, answer: Answer) -> None:
        """Answer the pulls of one kind of objects."""
        self._answers[kind] = answer

    def add_handler(self, handler: IServable) -> None:
        """Serve more calls; to be called before the start."""
        self._handlers.append(handler)

    async def start(self) -> None:
        """Listen and begin to join."""
        self._server = Server(self._handlers, codec=MsgpackCodec())
        await self._server.start(self._cfg.gossip.host, self._cfg.peer_port)
        await self.gossip.start()

    async def stop(self) -> None:
        """Tell the others and close everything."""
        await self.gossip.stop()
        self._pulls.close()
        if self._server is not None:
            self._server.close()

    async def pull(self, member: Member, request: Pull) -> Delta:
        """Pull objects; raise PeerUnavailableError."""
        return await self._pulls.pull(member, request)

    async def _answer(self, request: Pull) -> Delta:
        return self._answers[request.kind](request)

    def members(self) -> tuple[Member, ...]:
        """Return all nodes that are not known to be gone, this included."""
        return self.gossip.members()

    def sharers(self, now: float) -> int:
        """Return how many nodes may be using common allowances."""
        for member in self.gossip.members():
            self._seen[member.node] = now
        for node, at in tuple(self._seen.items()):
            if now - at > RESERVED_S:
                del self._seen[node]
        return max(len(self._seen), len(self._cfg.seeds), 1)

    def publish(self, rumor: Rumor) -> None:
        """Spread a rumor; one that is too large is counted and dropped."""
        try:
            self.gossip.publish(rumor)
        except RumorTooLargeError as exc:
            self._metrics.count('rumors_refused', 'too_large')
            logs.change('rumor_refused', topic=rumor.topic, error=str(exc))

    def set_entry(self, is_ready: bool) -> None:
        """Offer this node to callers, or take the offer back."""
        callers = self._cfg.callers
        entry = Address(
            self._cfg.node, callers.host, callers.port, self._cfg.zone, 1.0
        )
        self.gossip.update(entries=(entry,) if is_ready else ())

    def leave(self) -> None:
        """Tell the others that this node takes no new callers."""
        self.gossip.update(entries=(), leaving=True)

    def set_hints(self, hints: typing.Iterable[Endpoint]) -> None:
        """Take in addresses of nodes that may be there."""
        self.gossip.set_hints(hints)
