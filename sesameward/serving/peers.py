"""Find the other nodes by gossip, and exchange store objects with them."""

from __future__ import annotations

import functools
import random
import socket
import typing

from grpclib._typing import IServable

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
from .byte_limits import MessageMemory
from .listening import listen
from .peer_connections import PeerChannel
from .peer_connections import PeerServer
from .settings import NodeSettings

# A node that is no longer a member may be cut off from gossip but still send
# requests to targets. So its share of the limits that apply to all nodes
# together, such as connections and retries, stays reserved for this time.
ABSENT_MEMBER_TTL_S = 30.0
# A leaving node gets SIGKILL at the end of its grace period, which may begin
# before others hear that it leaves, and be late on a busy machine.
LEAVING_MARGIN_S = 5.0
PULL_TIMEOUT_S = 0.5
# Fraction of the VM's memory that records of members may take, and that rumors
# may: 6.2 MB of 200 MB, enough for 4,800 nodes with short names.
GOSSIP_MEMORY_FRACTION = 1 / 32

PullAnswerer = typing.Callable[[Pull], Delta]


class Peers:
    """Run this node's gossip; exchange store objects with other nodes."""

    def __init__(
        self,
        cfg: NodeSettings,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
        memory: MessageMemory,
    ):
        self._memory = memory
        self._cfg = cfg
        self._metrics = metrics
        self._clock = clock
        self._last_seen: dict[NodeId, float] = {}
        # When the member at each address was first seen to leave; None if it
        # was not.
        self._leaving_since: dict[Endpoint, float | None] = {}
        # Those that are no members any more and were leaving.
        self._left_since: dict[Endpoint, float] = {}
        self._counted_members: typing.Sequence[Member] | None = None
        self._pull_answerers: dict[str, PullAnswerer] = {}
        connect = functools.partial(
            PeerChannel, memory=memory, metrics=metrics, clock=clock
        )
        self._pull_client = PullClient(metrics, PULL_TIMEOUT_S, connect)
        own_member = Member(
            node=cfg.node,
            zone=cfg.zone,
            host=cfg.gossip.host,
            gossip_port=cfg.gossip.port,
            grpc_port=cfg.peer_port,
            http_port=cfg.readiness.port,
        )
        self.gossip = Gossip(
            cfg,
            own_member,
            metrics,
            rng,
            transport=PeerClient(connect),
            max_bytes=cfg.memory_bytes * GOSSIP_MEMORY_FRACTION,
        )
        self._handlers = [
            PeerHandler(self.gossip.answer_sync),
            PullHandler(self._answer_pull),
        ]
        self._listener: socket.socket | None = None
        self._server: PeerServer | None = None

    def set_pull_answerer(self, kind: str, answer: PullAnswerer) -> None:
        """Set the function that answers pulls of one kind of objects."""
        self._pull_answerers[kind] = answer

    def add_handler(self, handler: IServable) -> None:
        """Add a gRPC service for other nodes; call before start()."""
        self._handlers.append(handler)

    async def start(self) -> None:
        """Serve other nodes' gRPC calls, and join the fleet by gossip."""
        # Other nodes may call as soon as they know this one from gossip, but
        # calls are answered with what gossip knows. Until both have started,
        # connections wait on the socket.
        self._listener = listen(
            Endpoint(self._cfg.gossip.host, self._cfg.peer_port)
        )
        await self.gossip.start()
        server = PeerServer(
            self._handlers,
            self._memory.nodes,
            self._metrics,
            self._clock,
            codec=MsgpackCodec(),
        )
        await server.start(sock=self._listener)
        self._server = server

    async def stop(self) -> None:
        """Stop the gossip, and close the connections and the server."""
        await self.gossip.stop()
        self._pull_client.close()
        if self._server is not None:
            self._server.close()
        elif self._listener is not None:
            self._listener.close()

    async def pull(self, member: Member, request: Pull) -> Delta:
        """Pull store objects from a member.

        Raises PeerUnavailableError if not all of them can be fetched.
        """
        return await self._pull_client.pull(member, request)

    async def _answer_pull(self, request: Pull) -> Delta:
        return self._pull_answerers[request.kind](request)

    def members(self) -> tuple[Member, ...]:
        """Return the nodes that are alive or suspected, including this one."""
        return self.gossip.members()

    def sharing_nodes(self, now: float) -> int:
        """Return the number of nodes among which shared limits are divided.

        Counts the nodes that were members within ABSENT_MEMBER_TTL_S. The
        result is at least the number of configured seeds, so that a node that
        knows few other members does not take too large a share.
        """
        for member in self.gossip.members():
            self._last_seen[member.node] = now
        for node, at in tuple(self._last_seen.items()):
            if now - at > ABSENT_MEMBER_TTL_S:
                del self._last_seen[node]
        return max(len(self._last_seen), len(self._cfg.seeds), 1)

    def unproven_nodes(self, now: float) -> int:
        """Return the number of nodes that may be running.

        Counts the addresses of all nodes that were ever seen, but for those
        that said that they leave and whose time to do so has passed: a node
        that is just not seen may be on the other side of a partition, whose
        nodes see fewer as well. A node that took over the address of another
        one proves that the latter has ended.
        """
        members = self.gossip.members()
        if members is not self._counted_members:
            # All members are gone through only if any of them has changed:
            # there may be thousands, and this is called four times a second.
            self._counted_members = members
            self._count_addresses(members, now)
        left_before = now - self._cfg.bounds.grace_s - LEAVING_MARGIN_S
        for address, since in tuple(self._left_since.items()):
            if since < left_before:
                del self._left_since[address]
                del self._leaving_since[address]
        return max(len(self._leaving_since), len(self._cfg.seeds), 1)

    def _count_addresses(
        self, members: typing.Iterable[Member], now: float
    ) -> None:
        current = set()
        for member in members:
            address = Endpoint(member.host, member.gossip_port)
            current.add(address)
            since = self._leaving_since.get(address)
            if not member.leaving:
                since = None
            elif since is None:
                since = now
            self._leaving_since[address] = since
        self._left_since = {
            address: since
            for address, since in self._leaving_since.items()
            if since is not None and address not in current
        }

    def cut_off_count(self) -> int:
        """Return how many nodes have no connections to targets."""
        return sum(
            not member.reaches_targets for member in self.gossip.members()
        )

    def publish(self, rumor: Rumor) -> None:
        """Publish a rumor; if it is too large, count and drop it."""
        try:
            self.gossip.publish(rumor)
        except RumorTooLargeError as exc:
            self._metrics.count('rumors_refused', 'too_large')
            logs.log_event('rumor_refused', topic=rumor.topic, error=str(exc))

    def offer_entry(self, is_ready: bool) -> None:
        """Publish the address for callers if ready, otherwise withdraw it."""
        callers = self._cfg.callers
        entry = Address(
            self._cfg.node, callers.host, callers.port, self._cfg.zone, 1.0
        )
        self.gossip.update(entries=(entry,) if is_ready else ())

    def announce_links(self, reaches_targets: bool) -> None:
        """Publish whether this node has connections to targets."""
        self.gossip.update(reaches_targets=reaches_targets)

    def announce_leaving(self) -> None:
        """Withdraw the address for callers and mark this node as leaving."""
        self.gossip.update(entries=(), leaving=True)

    def set_join_addresses(self, hints: typing.Iterable[Endpoint]) -> None:
        """Replace the gossip addresses to be contacted besides the seeds."""
        self.gossip.set_join_addresses(hints)
