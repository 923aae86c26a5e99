"""Carry membership and rumors between agents over UDP."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import os
import random
import time
import typing

import msgspec

from .. import logs
from . import antientropy
from . import datagrams
from ..exceptions import IntegrityError
from ..exceptions import PeerUnavailableError
from ..messages import Address
from ..messages import Member
from ..messages import Rumor
from ..metrics import Metrics
from ..settings import Endpoint
from ..settings import MembershipSettings
from ..types import Clock
from .antientropy import AntiEntropy
from .datagrams import Datagram
from .events import Action
from .events import Changed
from .events import Contested
from .events import Received
from .events import RumorHeard
from .events import Send
from .events import SyncWanted
from .events import Tick
from .seals import Seals
from .swim import Swim

JOIN_RETRY_S = 1.0
REJOIN_S = 30.0
JOIN_FANOUT = 3
MAX_SYNC_ROUNDS = 128


class GossipSettings(typing.Protocol):
    """Hold what a gossiping process needs of its settings."""

    @property
    def gossip(self) -> Endpoint:
        """Return the address of the UDP socket."""

    @property
    def membership(self) -> MembershipSettings:
        """Return the timing of the failure detector."""

    @property
    def seeds(self) -> tuple[Endpoint, ...]:
        """Return addresses to greet first."""


class SyncTransport(typing.Protocol):
    """Carry one sealed request of the anti-entropy to a peer."""

    async def sync(self, member: Member, sealed: bytes) -> bytes:
        """Return the sealed reply; raise PeerUnavailableError."""


class Gossip(asyncio.DatagramProtocol):
    """Run the membership of one agent."""

    def __init__(
        self,
        cfg: GossipSettings,
        me: Member,
        metrics: Metrics,
        rng: random.Random,
        transport: SyncTransport | None = None,
        wall_clock: Clock = time.time,
    ):
        self.wall_clock = wall_clock
        self._cfg = cfg
        self._metrics = metrics
        self._rng = rng
        self._sync_transport = transport
        self._me = me
        self._swim: Swim | None = None
        self._members: tuple[Member, ...] | None = None
        self._anti_entropy: AntiEntropy | None = None
        self._seals = Seals(cfg.membership.keys, os.urandom(8))
        self._hints: tuple[Endpoint, ...] = ()
        self._subscribers = collections.defaultdict(list)
        self._observers: list[typing.Callable[[Member], None]] = []
        self._udp: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._joiner: asyncio.Task | None = None
        self._syncs: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Bind the socket and begin to join."""
        self._loop = asyncio.get_running_loop()
        listen = self._cfg.gossip
        self._udp, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        port = self._udp.get_extra_info('sockname')[1]
        me = msgspec.structs.replace(
            self._me,
            gossip_port=port,
            incarnation=self._me.incarnation or int(self.wall_clock()),
        )
        self._swim = Swim(me, self._cfg.membership, self._rng)
        self._anti_entropy = AntiEntropy(self._swim, self._rng)
        self._swim.start(self._loop.time())
        self._schedule()
        self._joiner = self._loop.create_task(self._keep_joining())

    async def stop(self, leave: bool = True) -> None:
        """Close the socket, after telling others where asked to."""
        if self._udp is None:
            return
        self._joiner.cancel()
        if leave:
            self._act(self._swim.leave(self._loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        for task in self._syncs:
            task.cancel()
        self._udp.close()
        self._udp = None

    @property
    def me(self) -> Member:
        """Return the own record."""
        return self._swim.me if self._swim else self._me

    def members(self) -> tuple[Member, ...]:
        """Return all members which are not dead and have not left.

        It is the same tuple until one of them changes.
        """
        if self._members is None:
            self._members = tuple(self._swim.members())
        return self._members

    def known(self) -> list[Member]:
        """Return all members, also those which are dead or have left."""
        return self._swim.known()

    @property
    def local_health(self) -> int:
        """Return the local health score; 0 is well."""
        return self._swim.local_health

    def publish(self, rumor: Rumor) -> None:
        """Spread a rumor; raise RumorTooLargeError."""
        self._act(self._swim.publish(self._loop.time(), rumor))
        self._schedule()

    def rumors(self) -> list[Rumor]:
        """Return all rumors which have not expired."""
        return self._swim.rumors(self._loop.time())

    def subscribe(
        self, topic: str, callback: typing.Callable[[Rumor], None]
    ) -> None:
        """Call back once for each new version of the topic's rumors."""
        self._subscribers[topic].append(callback)

    def on_change(self, callback: typing.Callable[[Member], None]) -> None:
        """Call back for each member added or changed."""
        self._observers.append(callback)

    def update(
        self,
        entries: tuple[Address, ...] | None = None,
        leaving: bool | None = None,
    ) -> None:
        """Change the own record and spread it."""
        me = self._swim.me
        if entries is not None:
            me = msgspec.structs.replace(me, entries=entries)
        if leaving is not None:
            me = msgspec.structs.replace(me, leaving=leaving)
        if me != self._swim.me:
            self._act(self._swim.update(self._loop.time(), me))

    def set_hints(self, hints: typing.Iterable[Endpoint]) -> None:
        """Replace the addresses of VMs which may run agents."""
        self._hints = tuple(hints)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Replace the keys; the first seals and all of them open."""
        self._seals.set_keys(keys)

    def answer_sync(self, sealed: bytes) -> bytes:
        """Answer a peer's sealed request; raise IntegrityError."""
        me = self._swim.me
        data = self._open(sealed, f'{me.host}:{me.grpc_port}')
        try:
            req = antientropy.decode_request(data)
        except msgspec.MsgspecError as exc:
            raise self._malformed() from exc
        now = self._loop.time()
        reply, actions = self._anti_entropy.answer(now, req)
        self._act(actions)
        body = antientropy.encode(reply)
        answer = self._seals.seal(body, bind_reply(sealed), self.wall_clock())
        self._metrics.count('syncs_answered')
        self._metrics.count('sync_bytes', 'received', len(sealed))
        self._metrics.count('sync_bytes', 'sent', len(answer))
        return answer

    # Datagrams.

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Hand an authentic datagram to the decisions."""
        if self._swim is None:
            return
        me = self._swim.me
        try:
            body = self._open(data, f'{me.host}:{me.gossip_port}')
            message = self._decode(body)
        except IntegrityError:
            return
        self._metrics.count('datagrams_received')
        self._metrics.count('datagram_bytes', 'received', len(data))
        event = Received(addr[0], addr[1], message)
        self._act(self._swim.handle(self._loop.time(), event))
        self._schedule()

    def error_received(self, exc: OSError) -> None:
        """Count what the network refused."""
        self._metrics.count('datagrams_unsent', type(exc).__name__)

    def _open(self, data: bytes, to: str) -> bytes:
        try:
            return self._seals.open(data, to, self.wall_clock())
        except IntegrityError as exc:
            self._metrics.count('datagrams_refused', exc.reason)
            raise

    def _decode(self, body: bytes) -> Datagram:
        try:
            return datagrams.decode(body)
        except msgspec.MsgspecError as exc:
            raise self._malformed() from exc

    def _malformed(self) -> IntegrityError:
        self._metrics.count('datagrams_refused', 'malformed')
        return IntegrityError('malformed', 'run one version on all agents')

    def _send(self, host: str, port: int, message: Datagram) -> None:
        if self._udp is None:
            return
        body = datagrams.encode(message)
        sealed = self._seals.seal(body, f'{host}:{port}', self.wall_clock())
        self._udp.sendto(sealed, (host, port))
        self._metrics.count('datagrams_sent')
        self._metrics.count('datagram_bytes', 'sent', len(sealed))

    # Time.

    def _schedule(self) -> None:
        at = self._swim.next_at
        if self._timer is not None:
            # Not every loop's handle tells when it is due.
            if self._timer_at == at:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_at(at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._act(self._swim.handle(self._loop.time(), Tick()))
        self._schedule()

    def _act(self, actions: list[Action]) -> None:
        if any(isinstance(action, Changed) for action in actions):
            self._members = None
        for action in actions:
            match action:
                case Send(host, port, message):
                    self._send(host, port, message)
                case Changed(member):
                    self._tell(member)
                case RumorHeard(rumor):
                    for callback in self._subscribers[rumor.topic]:
                        callback(rumor)
                case SyncWanted(member):
                    self._begin_sync(member)
                case Contested(incarnation):
                    self._metrics.count('member_contests')
                    logs.change('contested', incarnation=incarnation)

    def _tell(self, member: Member) -> None:
        self._metrics.count('member_changes', member.state.value)
        logs.change('member', member=member.node, state=member.state.value)
        for callback in self._observers:
            callback(member)

    # Joining and anti-entropy.

    async def _keep_joining(self) -> None:
        """Greet seeds until one answers, then a stranger now and then."""
        while True:
            alone = len(self._swim.members()) < 2
            strangers = self._strangers()
            fanout = JOIN_FANOUT if alone else 1
            count = min(fanout, len(strangers))
            for endpoint in self._rng.sample(strangers, count):
                join = self._swim.join(endpoint.host, endpoint.port)
                self._act([join])
            pause_s = JOIN_RETRY_S if alone else REJOIN_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def _strangers(self) -> list[Endpoint]:
        members = self._swim.members()
        known = {Endpoint(m.host, m.gossip_port) for m in members}
        offered = {*self._cfg.seeds, *self._hints}
        return sorted(offered - known, key=str)

    def _begin_sync(self, member: Member) -> None:
        if self._sync_transport is None or self._syncs:
            return
        task = self._loop.create_task(self._sync(member))
        self._syncs.add(task)
        task.add_done_callback(self._syncs.discard)

    async def _sync(self, member: Member) -> None:
        try:
            for _ in range(MAX_SYNC_ROUNDS):
                if not await self._exchange(member):
                    break
            self._metrics.count('syncs')
        except PeerUnavailableError:
            self._metrics.count('syncs_failed', 'unavailable')
        except IntegrityError as exc:
            self._metrics.count('syncs_failed', exc.reason)

    async def _exchange(self, member: Member) -> bool:
        """Run one exchange; tell whether a new agent should go on."""
        before = len(self._swim.members())
        req = self._anti_entropy.begin(self._loop.time())
        reply = await self._ask(member, req)
        more = reply.more
        while True:
            now = self._loop.time()
            req, actions = self._anti_entropy.follow_up(now, reply)
            self._act(actions)
            if req is None:
                break
            reply = await self._ask(member, req)
        return more and len(self._swim.members()) > before

    async def _ask(
        self, member: Member, req: antientropy.SyncRequest
    ) -> antientropy.SyncReply:
        body = antientropy.encode(req)
        to = f'{member.host}:{member.grpc_port}'
        sealed = self._seals.seal(body, to, self.wall_clock())
        reply = await self._sync_transport.sync(member, sealed)
        self._metrics.count('sync_bytes', 'sent', len(sealed))
        self._metrics.count('sync_bytes', 'received', len(reply))
        data = self._open(reply, bind_reply(sealed))
        try:
            return antientropy.decode_reply(data)
        except msgspec.MsgspecError as exc:
            raise self._malformed() from exc


def bind_reply(sealed: bytes) -> str:
    """Bind a reply to its request."""
    return hashlib.blake2b(sealed, digest_size=16).hexdigest()
