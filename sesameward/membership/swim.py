"""Detect failed members and spread updates: SWIM with Lifeguard."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import math
import random
import typing

import msgspec

from . import datagrams
from ..exceptions import RumorTooLargeError
from ..messages import Member
from ..messages import Rumor
from ..settings import MembershipSettings
from ..types import MemberState
from ..types import NodeId
from .datagrams import Ack
from .datagrams import Body
from .datagrams import Claim
from .datagrams import Datagram
from .datagrams import Introduction
from .datagrams import introduction_of
from .datagrams import Nack
from .datagrams import Ping
from .datagrams import PingRequest
from .datagrams import rank_of
from .datagrams import Update
from .datagrams import UpdatesOnly
from .datagrams import WireRumor
from .events import Action
from .events import Event
from .events import MemberChanged
from .events import NameConflict
from .events import Received
from .events import RecordRefused
from .events import RumorAccepted
from .events import Send
from .events import SyncWanted
from .events import TimerDue
from .message_auth import OVERHEAD_BYTES
from .outbox import Lane
from .outbox import LANE_BY_URGENCY
from .outbox import Outbox
from .piggyback import TokenBucket
from .probing import PeerPool
from .roster import is_live
from .roster import Roster
from .rumors import Rumors
from .suspicion import LocalHealth
from .suspicion import needed_confirmations
from .suspicion import Suspicion

# Number of members asked to ping a member that did not answer a direct ping.
MAX_PROBE_HELPERS = 3
# Number of members to which queued updates are sent at once, without a probe.
GOSSIP_FANOUT = 2
# Number of members to which a leaving agent announces its departure.
LEAVE_FANOUT = 8
# Interval, in probe periods, of pings to a random dead member. A member that
# runs again answers and refutes its death.
DEAD_PROBE_PERIODS = 20.0
# Time for which the records of dead and left members are kept.
DEAD_RETENTION_S = 6 * 3_600.0
CLEANUP_INTERVAL_S = 10.0
MIN_SYNC_INTERVAL_S = 5.0
MAX_RUMOR_BYTES = 512
# A member that did not answer a probe is probed again at once. This is the
# maximum number of such members at a time.
MAX_REPROBED_MEMBERS = 4
# Rate limit of new incarnations by which this agent overrides the record of
# another process with the same node name.
NAME_CONFLICTS_PER_S = 0.5
NAME_CONFLICTS_BURST = 3.0
# Rate limit of requests to other members for indirect probes.
PING_REQUESTS_PER_S = 6.0
PING_REQUESTS_BURST = 36.0
# Maximum number of live members to probe after a message of an anti-entropy
# exchange in which the other agent reports them as dead.
DEATH_CLAIM_PROBES = 3
# Rate limit of refutations that this agent sends directly to an agent which
# reports it as suspected or dead.
DIRECT_REFUTATIONS_PER_S = 1.0
DIRECT_REFUTATIONS_BURST = 4.0
# Bytes reserved in each datagram for its sender and body, besides the updates.
RESERVED_BODY_BYTES = 160
# Ping to an address at which no member is known. An agent at this address
# answers with its record. If it does not list the sender as live, it also
# sends the records of up to JOIN_REPLY_MEMBERS other members.
JOIN_PING = Ping(0)
JOIN_REPLY_MEMBERS = 16


class _Timer(enum.Enum):
    PROBE = enum.auto()
    INDIRECT_PROBE = enum.auto()
    PROBE_TIMEOUT = enum.auto()
    SUSPICION_TIMEOUT = enum.auto()
    RELAY_TIMEOUT = enum.auto()
    DEAD_PROBE = enum.auto()
    SYNC = enum.auto()
    CLEANUP = enum.auto()


_PROBE_TIMERS = frozenset({_Timer.INDIRECT_PROBE, _Timer.PROBE_TIMEOUT})


@dataclasses.dataclass(slots=True)
class _Probe:
    """Track a probe that is not answered yet, and its indirect probes."""

    node: NodeId
    helper_count: int = 0
    nack_count: int = 0
    may_use_helpers: bool = True


@dataclasses.dataclass(slots=True)
class _Relay:
    """Hold the requester of an indirect probe, to send it an Ack or Nack."""

    seq: int
    host: str
    port: int


class Swim:
    """Run the membership protocol of one agent, without I/O.

    Events and times are passed in; the resulting actions are returned. The
    rate of probes and the bytes of queued updates per second are limited,
    whatever the number of members.
    """

    def __init__(
        self,
        me: Member,
        cfg: MembershipSettings,
        rng: random.Random,
        max_bytes: float = math.inf,
    ):
        # Limit of the memory for the records of members, and for rumors.
        self._max_bytes = max_bytes
        self._me = me
        self._cfg = cfg
        self._rng = rng
        self._health = LocalHealth()
        self._roster = Roster()
        self._roster.merge(me)
        self._rumors = Rumors()
        self._outbox = Outbox()
        self._refutation_budget = TokenBucket(
            DIRECT_REFUTATIONS_PER_S, DIRECT_REFUTATIONS_BURST
        )
        self._conflict_budget = TokenBucket(
            NAME_CONFLICTS_PER_S, NAME_CONFLICTS_BURST
        )
        self._ping_request_budget = TokenBucket(
            PING_REQUESTS_PER_S, PING_REQUESTS_BURST
        )
        self._reprobing: set[NodeId] = set()
        self._live_peers = PeerPool(rng)
        self._removed_at: dict[NodeId, float] = {}
        self._suspicions: dict[NodeId, Suspicion] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._seqs = itertools.count(1)
        self._timers: list[tuple[float, int, _Timer, object]] = []
        self._timer_order = itertools.count()
        self._last_event_at: float | None = None
        self._last_sync_at = float('-inf')
        self._actions: list[Action] = []
        self._handlers = {
            _Timer.PROBE: self._on_probe,
            _Timer.INDIRECT_PROBE: self._on_indirect_probe,
            _Timer.PROBE_TIMEOUT: self._on_probe_timeout,
            _Timer.SUSPICION_TIMEOUT: self._on_suspicion_timeout,
            _Timer.RELAY_TIMEOUT: self._on_relay_timeout,
            _Timer.DEAD_PROBE: self._on_dead_probe,
            _Timer.SYNC: self._on_sync,
            _Timer.CLEANUP: self._on_cleanup,
        }

    # Membership, rumors and events.

    @property
    def me(self) -> Member:
        """Return the record of this agent."""
        return self._me

    @property
    def local_health(self) -> int:
        """Return this agent's Lifeguard score; 0 is healthy, 8 is slowest."""
        return self._health.score

    @property
    def next_at(self) -> float:
        """Return when the next timer is due, on the same clock as handle()."""
        self._drop_answered_timers()
        return self._timers[0][0] if self._timers else 0.0

    def members(self) -> list[Member]:
        """Return all members that are alive or suspected."""
        return [member for member in self._roster if is_live(member)]

    def known(self) -> list[Member]:
        """Return all members, including those that are dead or have left."""
        return list(self._roster)

    def get(self, node: NodeId) -> Member | None:
        """Return the record of the node, or None if it is unknown."""
        return self._roster.get(node)

    def start(self, now: float) -> None:
        """Start the timers and announce this agent."""
        cfg = self._cfg
        probe_interval_s = cfg.period_s / cfg.probes_per_period
        self._last_event_at = now
        self._set_timer(
            now + self._rng.uniform(0, probe_interval_s), _Timer.PROBE
        )
        self._set_timer(
            now + self._rng.uniform(0, DEAD_PROBE_PERIODS * cfg.period_s),
            _Timer.DEAD_PROBE,
        )
        self._set_timer(
            now + self._rng.uniform(0, cfg.push_pull_s), _Timer.SYNC
        )
        self._set_timer(now + CLEANUP_INTERVAL_S, _Timer.CLEANUP)
        key = ('m', self._me.node)
        self._outbox.put(Lane.URGENT, key, introduction_of(self._me))

    def join(self, host: str, port: int) -> Send:
        """Return a join datagram, with this agent's record, to an address."""
        message = Datagram(
            self._me.node, JOIN_PING, (introduction_of(self._me),)
        )
        return Send(host, port, message)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event; return the resulting actions."""
        self._actions = []
        self._postpone_timers(now)
        match event:
            case Received(host, port, message):
                self._receive(now, host, port, message)
            case TimerDue():
                self._run_timers(now)
        return self._actions

    def update(self, now: float, me: Member) -> list[Action]:
        """Replace this agent's record, raise its incarnation and spread it."""
        self._actions = []
        self._set_me(
            msgspec.structs.replace(
                me,
                incarnation=self._me.incarnation + 1,
                state=MemberState.ALIVE,
            )
        )
        key = ('m', self._me.node)
        self._outbox.put(Lane.URGENT, key, introduction_of(self._me))
        self._send_gossip(now)
        return self._actions

    def leave(self, now: float) -> list[Action]:
        """Mark this agent as left and announce this to several members."""
        self._actions = []
        self._set_me(msgspec.structs.replace(self._me, state=MemberState.LEFT))
        claim = self._claim(self._me)
        for node in self._live_peers.sample(LEAVE_FANOUT):
            self._send_to(now, node, UpdatesOnly(), [claim])
        return self._actions

    def publish(self, now: float, rumor: Rumor) -> list[Action]:
        """Spread a rumor to all members.

        Raise RumorTooLargeError if it is over MAX_RUMOR_BYTES or does not fit
        a datagram.
        """
        size = len(datagrams.encode(_to_wire(rumor)))
        limit = min(
            MAX_RUMOR_BYTES, self._max_message_bytes() - RESERVED_BODY_BYTES
        )
        if size > limit:
            raise RumorTooLargeError(size, limit)
        self._actions = []
        self._merge_rumor(now, rumor, is_own=True)
        self._send_gossip(now)
        return self._actions

    # Digests and records for anti-entropy exchanges.

    def digests(self) -> bytes:
        """Return the digests of all buckets of members."""
        return self._roster.digests()

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digests differ from another agent's."""
        return self._roster.differing_buckets(digests)

    def records(
        self, buckets: typing.Iterable[int] | None = None
    ) -> list[Member]:
        """Return the members in these buckets; None means all buckets."""
        if buckets is None:
            return list(self._roster)
        return self._roster.in_buckets(buckets)

    def bucket_sizes(self) -> list[int]:
        """Return the number of records in each bucket."""
        return self._roster.bucket_sizes()

    def load_roster(self, roster: Roster) -> None:
        """Replace all records by a copy of a roster that lists this agent."""
        self._roster = roster.copy()
        self._live_peers.set_nodes(
            [m.node for m in roster if m.node != self._me.node]
        )
        self._outbox.clear()

    def merge(
        self, now: float, members: typing.Iterable[Member]
    ) -> list[Action]:
        """Merge another agent's records; return the resulting actions.

        Changes of known members are also spread by gossip. Records of unknown
        members are not, as anti-entropy exchanges spread them.
        """
        self._actions = []
        for member in members:
            is_known = self._roster.get(member.node) is not None
            lane = Lane.REVIVAL if is_known else None
            self._merge_record(now, member, lane)
        return self._actions

    def claims(self, buckets: typing.Iterable[int]) -> list[Claim]:
        """Return claims for the members in these buckets."""
        return [self._claim(member) for member in self.records(buckets)]

    def merge_claims(
        self, now: float, claims: typing.Iterable[Claim]
    ) -> tuple[list[Action], list[NodeId]]:
        """Merge another agent's claims.

        Return the resulting actions and the nodes whose full records are
        needed. A claim that a live member is dead may stem from a network
        partition that has ended, so it is not merged. Up to DEATH_CLAIM_PROBES
        of these members are probed instead.
        """
        self._actions = []
        wanted = []
        reported_dead = []
        for claim in claims:
            if claim.state is MemberState.SUSPECT:
                claim = _as_alive(claim)
            if self._is_live(claim.node) and _is_dead(claim):
                reported_dead.append(claim.node)
            elif self._apply_claim(now, claim):
                wanted.append(claim.node)
        count = min(DEATH_CLAIM_PROBES, len(reported_dead))
        for node in self._rng.sample(reported_dead, count):
            self._probe(now, node)
        return self._actions, wanted

    def _is_live(self, node: NodeId) -> bool:
        member = self._roster.get(node)
        is_other = node != self._me.node
        return is_other and member is not None and is_live(member)

    def overrides_claim(self, claim: Claim) -> bool:
        """Tell whether the stored record of the member overrides a claim."""
        own = self._roster.get(claim.node)
        if own is None:
            return False
        theirs = (claim.incarnation, claim.rank, claim.content_hash)
        return self._precedence(own) > theirs

    def _precedence(self, member: Member) -> tuple[int, int, int]:
        content_hash = self._roster.content_hash(member.node)
        return member.incarnation, rank_of(member.state), content_hash

    def rumors(self, now: float) -> list[Rumor]:
        """Return all unexpired rumors with their remaining times to live."""
        return self._rumors.unexpired(now)

    def rumors_digest(self, now: float) -> int:
        """Return one digest of all unexpired rumors, to compare two agents."""
        return self._rumors.digest(now)

    def merge_rumors(
        self, now: float, rumors: typing.Iterable[Rumor]
    ) -> list[Action]:
        """Merge another agent's rumors; return the resulting actions."""
        self._actions = []
        for rumor in rumors:
            self._merge_rumor(now, rumor)
        return self._actions

    # Timers and probes.

    def _set_timer(
        self, due_at: float, timer: _Timer, subject: object = None
    ) -> None:
        heapq.heappush(
            self._timers, (due_at, next(self._timer_order), timer, subject)
        )

    def _postpone_timers(self, now: float) -> None:
        """Postpone all timers by the duration of a pause of this process.

        More than a probe period between two events counts as a pause. Without
        this, members whose answers it delayed would be suspected.
        """
        last = self._last_event_at
        self._last_event_at = now if last is None else max(now, last)
        if last is None or now - last <= self._cfg.period_s:
            return
        pause_s = now - last
        self._timers = [
            (due_at + pause_s, order, timer, subject)
            for due_at, order, timer, subject in self._timers
        ]
        for suspicion in self._suspicions.values():
            suspicion.started_at += pause_s
            suspicion.timer_due_at += pause_s
        self._health.add(1)

    def _drop_answered_timers(self) -> None:
        """Discard timers of finished probes from the head of the queue."""
        while self._timers:
            _, _, timer, subject = self._timers[0]
            if timer not in _PROBE_TIMERS or subject in self._probes:
                return
            heapq.heappop(self._timers)

    def _run_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, timer, subject = heapq.heappop(self._timers)
            self._handlers[timer](now, subject)

    def _on_probe(self, now: float, _: object) -> None:
        cfg = self._cfg
        probe_count = min(cfg.probes_per_period, max(1, len(self._live_peers)))
        self._set_timer(now + cfg.period_s / probe_count, _Timer.PROBE)
        node = self._live_peers.next_node()
        if node is not None:
            self._probe(now, node)
        self._send_gossip(now)

    def _probe(self, now: float, node: NodeId) -> None:
        cfg = self._cfg
        seq = next(self._seqs)
        self._probes[seq] = _Probe(node)
        self._send_to(now, node, Ping(seq, node))
        timeout_s = self._health.scale(cfg.probe_timeout_s)
        self._set_timer(now + timeout_s, _Timer.INDIRECT_PROBE, seq)
        timeout_s = self._health.scale(cfg.period_s)
        self._set_timer(now + timeout_s, _Timer.PROBE_TIMEOUT, seq)

    def _on_indirect_probe(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        if probe is None:
            return
        if self._ping_request_budget.available(now) < MAX_PROBE_HELPERS:
            probe.may_use_helpers = False
            return
        for helper in self._live_peers.sample(
            MAX_PROBE_HELPERS, exclude=probe.node
        ):
            probe.helper_count += 1
            self._ping_request_budget.spend(1)
            self._send_to(now, helper, PingRequest(seq, probe.node))

    def _on_probe_timeout(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        member = self._roster.get(probe.node)
        if member is None or not is_live(member):
            return
        if probe.may_use_helpers:
            missing_nacks = (
                probe.helper_count - probe.nack_count
                if probe.helper_count
                else 1
            )
            self._health.add(missing_nacks)
        suspicion = self._suspicion(now, member)
        suspicion.failures += 1
        if not suspicion.origins:
            recent_s = self._health.scale(self._cfg.period_s)
            earliest = now - 2 * recent_s
            suspicion.started_at = max(suspicion.started_at, earliest)
        me = self._me.node
        if suspicion.failures > 1 and me not in suspicion.origins:
            suspicion.origins.add(me)
            self._announce_suspect(now, member, me)
        self._set_suspicion_timer(now, probe.node, suspicion)
        self._reprobe(now, probe.node)

    def _reprobe(self, now: float, node: NodeId) -> None:
        """Repeat the failed probe of a member at once.

        This is done for at most MAX_REPROBED_MEMBERS members at a time.
        """
        if node not in self._reprobing:
            if len(self._reprobing) >= MAX_REPROBED_MEMBERS:
                return
            self._reprobing.add(node)
        self._probe(now, node)

    def _suspicion(self, now: float, member: Member) -> Suspicion:
        suspicion = self._suspicions.get(member.node)
        if suspicion is None:
            suspicion = Suspicion(member.incarnation, now)
            self._suspicions[member.node] = suspicion
        return suspicion

    def _set_suspicion_timer(
        self, now: float, node: NodeId, suspicion: Suspicion
    ) -> None:
        """Set the timer of a suspicion unless it is set to an earlier time."""
        if not suspicion.origins:
            return
        member_count = len(self._live_peers) + 1
        due_at = suspicion.deadline(self._me.node, member_count, self._cfg)
        if now < suspicion.timer_due_at <= due_at:
            return
        suspicion.timer_due_at = due_at
        self._set_timer(due_at, _Timer.SUSPICION_TIMEOUT, node)

    def _announce_suspect(
        self, now: float, member: Member, origin: NodeId
    ) -> None:
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        is_first = self._roster.merge(suspect)
        if is_first:
            self._actions.append(MemberChanged(suspect))
        if is_first or not self._outbox.has_backlog:
            claim = self._claim(suspect, origin)
            key = ('s', member.node, origin)
            self._outbox.put(Lane.URGENT, key, claim)

    def _on_suspicion_timeout(self, now: float, node: NodeId) -> None:
        suspicion = self._suspicions.get(node)
        if suspicion is None or not suspicion.origins:
            return
        deadline = suspicion.deadline(
            self._me.node, len(self._live_peers) + 1, self._cfg
        )
        if deadline > now:
            self._set_suspicion_timer(now, node, suspicion)
            return
        member = self._roster.get(node)
        dead = msgspec.structs.replace(member, state=MemberState.DEAD)
        claim = self._claim(dead, self._me.node)
        self._adopt(now, dead, claim, Lane.URGENT)

    def _on_relay_timeout(self, now: float, seq: int) -> None:
        relay = self._relays.pop(seq, None)
        if relay is not None:
            self._send(now, relay.host, relay.port, Nack(relay.seq))

    def _on_dead_probe(self, now: float, _: object) -> None:
        interval_s = DEAD_PROBE_PERIODS * self._cfg.period_s
        self._set_timer(now + interval_s, _Timer.DEAD_PROBE)
        dead = [
            node
            for node in self._removed_at
            if self._roster.get(node).state is MemberState.DEAD
        ]
        if dead:
            node = self._rng.choice(dead)
            self._send_to(now, node, Ping(0, node))

    def _on_sync(self, now: float, _: object) -> None:
        interval_s = self._cfg.push_pull_s * self._rng.uniform(0.8, 1.2)
        self._set_timer(now + interval_s, _Timer.SYNC)
        for node in self._live_peers.sample(1):
            self._request_sync(now, node)

    def _on_cleanup(self, now: float, _: object) -> None:
        self._set_timer(now + CLEANUP_INTERVAL_S, _Timer.CLEANUP)
        self._rumors.expire(now)
        for node, removed_at in list(self._removed_at.items()):
            if now - removed_at > DEAD_RETENTION_S:
                del self._removed_at[node]
                self._roster.remove(node)

    # Receiving datagrams.

    def _receive(
        self, now: float, host: str, port: int, message: Datagram
    ) -> None:
        if message.sender == self._me.node:
            return
        known = self._roster.get(message.sender)
        is_joining = message.body == JOIN_PING and not (
            known and is_live(known)
        )
        is_new = known is None or is_joining
        for update in message.updates:
            self._apply_update(now, message.sender, update)
        match message.body:
            case Ping(seq, target):
                if target in ('', self._me.node):
                    self._send_ack(now, host, port, message, seq, is_new)
            case Ack(seq):
                self._on_ack(now, seq, message.sender)
            case PingRequest(seq, target):
                self._relay_probe(now, host, port, seq, target)
            case Nack(seq):
                probe = self._probes.get(seq)
                if probe is not None:
                    probe.nack_count += 1
        for update in message.updates:
            if self._needs_refutation(update):
                self._refute_directly(now, host, port, update)

    def _needs_refutation(self, update: Update) -> bool:
        """Tell whether an update wrongly says that this agent is not alive."""
        return (
            isinstance(update, Claim)
            and update.node == self._me.node
            and update.state is not MemberState.ALIVE
            and self._me.state is MemberState.ALIVE
        )

    def _refute_directly(
        self, now: float, host: str, port: int, claim: Claim
    ) -> None:
        if not self._refutation_budget.available(now):
            return
        self._refutation_budget.spend(1)
        same_content = claim.content_hash == self._roster.content_hash(
            self._me.node
        )
        update = (
            self._claim(self._me)
            if same_content
            else introduction_of(self._me)
        )
        self._send(now, host, port, UpdatesOnly(), (update,))

    def _send_ack(
        self,
        now: float,
        host: str,
        port: int,
        message: Datagram,
        seq: int,
        is_new: bool,
    ) -> None:
        extra: list[Update] = self._claims_to_refute(message.sender)
        if is_new or seq == 0:
            extra.append(introduction_of(self._me))
        self._send(now, host, port, Ack(seq), extra)
        if is_new:
            self._send_join_reply(host, port)

    def _send_join_reply(self, host: str, port: int) -> None:
        """Send a newcomer records of several members and request its own."""
        left_bytes = self._max_message_bytes() - 2 * RESERVED_BODY_BYTES
        extra: list[Update] = [introduction_of(self._me)]
        for node in self._live_peers.sample(JOIN_REPLY_MEMBERS):
            introduction = introduction_of(self._roster.get(node))
            left_bytes -= len(datagrams.encode(introduction))
            if left_bytes < 0:
                break
            extra.append(introduction)
        message = Datagram(self._me.node, JOIN_PING, tuple(extra))
        self._actions.append(Send(host, port, message))

    def _on_ack(self, now: float, seq: int, sender: NodeId) -> None:
        relay = self._relays.pop(seq, None)
        if relay is not None:
            self._send(now, relay.host, relay.port, Ack(relay.seq))
            return
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        self._health.add(-1)
        suspicion = self._suspicions.get(probe.node)
        self._reprobing.discard(probe.node)
        if suspicion is None:
            return
        suspicion.failures = 0
        suspicion.origins.discard(self._me.node)
        if not suspicion.origins:
            del self._suspicions[probe.node]
        else:
            suspicion.started_at = now

    def _relay_probe(
        self, now: float, host: str, port: int, seq: int, target: NodeId
    ) -> None:
        member = self._roster.get(target)
        if member is None:
            self._send(now, host, port, Nack(seq))
            return
        relay_seq = next(self._seqs)
        self._relays[relay_seq] = _Relay(seq, host, port)
        self._send_to(now, target, Ping(relay_seq, target))
        self._set_timer(
            now + self._cfg.probe_timeout_s, _Timer.RELAY_TIMEOUT, relay_seq
        )

    # Applying updates.

    def _apply_update(
        self, now: float, sender: NodeId, update: Update
    ) -> None:
        match update:
            case Claim():
                if self._apply_claim(now, update):
                    self._request_sync(now, sender)
            case Introduction():
                self._merge_record(now, update.to_member(), Lane.URGENT)
            case WireRumor():
                self._merge_rumor(now, update.to_rumor())

    def _apply_claim(self, now: float, claim: Claim) -> bool:
        """Apply a claim; return whether the full record must be fetched."""
        if claim.node == self._me.node:
            self._refute(
                now, claim.incarnation, claim.state, claim.content_hash
            )
            return False
        member = self._roster.get(claim.node)
        if member is None:
            return claim.state is MemberState.ALIVE
        if claim.incarnation < member.incarnation:
            return False
        if claim.content_hash != self._roster.content_hash(claim.node):
            theirs = (claim.incarnation, claim.rank, claim.content_hash)
            return theirs > self._precedence(member)
        if claim.state is MemberState.SUSPECT:
            self._add_suspicion(now, member, claim)
            return False
        self._adopt(
            now,
            msgspec.structs.replace(
                member, incarnation=claim.incarnation, state=claim.state
            ),
            claim,
            Lane.URGENT,
        )
        return False

    def _add_suspicion(self, now: float, member: Member, claim: Claim) -> None:
        suspect = msgspec.structs.replace(
            member,
            incarnation=claim.incarnation,
            state=MemberState.SUSPECT,
        )
        if claim.incarnation > member.incarnation:
            self._clear_suspicion(member.node)
        elif not is_live(member):
            return
        suspicion = self._suspicion(now, suspect)
        if len(suspicion.origins) > needed_confirmations(
            len(self._live_peers) + 1
        ):
            return
        if claim.origin in suspicion.origins:
            return
        suspicion.origins.add(claim.origin)
        if not is_live(member):
            self._removed_at.pop(member.node, None)
            self._live_peers.add(member.node)
        self._announce_suspect(now, suspect, claim.origin)
        self._set_suspicion_timer(now, member.node, suspicion)

    def _merge_record(
        self, now: float, member: Member, lane: Lane | None
    ) -> None:
        if member.node == self._me.node:
            content_hash = datagrams.hash_content(member)
            self._refute(now, member.incarnation, member.state, content_hash)
            return
        if member.state is MemberState.DEAD:
            return
        known = self._roster.get(member.node)
        if known is None and not is_live(member):
            return
        if member.state is MemberState.SUSPECT:
            member = msgspec.structs.replace(member, state=MemberState.ALIVE)
        self._adopt(now, member, introduction_of(member), lane)

    def _adopt(
        self,
        now: float,
        member: Member,
        update: Update,
        lane: Lane | None,
    ) -> None:
        """Store a record if it overrides the known one.

        Then report the change and, unless lane is None, queue the update.
        """
        known = self._roster.get(member.node)
        content_hash = (
            self._roster.content_hash(member.node) if known else None
        )
        if self._lacks_room(
            self._roster.held_bytes, self._roster.growth_bytes(member)
        ):
            self._actions.append(RecordRefused('members'))
            return
        if not self._roster.merge(member):
            return
        if content_hash == self._roster.content_hash(member.node):
            update = self._claim(member)
        self._clear_suspicion(member.node)
        self._actions.append(MemberChanged(member))
        if is_live(member):
            self._removed_at.pop(member.node, None)
            self._live_peers.add(member.node)
        else:
            self._removed_at.setdefault(member.node, now)
            self._live_peers.remove(member.node)
        if known is None and len(self._live_peers) == 1:
            self._request_sync(now, member.node)
        key = ('m', member.node)
        self._outbox.drop(key)
        if _is_revival(known, update):
            lane = Lane.REVIVAL
        if lane is not None:
            self._outbox.put(lane, key, update)

    def _clear_suspicion(self, node: NodeId) -> None:
        """Remove an outdated suspicion of a member and its queued claims."""
        suspicion = self._suspicions.pop(node, None)
        self._reprobing.discard(node)
        if suspicion is not None:
            for origin in suspicion.origins:
                self._outbox.drop(('s', node, origin))

    def _report_name_conflict(self, now: float, incarnation: int) -> bool:
        """Report another process with this node name, up to a rate limit.

        Return False over the limit; the caller must then not override the
        other record. Without the limit, both processes would override each
        other's record with new incarnations at a high rate.
        """
        if not self._conflict_budget.available(now):
            return False
        self._conflict_budget.spend(1)
        self._actions.append(NameConflict(incarnation))
        return True

    def _refute(
        self,
        now: float,
        incarnation: int,
        state: MemberState,
        content_hash: int,
    ) -> None:
        """Override a wrong record of this agent with a higher incarnation."""
        me = self._me
        if me.state is MemberState.LEFT or incarnation < me.incarnation:
            return
        same_content = content_hash == self._roster.content_hash(me.node)
        if state is MemberState.ALIVE and same_content:
            if incarnation == me.incarnation:
                return
        if state is MemberState.SUSPECT:
            self._health.add(1)
        if not same_content and not self._report_name_conflict(
            now, incarnation
        ):
            return
        self._set_me(msgspec.structs.replace(me, incarnation=incarnation + 1))
        update = (
            self._claim(self._me)
            if same_content
            else introduction_of(self._me)
        )
        may_wait = state is MemberState.DEAD and same_content
        lane = Lane.REVIVAL if may_wait else Lane.URGENT
        self._outbox.put(lane, ('m', me.node), update)

    def _set_me(self, me: Member) -> None:
        self._me = me
        self._roster.merge(me)
        self._actions.append(MemberChanged(me))

    def _lacks_room(self, held_bytes: int, growth_bytes: int) -> bool:
        return growth_bytes > 0 and held_bytes + growth_bytes > self._max_bytes

    def _merge_rumor(
        self, now: float, rumor: Rumor, is_own: bool = False
    ) -> None:
        if not is_own and self._lacks_room(
            self._rumors.held_bytes, self._rumors.growth_bytes(rumor)
        ):
            self._actions.append(RecordRefused('rumors'))
            return
        if not self._rumors.merge(rumor, now):
            return
        self._actions.append(RumorAccepted(rumor))
        key = ('r', rumor.topic, rumor.key)
        self._outbox.put(LANE_BY_URGENCY[rumor.urgency], key, _to_wire(rumor))

    # Building and sending datagrams.

    def _claim(self, member: Member, origin: NodeId = NodeId('')) -> Claim:
        content_hash = self._roster.content_hash(member.node)
        return Claim(
            member.node,
            member.incarnation,
            rank_of(member.state),
            content_hash,
            origin,
        )

    def _claims_to_refute(self, node: NodeId) -> list[Update]:
        """Return a claim that the node is not alive, if it is listed so.

        The claim is sent to the node, which refutes it if it runs.
        """
        member = self._roster.get(node)
        if member is None or member.state is MemberState.ALIVE:
            return []
        return [self._claim(member, self._me.node)]

    def _send_to(
        self,
        now: float,
        node: NodeId,
        body: Body,
        extra: typing.Iterable[Update] = (),
    ) -> None:
        member = self._roster.get(node)
        host, port = member.host, member.gossip_port
        claims_to_refute = self._claims_to_refute(node)
        if claims_to_refute or node in self._suspicions:
            # The node may have failed. Updates sent to it would count as
            # sent, so none are taken from the outbox.
            message = Datagram(
                self._me.node, body, (*extra, *claims_to_refute)
            )
            self._actions.append(Send(host, port, message))
            return
        self._send(now, host, port, body, tuple(extra))

    def _send(
        self,
        now: float,
        host: str,
        port: int,
        body: Body,
        extra: typing.Sequence[Update] = (),
    ) -> None:
        left_bytes = self._max_message_bytes() - RESERVED_BODY_BYTES
        left_bytes -= sum(len(datagrams.encode(update)) for update in extra)
        member_count = len(self._live_peers) + 1
        updates = (
            *extra,
            *self._outbox.take_updates(now, left_bytes, member_count),
        )
        message = Datagram(self._me.node, body, updates)
        self._actions.append(Send(host, port, message))

    def _send_gossip(self, now: float) -> None:
        """Send queued updates at once, unless the outbox has a backlog."""
        if self._outbox.has_backlog or not self._outbox.has_immediate_updates:
            return
        for node in self._live_peers.sample(GOSSIP_FANOUT):
            if node not in self._suspicions:
                self._send_to(now, node, UpdatesOnly())

    def _max_message_bytes(self) -> int:
        return self._cfg.datagram_bytes - OVERHEAD_BYTES

    def _request_sync(self, now: float, node: NodeId) -> None:
        member = self._roster.get(node)
        if member is None or now - self._last_sync_at < MIN_SYNC_INTERVAL_S:
            return
        self._last_sync_at = now
        self._actions.append(SyncWanted(member))


def _as_alive(claim: Claim) -> Claim:
    alive = rank_of(MemberState.ALIVE)
    return msgspec.structs.replace(claim, rank=alive)


def _is_dead(claim: Claim) -> bool:
    return claim.state is MemberState.DEAD


def _is_revival(known: Member | None, update: Update) -> bool:
    """Tell whether an update only says that a member is alive.

    Such an update may wait: there are many after a network partition. An
    update that ends a suspicion may not wait, as the member would be declared
    dead.
    """
    return (
        isinstance(update, Claim)
        and update.state is MemberState.ALIVE
        and known is not None
        and known.state is not MemberState.SUSPECT
    )


def _to_wire(rumor: Rumor) -> WireRumor:
    return WireRumor(
        rumor.topic,
        rumor.key,
        rumor.version,
        rumor.body,
        int(rumor.ttl_s * 1_000),
        rumor.urgency,
    )
