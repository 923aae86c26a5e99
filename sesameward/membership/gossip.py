"""Run the membership protocol of one agent over UDP."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import math
import os
import random
import time
import typing

import msgspec

from .. import logs
from . import antientropy
from ..background import restart_logger
from ..background import Supervisor
from . import datagrams
from ..exceptions import IntegrityError
from ..exceptions import PeerUnavailableError
from ..exceptions import StartError
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
from .events import MemberChanged
from .events import NameConflict
from .events import Received
from .events import RecordRefused
from .events import RumorAccepted
from .events import Send
from .events import SyncWanted
from .events import TimerDue
from .message_auth import MessageAuthenticator
from .swim import Swim

# While this agent knows no other live member, it contacts JOIN_FANOUT seeds or
# hinted addresses every JOIN_RETRY_S. Later it contacts a single address at
# which it knows no live member every UNKNOWN_PEER_RETRY_S.
JOIN_RETRY_S = 1.0
UNKNOWN_PEER_RETRY_S = 30.0
JOIN_FANOUT = 3
# Pause after an unexpected exception while the timer of the protocol was
# handled. Without it, a timer that is due and fails would be handled again at
# once and leave no time for requests.
FAILED_TIMER_PAUSE_S = 0.5
# One log line tells of all records refused for lack of memory in this time.
REFUSALS_LOG_PERIOD_S = 1.0
# Limit of the anti-entropy exchanges in a row with one member; they are
# repeated while they add members.
MAX_SYNC_ROUNDS = 128


class GossipSettings(typing.Protocol):
    """Declare the settings of a process that Gossip reads."""

    @property
    def gossip(self) -> Endpoint:
        """Return the local address of the UDP socket."""

    @property
    def membership(self) -> MembershipSettings:
        """Return the keys and the timing of the failure detector."""

    @property
    def seeds(self) -> tuple[Endpoint, ...]:
        """Return the addresses of agents to contact in order to join."""


class SyncTransport(typing.Protocol):
    """Send sealed (authenticated) anti-entropy requests to other agents."""

    async def sync(self, member: Member, sealed: bytes) -> bytes:
        """Send a sealed request; return the sealed reply of the member.

        Raise PeerUnavailableError if the member does not answer.
        """


class Gossip(asyncio.DatagramProtocol):
    """Connect the membership protocol to UDP, timers and callbacks."""

    def __init__(
        self,
        cfg: GossipSettings,
        me: Member,
        metrics: Metrics,
        rng: random.Random,
        transport: SyncTransport | None = None,
        wall_clock: Clock = time.time,
        max_bytes: float = math.inf,
    ):
        # Limit of the memory for the records of members, and for rumors.
        self._max_bytes = max_bytes
        self._refusals_logged_at = -math.inf
        self.wall_clock = wall_clock
        self._cfg = cfg
        self._metrics = metrics
        self._rng = rng
        self._sync_transport = transport
        self._me = me
        self._swim: Swim | None = None
        self._members: tuple[Member, ...] | None = None
        self._anti_entropy: AntiEntropy | None = None
        self._seals = MessageAuthenticator(cfg.membership.keys, os.urandom(8))
        self._join_hints: tuple[Endpoint, ...] = ()
        self._subscribers = collections.defaultdict(list)
        self._observers: list[typing.Callable[[Member], None]] = []
        self._udp: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._supervisor = Supervisor(metrics, rng)
        self._on_timer_fault = restart_logger(metrics, 'gossip timer')
        self._sync_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Bind the UDP socket, start probing members and start joining.

        Raise StartError if the address can't be bound.
        """
        self._loop = asyncio.get_running_loop()
        listen = self._cfg.gossip
        try:
            self._udp, _ = await self._loop.create_datagram_endpoint(
                lambda: self, local_addr=(listen.host, listen.port)
            )
        except OSError as exc:
            raise StartError(str(listen), exc) from exc
        port = self._udp.get_extra_info('sockname')[1]
        me = msgspec.structs.replace(
            self._me,
            gossip_port=port,
            incarnation=self._me.incarnation or int(self.wall_clock()),
        )
        self._swim = Swim(me, self._cfg.membership, self._rng, self._max_bytes)
        self._anti_entropy = AntiEntropy(self._swim, self._rng)
        self._swim.start(self._loop.time())
        self._schedule_timer()
        self._supervisor.start_loop('gossip join', self._keep_joining)

    async def stop(self, leave: bool = True) -> None:
        """Close the socket; if leave is True, announce the departure first."""
        if self._udp is None:
            return
        self._supervisor.stop()
        if leave:
            self._run_actions(self._swim.leave(self._loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        self._udp.close()
        self._udp = None

    @property
    def me(self) -> Member:
        """Return the record of this agent."""
        return self._swim.me if self._swim else self._me

    def members(self) -> tuple[Member, ...]:
        """Return all members that are alive or suspected.

        The same tuple is returned until a member changes.
        """
        if self._members is None:
            self._members = tuple(self._swim.members())
        return self._members

    def known(self) -> list[Member]:
        """Return all members, including those that are dead or have left."""
        return self._swim.known()

    @property
    def local_health(self) -> int:
        """Return this agent's Lifeguard score; 0 is healthy, 8 is slowest."""
        return self._swim.local_health

    def publish(self, rumor: Rumor) -> None:
        """Spread a rumor to all members.

        Raise RumorTooLargeError if it is too large for a datagram.
        """
        self._run_actions(self._swim.publish(self._loop.time(), rumor))
        self._schedule_timer()

    def rumors(self) -> list[Rumor]:
        """Return all unexpired rumors with their remaining times to live."""
        return self._swim.rumors(self._loop.time())

    def subscribe(
        self, topic: str, callback: typing.Callable[[Rumor], None]
    ) -> None:
        """Register a callback for each new version of a rumor of the topic."""
        self._subscribers[topic].append(callback)

    def on_change(self, callback: typing.Callable[[Member], None]) -> None:
        """Register a callback for members that are added or change."""
        self._observers.append(callback)

    def update(
        self,
        entries: tuple[Address, ...] | None = None,
        leaving: bool | None = None,
        reaches_targets: bool | None = None,
    ) -> None:
        """Change the entries or the flags of this agent's record.

        The new record is spread to all members. None keeps the current value.
        """
        me = self._swim.me
        if entries is not None:
            me = msgspec.structs.replace(me, entries=entries)
        if leaving is not None:
            me = msgspec.structs.replace(me, leaving=leaving)
        if reaches_targets is not None:
            me = msgspec.structs.replace(me, reaches_targets=reaches_targets)
        if me != self._swim.me:
            self._run_actions(self._swim.update(self._loop.time(), me))

    def set_join_addresses(self, hints: typing.Iterable[Endpoint]) -> None:
        """Replace the addresses to contact for joining, besides the seeds."""
        self._join_hints = tuple(hints)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Replace the keys.

        The first key seals messages. Messages sealed with any are accepted.
        """
        self._seals.set_keys(keys)

    def answer_sync(self, sealed: bytes) -> bytes:
        """Return the sealed reply to a sealed anti-entropy request.

        Raise IntegrityError if the request is not authentic, was received
        before or is malformed.
        """
        me = self._swim.me
        data = self._unseal(sealed, f'{me.host}:{me.grpc_port}')
        try:
            req = antientropy.decode_request(data)
        except msgspec.MsgspecError as exc:
            raise self._malformed_error() from exc
        now = self._loop.time()
        reply, actions = self._anti_entropy.answer(now, req)
        self._run_actions(actions)
        body = antientropy.encode(reply)
        answer = self._seals.sign(
            body, reply_context(sealed), self.wall_clock()
        )
        self._metrics.count('syncs_answered')
        self._metrics.count('sync_bytes', 'received', len(sealed))
        self._metrics.count('sync_bytes', 'sent', len(answer))
        return answer

    # Sending and receiving datagrams.

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass an authentic datagram to the protocol; drop any other."""
        if self._swim is None:
            return
        me = self._swim.me
        try:
            body = self._unseal(data, f'{me.host}:{me.gossip_port}')
            message = self._decode(body)
        except IntegrityError:
            return
        self._metrics.count('datagrams_received')
        self._metrics.count('datagram_bytes', 'received', len(data))
        event = Received(addr[0], addr[1], message)
        self._run_actions(self._swim.handle(self._loop.time(), event))
        self._schedule_timer()

    def error_received(self, exc: OSError) -> None:
        """Count an error that the operating system reports for a datagram."""
        self._metrics.count('datagrams_unsent', type(exc).__name__)

    def _unseal(self, data: bytes, context: str) -> bytes:
        try:
            return self._seals.verify(data, context, self.wall_clock())
        except IntegrityError as exc:
            self._metrics.count('datagrams_refused', exc.reason)
            raise

    def _decode(self, body: bytes) -> Datagram:
        try:
            return datagrams.decode(body)
        except msgspec.MsgspecError as exc:
            raise self._malformed_error() from exc

    def _malformed_error(self) -> IntegrityError:
        self._metrics.count('datagrams_refused', 'malformed')
        return IntegrityError(
            'malformed',
            'the message body cannot be decoded; '
            'run the same sesameward version on all agents',
        )

    def _send(self, host: str, port: int, message: Datagram) -> None:
        if self._udp is None:
            return
        body = datagrams.encode(message)
        sealed = self._seals.sign(body, f'{host}:{port}', self.wall_clock())
        self._udp.sendto(sealed, (host, port))
        self._metrics.count('datagrams_sent')
        self._metrics.count('datagram_bytes', 'sent', len(sealed))

    # Timer and actions of the protocol.

    def _schedule_timer(self) -> None:
        due_at = self._swim.next_at
        if self._timer is not None:
            # The due time is stored separately, as the timer handles of some
            # event loops do not expose it.
            if self._timer_due_at == due_at:
                return
            self._timer.cancel()
        self._timer_due_at = due_at
        self._timer = self._loop.call_at(due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        try:
            self._run_actions(self._swim.handle(self._loop.time(), TimerDue()))
        except Exception as exc:
            self._on_timer_fault(exc)
            self._timer_due_at = self._loop.time() + FAILED_TIMER_PAUSE_S
            self._timer = self._loop.call_at(
                self._timer_due_at, self._on_timer
            )
            return
        self._schedule_timer()

    def _run_actions(self, actions: list[Action]) -> None:
        if any(isinstance(action, MemberChanged) for action in actions):
            self._members = None
        for action in actions:
            match action:
                case Send(host, port, message):
                    self._send(host, port, message)
                case MemberChanged(member):
                    self._report_change(member)
                case RumorAccepted(rumor):
                    self._pass_on(rumor)
                case SyncWanted(member):
                    self._start_sync(member)
                case RecordRefused(kind):
                    self._report_refusal(kind)
                case NameConflict(incarnation):
                    self._metrics.count('member_contests')
                    logs.log_event(
                        'node_name_conflict',
                        incarnation=incarnation,
                    )

    def _pass_on(self, rumor: Rumor) -> None:
        for callback in self._subscribers[rumor.topic]:
            try:
                callback(rumor)
            except Exception as exc:
                # Datagrams that are still to be sent must not be lost by it.
                self._metrics.count('rumors_failed', rumor.topic)
                logs.log_event(
                    'rumor_failed',
                    topic=rumor.topic,
                    key=rumor.key,
                    error=repr(exc),
                    where=logs.origin_of(exc),
                )

    def _report_refusal(self, kind: str) -> None:
        self._metrics.count('gossip_refused', kind)
        now = self._loop.time()
        if now - self._refusals_logged_at >= REFUSALS_LOG_PERIOD_S:
            self._refusals_logged_at = now
            logs.log_event('gossip_refused', kind=kind)

    def _report_change(self, member: Member) -> None:
        self._metrics.count('member_changes', member.state.value)
        logs.log_event('member', member=member.node, state=member.state.value)
        for callback in self._observers:
            callback(member)

    # Joining and anti-entropy.

    async def _keep_joining(self) -> None:
        """Keep sending join datagrams to addresses without a known member."""
        while True:
            alone = len(self._swim.members()) < 2
            unknown = self._unknown_endpoints()
            fanout = JOIN_FANOUT if alone else 1
            count = min(fanout, len(unknown))
            for endpoint in self._rng.sample(unknown, count):
                join = self._swim.join(endpoint.host, endpoint.port)
                self._run_actions([join])
            pause_s = JOIN_RETRY_S if alone else UNKNOWN_PEER_RETRY_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def _unknown_endpoints(self) -> list[Endpoint]:
        members = self._swim.members()
        known = {Endpoint(m.host, m.gossip_port) for m in members}
        offered = {*self._cfg.seeds, *self._join_hints}
        return sorted(offered - known, key=str)

    def _start_sync(self, member: Member) -> None:
        if self._sync_transport is None:
            return
        if self._sync_task is None or self._sync_task.done():
            self._sync_task = self._supervisor.start(
                'gossip sync', self._sync(member)
            )

    async def _sync(self, member: Member) -> None:
        try:
            for _ in range(MAX_SYNC_ROUNDS):
                if not await self._run_exchange(member):
                    break
            self._metrics.count('syncs')
        except PeerUnavailableError:
            self._metrics.count('syncs_failed', 'unavailable')
        except IntegrityError as exc:
            self._metrics.count('syncs_failed', exc.reason)

    async def _run_exchange(self, member: Member) -> bool:
        """Run one anti-entropy exchange; return whether to run another.

        Another one is needed if further differing buckets of members did not
        fit the reply and this exchange added members.
        """
        before = len(self._swim.members())
        req = self._anti_entropy.first_request(self._loop.time())
        reply = await self._send_sync_request(member, req)
        more = reply.more
        while True:
            now = self._loop.time()
            req, actions = self._anti_entropy.follow_up(now, reply)
            self._run_actions(actions)
            if req is None:
                break
            reply = await self._send_sync_request(member, req)
        return more and len(self._swim.members()) > before

    async def _send_sync_request(
        self, member: Member, req: antientropy.SyncRequest
    ) -> antientropy.SyncReply:
        body = antientropy.encode(req)
        context = f'{member.host}:{member.grpc_port}'
        sealed = self._seals.sign(body, context, self.wall_clock())
        reply = await self._sync_transport.sync(member, sealed)
        self._metrics.count('sync_bytes', 'sent', len(sealed))
        self._metrics.count('sync_bytes', 'received', len(reply))
        data = self._unseal(reply, reply_context(sealed))
        try:
            return antientropy.decode_reply(data)
        except msgspec.MsgspecError as exc:
            raise self._malformed_error() from exc


def reply_context(sealed: bytes) -> str:
    """Return the sealing context that ties a reply to its sealed request."""
    return hashlib.blake2b(sealed, digest_size=16).hexdigest()
