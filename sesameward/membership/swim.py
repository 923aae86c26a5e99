"""Decide who is a member: SWIM with Lifeguard's local health."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
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
from .datagrams import Gossip
from .datagrams import introduce
from .datagrams import Introduction
from .datagrams import Nack
from .datagrams import Ping
from .datagrams import PingRequest
from .datagrams import rank_of
from .datagrams import Update
from .datagrams import WireRumor
from .events import Action
from .events import Changed
from .events import Contested
from .events import Event
from .events import Received
from .events import RumorHeard
from .events import Send
from .events import SyncWanted
from .events import Tick
from .outbox import Lane
from .outbox import LANE_OF
from .outbox import Outbox
from .piggyback import TokenBucket
from .probing import Pool
from .roster import is_live
from .roster import Roster
from .rumors import Rumors
from .seals import OVERHEAD_BYTES
from .suspicion import confirmations
from .suspicion import LocalHealth
from .suspicion import Suspicion

HELPERS = 3
GOSSIP_FANOUT = 2
LEAVE_FANOUT = 8
DEAD_PROBE_PERIODS = 20.0
DEAD_MEMORY_S = 6 * 3_600.0
SWEEP_S = 10.0
MIN_SYNC_GAP_S = 5.0
MAX_RUMOR_BYTES = 512
MAX_REPROBED = 4
CONTESTS_PER_S = 0.5
CONTESTS_BURST = 3.0
REQUESTS_PER_S = 6.0
REQUESTS_BURST = 36.0
HINT_PROBES = 3
CONTRADICTIONS_PER_S = 1.0
CONTRADICTIONS_BURST = 4.0
BODY_BYTES = 160
GREETING = Ping(0)
WELCOME_COUNT = 16


class _Timer(enum.Enum):
    PROBE = enum.auto()
    INDIRECT = enum.auto()
    FAIL = enum.auto()
    SUSPECT = enum.auto()
    NACK = enum.auto()
    DEAD_PROBE = enum.auto()
    SYNC = enum.auto()
    SWEEP = enum.auto()


_PROBE_TIMERS = frozenset({_Timer.INDIRECT, _Timer.FAIL})


@dataclasses.dataclass(slots=True)
class _Probe:
    node: NodeId
    helpers: int = 0
    nacks: int = 0
    was_asked: bool = True


@dataclasses.dataclass(slots=True)
class _Relay:
    seq: int
    host: str
    port: int


class Swim:
    """Detect failures and spread updates at a constant cost per node."""

    def __init__(
        self, me: Member, cfg: MembershipSettings, rng: random.Random
    ):
        self._me = me
        self._cfg = cfg
        self._rng = rng
        self._health = LocalHealth()
        self._roster = Roster()
        self._roster.merge(me)
        self._rumors = Rumors()
        self._outbox = Outbox()
        self._contradictions = TokenBucket(
            CONTRADICTIONS_PER_S, CONTRADICTIONS_BURST
        )
        self._contests = TokenBucket(CONTESTS_PER_S, CONTESTS_BURST)
        self._requests = TokenBucket(REQUESTS_PER_S, REQUESTS_BURST)
        self._reprobed: set[NodeId] = set()
        self._pool = Pool(rng)
        self._dead: dict[NodeId, float] = {}
        self._suspicions: dict[NodeId, Suspicion] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._seqs = itertools.count(1)
        self._timers: list[tuple[float, int, _Timer, object]] = []
        self._order = itertools.count()
        self._ticked_at: float | None = None
        self._synced_at = float('-inf')
        self._actions: list[Action] = []
        self._handlers = {
            _Timer.PROBE: self._on_probe,
            _Timer.INDIRECT: self._on_indirect,
            _Timer.FAIL: self._on_fail,
            _Timer.SUSPECT: self._on_suspect,
            _Timer.NACK: self._on_nack,
            _Timer.DEAD_PROBE: self._on_dead_probe,
            _Timer.SYNC: self._on_sync,
            _Timer.SWEEP: self._on_sweep,
        }

    # What others ask of it.

    @property
    def me(self) -> Member:
        """Return the own record."""
        return self._me

    @property
    def local_health(self) -> int:
        """Return the local health score; 0 is well."""
        return self._health.score

    @property
    def next_at(self) -> float:
        """Return when the next Tick is due."""
        self._drop_settled()
        return self._timers[0][0] if self._timers else 0.0

    def members(self) -> list[Member]:
        """Return all members which are not dead and have not left."""
        return [member for member in self._roster if is_live(member)]

    def known(self) -> list[Member]:
        """Return all members, also those which are dead or have left."""
        return list(self._roster)

    def get(self, node: NodeId) -> Member | None:
        """Return one member or None."""
        return self._roster.get(node)

    def start(self, now: float) -> None:
        """Begin to probe."""
        cfg = self._cfg
        step_s = cfg.period_s / cfg.probes_per_period
        self._ticked_at = now
        self._at(now + self._rng.uniform(0, step_s), _Timer.PROBE)
        self._at(
            now + self._rng.uniform(0, DEAD_PROBE_PERIODS * cfg.period_s),
            _Timer.DEAD_PROBE,
        )
        self._at(now + self._rng.uniform(0, cfg.push_pull_s), _Timer.SYNC)
        self._at(now + SWEEP_S, _Timer.SWEEP)
        key = ('m', self._me.node)
        self._outbox.put(Lane.URGENT, key, introduce(self._me))

    def join(self, host: str, port: int) -> Send:
        """Greet whoever listens at this address."""
        message = Datagram(self._me.node, GREETING, (introduce(self._me),))
        return Send(host, port, message)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what follows from it."""
        self._actions = []
        self._skip_pause(now)
        match event:
            case Received(host, port, message):
                self._receive(now, host, port, message)
            case Tick():
                self._run_timers(now)
        return self._actions

    def update(self, now: float, me: Member) -> list[Action]:
        """Change the own record; the incarnation is raised here."""
        self._actions = []
        self._set_me(
            msgspec.structs.replace(
                me,
                incarnation=self._me.incarnation + 1,
                state=MemberState.ALIVE,
            )
        )
        key = ('m', self._me.node)
        self._outbox.put(Lane.URGENT, key, introduce(self._me))
        self._gossip(now)
        return self._actions

    def leave(self, now: float) -> list[Action]:
        """Tell several members that this one leaves for good."""
        self._actions = []
        self._set_me(msgspec.structs.replace(self._me, state=MemberState.LEFT))
        claim = self._claim(self._me)
        for node in self._pool.sample(LEAVE_FANOUT):
            self._send_to(now, node, Gossip(), [claim])
        return self._actions

    def publish(self, now: float, rumor: Rumor) -> list[Action]:
        """Spread a rumor; raise RumorTooLargeError."""
        size = len(datagrams.encode(_wire(rumor)))
        limit = min(MAX_RUMOR_BYTES, self._room() - BODY_BYTES)
        if size > limit:
            raise RumorTooLargeError(size, limit)
        self._actions = []
        self._hear(now, rumor)
        self._gossip(now)
        return self._actions

    # Anti-entropy.

    def digests(self) -> bytes:
        """Return the digest of each bucket of members."""
        return self._roster.digests()

    def differing(self, digests: bytes) -> list[int]:
        """Return the buckets in which another's digests differ."""
        return self._roster.differing(digests)

    def snapshot(
        self, buckets: typing.Iterable[int] | None = None
    ) -> list[Member]:
        """Return all records, or those of some buckets."""
        if buckets is None:
            return list(self._roster)
        return self._roster.in_buckets(buckets)

    def bucket_sizes(self) -> list[int]:
        """Return how many records each bucket has."""
        return self._roster.bucket_sizes()

    def adopt_all(self, roster: Roster) -> None:
        """Begin with a copy of these records, which hold the own one."""
        self._roster = roster.copy()
        self._pool.fill([m.node for m in roster if m.node != self._me.node])
        self._outbox.clear()

    def merge(
        self, now: float, members: typing.Iterable[Member]
    ) -> list[Action]:
        """Take in another's records; strangers among them spread by it."""
        self._actions = []
        for member in members:
            is_known = self._roster.get(member.node) is not None
            lane = Lane.REVIVAL if is_known else None
            self._merge(now, member, lane)
        return self._actions

    def claims(self, buckets: typing.Iterable[int]) -> list[Claim]:
        """Return the compact records of some buckets."""
        return [self._claim(member) for member in self.snapshot(buckets)]

    def merge_claims(
        self, now: float, claims: typing.Iterable[Claim]
    ) -> tuple[list[Action], list[NodeId]]:
        """Take in compact records; also return who must be introduced.

        Another's view of a death may stem from a cut which has ended, so
        it only leads to some probes.
        """
        self._actions = []
        wanted = []
        doubted = []
        for claim in claims:
            if claim.state is MemberState.SUSPECT:
                claim = _as_alive(claim)
            if self._is_live(claim.node) and _is_dead(claim):
                doubted.append(claim.node)
            elif self._take_claim(now, claim):
                wanted.append(claim.node)
        count = min(HINT_PROBES, len(doubted))
        for node in self._rng.sample(doubted, count):
            self._probe(now, node)
        return self._actions, wanted

    def _is_live(self, node: NodeId) -> bool:
        member = self._roster.get(node)
        is_other = node != self._me.node
        return is_other and member is not None and is_live(member)

    def is_news(self, claim: Claim) -> bool:
        """Tell whether the own record overrides this claim."""
        own = self._roster.get(claim.node)
        if own is None:
            return False
        theirs = (claim.incarnation, claim.rank, claim.content)
        return self._rank(own) > theirs

    def _rank(self, member: Member) -> tuple[int, int, int]:
        content = self._roster.content(member.node)
        return member.incarnation, rank_of(member.state), content

    def rumors(self, now: float) -> list[Rumor]:
        """Return all rumors which have not expired."""
        return self._rumors.current(now)

    def rumors_digest(self, now: float) -> int:
        """Return one digest of all rumors."""
        return self._rumors.digest(now)

    def merge_rumors(
        self, now: float, rumors: typing.Iterable[Rumor]
    ) -> list[Action]:
        """Take in another's rumors."""
        self._actions = []
        for rumor in rumors:
            self._hear(now, rumor)
        return self._actions

    # Timers.

    def _at(self, at: float, timer: _Timer, what: object = None) -> None:
        heapq.heappush(self._timers, (at, next(self._order), timer, what))

    def _skip_pause(self, now: float) -> None:
        """Push all timers off by the time that this process did not run."""
        last = self._ticked_at
        self._ticked_at = now if last is None else max(now, last)
        if last is None or now - last <= self._cfg.period_s:
            return
        gap_s = now - last
        self._timers = [
            (at + gap_s, order, timer, what)
            for at, order, timer, what in self._timers
        ]
        for suspicion in self._suspicions.values():
            suspicion.started_at += gap_s
            suspicion.armed_at += gap_s
        self._health.add(1)

    def _drop_settled(self) -> None:
        """Forget the next timers if their probes were answered."""
        while self._timers:
            _, _, timer, what = self._timers[0]
            if timer not in _PROBE_TIMERS or what in self._probes:
                return
            heapq.heappop(self._timers)

    def _run_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, timer, what = heapq.heappop(self._timers)
            self._handlers[timer](now, what)

    def _on_probe(self, now: float, _: object) -> None:
        cfg = self._cfg
        fanout = min(cfg.probes_per_period, max(1, len(self._pool)))
        self._at(now + cfg.period_s / fanout, _Timer.PROBE)
        node = self._pool.next()
        if node is not None:
            self._probe(now, node)
        self._gossip(now)

    def _probe(self, now: float, node: NodeId) -> None:
        cfg = self._cfg
        seq = next(self._seqs)
        self._probes[seq] = _Probe(node)
        self._send_to(now, node, Ping(seq, node))
        timeout_s = self._health.stretch(cfg.probe_timeout_s)
        self._at(now + timeout_s, _Timer.INDIRECT, seq)
        timeout_s = self._health.stretch(cfg.period_s)
        self._at(now + timeout_s, _Timer.FAIL, seq)

    def _on_indirect(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        if probe is None:
            return
        if self._requests.left(now) < HELPERS:
            probe.was_asked = False
            return
        for helper in self._pool.sample(HELPERS, but=probe.node):
            probe.helpers += 1
            self._requests.spend(1)
            self._send_to(now, helper, PingRequest(seq, probe.node))

    def _on_fail(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        member = self._roster.get(probe.node)
        if member is None or not is_live(member):
            return
        if probe.was_asked:
            silent = probe.helpers - probe.nacks if probe.helpers else 1
            self._health.add(silent)
        suspicion = self._suspicion(now, member)
        suspicion.failures += 1
        if not suspicion.origins:
            recent_s = self._health.stretch(self._cfg.period_s)
            earliest = now - 2 * recent_s
            suspicion.started_at = max(suspicion.started_at, earliest)
        me = self._me.node
        if suspicion.failures > 1 and me not in suspicion.origins:
            suspicion.origins.add(me)
            self._announce(now, member, me)
        self._arm(now, probe.node, suspicion)
        self._probe_again(now, probe.node)

    def _probe_again(self, now: float, node: NodeId) -> None:
        """Check a silent member at once, though only some at a time."""
        if node not in self._reprobed:
            if len(self._reprobed) >= MAX_REPROBED:
                return
            self._reprobed.add(node)
        self._probe(now, node)

    def _suspicion(self, now: float, member: Member) -> Suspicion:
        suspicion = self._suspicions.get(member.node)
        if suspicion is None:
            suspicion = Suspicion(member.incarnation, now)
            self._suspicions[member.node] = suspicion
        return suspicion

    def _arm(self, now: float, node: NodeId, suspicion: Suspicion) -> None:
        """Set the timer of a suspicion unless an earlier one is set."""
        if not suspicion.origins:
            return
        members = len(self._pool) + 1
        at = suspicion.deadline(self._me.node, members, self._cfg)
        if now < suspicion.armed_at <= at:
            return
        suspicion.armed_at = at
        self._at(at, _Timer.SUSPECT, node)

    def _announce(self, now: float, member: Member, origin: NodeId) -> None:
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        is_first = self._roster.merge(suspect)
        if is_first:
            self._actions.append(Changed(suspect))
        if is_first or not self._outbox.has_backlog:
            claim = self._claim(suspect, origin)
            key = ('s', member.node, origin)
            self._outbox.put(Lane.URGENT, key, claim)

    def _on_suspect(self, now: float, node: NodeId) -> None:
        suspicion = self._suspicions.get(node)
        if suspicion is None or not suspicion.origins:
            return
        deadline = suspicion.deadline(
            self._me.node, len(self._pool) + 1, self._cfg
        )
        if deadline > now:
            self._arm(now, node, suspicion)
            return
        member = self._roster.get(node)
        dead = msgspec.structs.replace(member, state=MemberState.DEAD)
        claim = self._claim(dead, self._me.node)
        self._adopt(now, dead, claim, Lane.URGENT)

    def _on_nack(self, now: float, seq: int) -> None:
        relay = self._relays.pop(seq, None)
        if relay is not None:
            self._send(now, relay.host, relay.port, Nack(relay.seq))

    def _on_dead_probe(self, now: float, _: object) -> None:
        interval_s = DEAD_PROBE_PERIODS * self._cfg.period_s
        self._at(now + interval_s, _Timer.DEAD_PROBE)
        dead = [
            node
            for node in self._dead
            if self._roster.get(node).state is MemberState.DEAD
        ]
        if dead:
            node = self._rng.choice(dead)
            self._send_to(now, node, Ping(0, node))

    def _on_sync(self, now: float, _: object) -> None:
        interval_s = self._cfg.push_pull_s * self._rng.uniform(0.8, 1.2)
        self._at(now + interval_s, _Timer.SYNC)
        for node in self._pool.sample(1):
            self._want_sync(now, node)

    def _on_sweep(self, now: float, _: object) -> None:
        self._at(now + SWEEP_S, _Timer.SWEEP)
        self._rumors.expire(now)
        for node, died_at in list(self._dead.items()):
            if now - died_at > DEAD_MEMORY_S:
                del self._dead[node]
                self._roster.remove(node)

    # Datagrams.

    def _receive(
        self, now: float, host: str, port: int, message: Datagram
    ) -> None:
        if message.sender == self._me.node:
            return
        known = self._roster.get(message.sender)
        joins = message.body == GREETING and not (known and is_live(known))
        stranger = known is None or joins
        for update in message.updates:
            self._take(now, message.sender, update)
        match message.body:
            case Ping(seq, target):
                if target in ('', self._me.node):
                    self._answer(now, host, port, message, seq, stranger)
            case Ack(seq):
                self._on_ack(now, seq, message.sender)
            case PingRequest(seq, target):
                self._relay(now, host, port, seq, target)
            case Nack(seq):
                probe = self._probes.get(seq)
                if probe is not None:
                    probe.nacks += 1
        for update in message.updates:
            if self._is_doubt(update):
                self._contradict(now, host, port, update)

    def _is_doubt(self, update: Update) -> bool:
        """Tell whether the sender should hear that this agent lives."""
        return (
            isinstance(update, Claim)
            and update.node == self._me.node
            and update.state is not MemberState.ALIVE
            and self._me.state is MemberState.ALIVE
        )

    def _contradict(
        self, now: float, host: str, port: int, doubt: Claim
    ) -> None:
        if not self._contradictions.left(now):
            return
        self._contradictions.spend(1)
        same = doubt.content == self._roster.content(self._me.node)
        update = self._claim(self._me) if same else introduce(self._me)
        self._send(now, host, port, Gossip(), (update,))

    def _answer(
        self,
        now: float,
        host: str,
        port: int,
        message: Datagram,
        seq: int,
        stranger: bool,
    ) -> None:
        extra: list[Update] = self._doubts(message.sender)
        if stranger or seq == 0:
            extra.append(introduce(self._me))
        self._send(now, host, port, Ack(seq), extra)
        if stranger:
            self._welcome(host, port)

    def _welcome(self, host: str, port: int) -> None:
        """Introduce some members and ask who is there."""
        left = self._room() - 2 * BODY_BYTES
        extra: list[Update] = [introduce(self._me)]
        for node in self._pool.sample(WELCOME_COUNT):
            introduction = introduce(self._roster.get(node))
            left -= len(datagrams.encode(introduction))
            if left < 0:
                break
            extra.append(introduction)
        message = Datagram(self._me.node, GREETING, tuple(extra))
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
        self._reprobed.discard(probe.node)
        if suspicion is None:
            return
        suspicion.failures = 0
        suspicion.origins.discard(self._me.node)
        if not suspicion.origins:
            del self._suspicions[probe.node]
        else:
            suspicion.started_at = now

    def _relay(
        self, now: float, host: str, port: int, seq: int, target: NodeId
    ) -> None:
        member = self._roster.get(target)
        if member is None:
            self._send(now, host, port, Nack(seq))
            return
        own = next(self._seqs)
        self._relays[own] = _Relay(seq, host, port)
        self._send_to(now, target, Ping(own, target))
        self._at(now + self._cfg.probe_timeout_s, _Timer.NACK, own)

    # Updates.

    def _take(self, now: float, sender: NodeId, update: Update) -> None:
        match update:
            case Claim():
                if self._take_claim(now, update):
                    self._want_sync(now, sender)
            case Introduction():
                self._merge(now, update.to_member(), Lane.URGENT)
            case WireRumor():
                self._hear(now, update.to_rumor())

    def _take_claim(self, now: float, claim: Claim) -> bool:
        """Apply a claim; tell whether the full record must be fetched."""
        if claim.node == self._me.node:
            self._refute(now, claim.incarnation, claim.state, claim.content)
            return False
        member = self._roster.get(claim.node)
        if member is None:
            return claim.state is MemberState.ALIVE
        if claim.incarnation < member.incarnation:
            return False
        if claim.content != self._roster.content(claim.node):
            theirs = (claim.incarnation, claim.rank, claim.content)
            return theirs > self._rank(member)
        if claim.state is MemberState.SUSPECT:
            self._confirm(now, member, claim)
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

    def _confirm(self, now: float, member: Member, claim: Claim) -> None:
        suspect = msgspec.structs.replace(
            member,
            incarnation=claim.incarnation,
            state=MemberState.SUSPECT,
        )
        if claim.incarnation > member.incarnation:
            self._settle(member.node)
        elif not is_live(member):
            return
        suspicion = self._suspicion(now, suspect)
        if len(suspicion.origins) > confirmations(len(self._pool) + 1):
            return
        if claim.origin in suspicion.origins:
            return
        suspicion.origins.add(claim.origin)
        if not is_live(member):
            self._dead.pop(member.node, None)
            self._pool.add(member.node)
        self._announce(now, suspect, claim.origin)
        self._arm(now, member.node, suspicion)

    def _merge(self, now: float, member: Member, lane: Lane | None) -> None:
        if member.node == self._me.node:
            content = datagrams.content_of(member)
            self._refute(now, member.incarnation, member.state, content)
            return
        if member.state is MemberState.DEAD:
            return
        known = self._roster.get(member.node)
        if known is None and not is_live(member):
            return
        if member.state is MemberState.SUSPECT:
            member = msgspec.structs.replace(member, state=MemberState.ALIVE)
        self._adopt(now, member, introduce(member), lane)

    def _adopt(
        self,
        now: float,
        member: Member,
        update: Update,
        lane: Lane | None,
    ) -> None:
        """Merge a record whose content is known and pass it on."""
        known = self._roster.get(member.node)
        content = self._roster.content(member.node) if known else None
        if not self._roster.merge(member):
            return
        if content == self._roster.content(member.node):
            update = self._claim(member)
        self._settle(member.node)
        self._actions.append(Changed(member))
        if is_live(member):
            self._dead.pop(member.node, None)
            self._pool.add(member.node)
        else:
            self._dead.setdefault(member.node, now)
            self._pool.remove(member.node)
        if known is None and len(self._pool) == 1:
            self._want_sync(now, member.node)
        key = ('m', member.node)
        self._outbox.drop(key)
        if _is_revival(known, update):
            lane = Lane.REVIVAL
        if lane is not None:
            self._outbox.put(lane, key, update)

    def _settle(self, node: NodeId) -> None:
        """Drop the suspicion, which a newer record has answered."""
        suspicion = self._suspicions.pop(node, None)
        self._reprobed.discard(node)
        if suspicion is not None:
            for origin in suspicion.origins:
                self._outbox.drop(('s', node, origin))

    def _contest(self, now: float, incarnation: int) -> bool:
        """Tell of a second owner of the own record; bound the dispute."""
        if not self._contests.left(now):
            return False
        self._contests.spend(1)
        self._actions.append(Contested(incarnation))
        return True

    def _refute(
        self,
        now: float,
        incarnation: int,
        state: MemberState,
        content: int,
    ) -> None:
        """Override what others hold of this agent."""
        me = self._me
        if me.state is MemberState.LEFT or incarnation < me.incarnation:
            return
        same = content == self._roster.content(me.node)
        if state is MemberState.ALIVE and same:
            if incarnation == me.incarnation:
                return
        if state is MemberState.SUSPECT:
            self._health.add(1)
        if not same and not self._contest(now, incarnation):
            return
        self._set_me(msgspec.structs.replace(me, incarnation=incarnation + 1))
        update = self._claim(self._me) if same else introduce(self._me)
        may_wait = state is MemberState.DEAD and same
        lane = Lane.REVIVAL if may_wait else Lane.URGENT
        self._outbox.put(lane, ('m', me.node), update)

    def _set_me(self, me: Member) -> None:
        self._me = me
        self._roster.merge(me)
        self._actions.append(Changed(me))

    def _hear(self, now: float, rumor: Rumor) -> None:
        if not self._rumors.merge(rumor, now):
            return
        self._actions.append(RumorHeard(rumor))
        key = ('r', rumor.topic, rumor.key)
        self._outbox.put(LANE_OF[rumor.urgency], key, _wire(rumor))

    # Sending.

    def _claim(self, member: Member, origin: NodeId = NodeId('')) -> Claim:
        content = self._roster.content(member.node)
        return Claim(
            member.node,
            member.incarnation,
            rank_of(member.state),
            content,
            origin,
        )

    def _doubts(self, node: NodeId) -> list[Update]:
        """Return the claim which the node should refute, if any."""
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
        doubts = self._doubts(node)
        if doubts or node in self._suspicions:
            # It may be gone; what it is sent must not count as spread.
            message = Datagram(self._me.node, body, (*extra, *doubts))
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
        room = self._room() - BODY_BYTES
        room -= sum(len(datagrams.encode(update)) for update in extra)
        members = len(self._pool) + 1
        updates = (*extra, *self._outbox.fill(now, room, members))
        message = Datagram(self._me.node, body, updates)
        self._actions.append(Send(host, port, message))

    def _gossip(self, now: float) -> None:
        """Send recent updates at once while there are few of them."""
        if self._outbox.has_backlog or not self._outbox.has_news:
            return
        for node in self._pool.sample(GOSSIP_FANOUT):
            if node not in self._suspicions:
                self._send_to(now, node, Gossip())

    def _room(self) -> int:
        return self._cfg.datagram_bytes - OVERHEAD_BYTES

    def _want_sync(self, now: float, node: NodeId) -> None:
        member = self._roster.get(node)
        if member is None or now - self._synced_at < MIN_SYNC_GAP_S:
            return
        self._synced_at = now
        self._actions.append(SyncWanted(member))


def _as_alive(claim: Claim) -> Claim:
    alive = rank_of(MemberState.ALIVE)
    return msgspec.structs.replace(claim, rank=alive)


def _is_dead(claim: Claim) -> bool:
    return claim.state is MemberState.DEAD


def _is_revival(known: Member | None, update: Update) -> bool:
    """Tell whether an update may wait, as those after a cut may."""
    return (
        isinstance(update, Claim)
        and update.state is MemberState.ALIVE
        and known is not None
        and known.state is not MemberState.SUSPECT
    )


def _wire(rumor: Rumor) -> WireRumor:
    return WireRumor(
        rumor.topic,
        rumor.key,
        rumor.version,
        rumor.body,
        int(rumor.ttl_s * 1_000),
        rumor.urgency,
    )
