"""Test that a request which crashes targets is held back."""

from __future__ import annotations

import collections
import random

import msgspec
import pytest

from sesameward.messages import BookingBody
from sesameward.messages import QueryBody
from sesameward.quarantine import quarantine
from sesameward.types import Fingerprint
from sesameward.types import NodeId
from sesameward.types import ServiceName
from sesameward.types import TargetId

CFG = quarantine.QuarantineSettings()
BAD = Fingerprint('bad')
GOOD = Fingerprint('good')
T0, T1, T2 = (TargetId(f't{index}') for index in range(3))


def make(origin='e0', **changes):
    cfg = msgspec.structs.replace(CFG, **changes)
    return quarantine.Quarantine(origin, cfg, random.Random(1))


def rumors(actions):
    return [a.rumor for a in actions if isinstance(a, quarantine.Spread)]


@pytest.fixture
def crashed_once():
    """Return a quarantine that saw one crash, and its rumors."""
    local = make()
    assert isinstance(local.admit(BAD, 0.0), quarantine.Lead)
    return local, rumors(local.broke(BAD, T0, {BAD}, 0.002))


@pytest.fixture
def crashed_twice(crashed_once):
    """Return a quarantine whose canary crashed too, and its rumors."""
    local, _ = crashed_once
    assert local.admit(BAD, 1.0) == quarantine.Canary(T0)
    return local, rumors(local.broke(BAD, T1, {BAD}, 1.1))


def test_second_crash_quarantines(crashed_twice):
    local, _ = crashed_twice
    refusal = local.admit(BAD, 1.2)
    assert isinstance(refusal, quarantine.Refuse)
    assert CFG.quarantine_s * 0.9 < refusal.retry_after_s
    assert isinstance(local.admit(GOOD, 1.2), quarantine.Canary)


def test_one_canary_at_a_time(crashed_once):
    local, _ = crashed_once
    assert isinstance(local.admit(BAD, 1.0), quarantine.Canary)
    waiting = local.admit(BAD, 1.0)
    assert waiting == quarantine.Refuse(CFG.trial_retry_s, on_trial=True)
    local.ended(BAD)
    assert isinstance(local.admit(BAD, 1.0), quarantine.Canary)


def test_lost_canary_times_out(crashed_once):
    local, _ = crashed_once
    local.admit(BAD, 1.0)
    later = 1.1 + CFG.trial_timeout_s
    assert isinstance(local.admit(BAD, later), quarantine.Canary)


def test_success_of_the_canary_clears(crashed_once):
    local, heard = crashed_once
    other = make('e1')
    other.heard(heard[0], 0.1)
    local.admit(BAD, 1.0)
    actions = local.succeeded(BAD, T1, 1.1)
    assert quarantine.Cleared(BAD) in actions
    assert local.admit(BAD, 1.2) == quarantine.Allow()
    other.heard(rumors(actions)[0], 1.3)
    assert other.admit(BAD, 1.4) == quarantine.Allow()


def test_release_needs_a_canary_and_repeats_double(crashed_twice):
    local, _ = crashed_twice
    now, waits = 1.2, []
    for _ in range(8):
        refusal = local.admit(BAD, now)
        waits.append(refusal.retry_after_s)
        now += refusal.retry_after_s + 0.001
        assert isinstance(local.admit(BAD, now), quarantine.Canary)
        local.broke(BAD, T2, {BAD}, now + 0.1)
        now += 0.2
    assert waits[1] > 1.5 * waits[0]
    assert max(waits) <= CFG.max_quarantine_s * (1 + CFG.jitter)


def test_suspicion_and_quarantine_reach_other_entries(crashed_twice):
    local, heard = crashed_twice
    other = make('e1')
    other.heard(heard[0], 1.2)
    assert isinstance(other.admit(BAD, 1.3), quarantine.Refuse)
    assert local.heard(heard[0], 1.3) == []


def test_crashes_at_two_entries_add_up(crashed_once):
    _, heard = crashed_once
    other = make('e1')
    other.admit(BAD, 0.0)
    other.broke(BAD, T1, {BAD}, 0.002)
    other.heard(heard[0], 0.5)
    assert isinstance(other.admit(BAD, 0.6), quarantine.Refuse)


def test_old_and_foreign_rumors_are_ignored(crashed_once):
    _, (rumor,) = crashed_once
    other = make('e1')
    assert other.heard(rumor, 0.1)
    assert other.heard(rumor, 0.2) == []
    broken = msgspec.structs.replace(rumor, version=9, body=b'\xff')
    assert other.heard(broken, 0.3) == []
    large = msgspec.structs.replace(rumor, version=9, body=b'0' * 300)
    assert other.heard(large, 0.3) == []


def test_rumors_are_small(crashed_twice):
    _, heard = crashed_twice
    assert len(msgspec.msgpack.encode(heard[0])) < 120


def restart(local, target, fps, now):
    """Break all connections of a target at once."""
    return [a for fp in fps for a in local.broke(fp, target, fps, now)]


def test_restarts_do_not_quarantine_innocents():
    local = make()
    fps = [Fingerprint(f'f{index}') for index in range(10)]
    for fp in fps[:5]:
        local.succeeded(fp, T1, 0.0)
    restart(local, T0, fps, 1.0)
    for fp in fps:
        assert isinstance(local.admit(fp, 1.2), quarantine.Canary)
    actions = restart(local, T1, fps, 1.3)
    assert not [a for a in actions if isinstance(a, quarantine.Quarantined)]
    for fp in fps:
        assert isinstance(local.admit(fp, 1.4), quarantine.Canary)
        local.succeeded(fp, T2, 1.5)
        assert local.admit(fp, 1.6) == quarantine.Allow()


def test_canary_broken_amid_other_breaks_is_not_blamed_alone(crashed_once):
    local, _ = crashed_once
    local.admit(BAD, 1.0)
    for index in range(5):
        fps = {Fingerprint(f'f{index}')}
        restart(local, TargetId(f'u{index}'), fps, 1.05)
    actions = local.broke(BAD, T1, {BAD}, 1.1)
    assert not [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_what_succeeded_before_is_quarantined_one_crash_later():
    local = make()
    local.succeeded(GOOD, T0, 0.0)
    local.broke(GOOD, T0, {GOOD}, 1.0, tried=False)
    for number in range(2):
        now = 2.0 + number
        assert isinstance(local.admit(GOOD, now), quarantine.Canary)
        local.broke(GOOD, TargetId(f'u{number}'), {GOOD}, now + 0.1)
    assert isinstance(local.admit(GOOD, 4.0), quarantine.Refuse)


def test_only_the_end_of_the_trial_is_blamed(crashed_once):
    local, _ = crashed_once
    assert isinstance(local.admit(BAD, 1.0), quarantine.Canary)
    for number in range(3):
        older = TargetId(f'u{number}')
        local.broke(BAD, older, {BAD}, 1.01, tried=False)
    assert local.admit(BAD, 1.02).on_trial
    actions = local.broke(BAD, T1, {BAD}, 1.1)
    assert [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_reports_of_one_break_by_two_entries_are_one():
    local = make()
    beside = {BAD, Fingerprint('beside')}
    for now, target in ((0.0, T0), (1.0, T1)):
        assert not isinstance(local.admit(BAD, now), quarantine.Refuse)
        local.broke(GOOD, target, {GOOD}, now + 0.01, tried=False)
        actions = local.broke(BAD, target, beside, now + 0.01)
    assert [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_memory_is_bounded():
    local = make(max_suspects=10, max_proven=10)
    for index in range(100):
        fp = Fingerprint(f'f{index}')
        local.broke(fp, TargetId(f't{index}'), {fp}, index * 0.1)
        local.succeeded(Fingerprint(f'g{index}'), T0, 0.0)
        local.admit(Fingerprint(f'h{index}'), 0.0)
    assert local.suspects == 10
    assert len(local._proven) == 10
    assert len(local._trials) <= 10


def test_only_what_is_undecided_is_asked_at_the_home(crashed_twice):
    local, _ = crashed_twice
    assert isinstance(local.decided(BAD, 1.2), quarantine.Refuse)
    assert local.decided(GOOD, 1.2) is None
    local.succeeded(GOOD, T0, 1.3)
    assert local.decided(GOOD, 1.4) == quarantine.Allow()


def test_homes_are_spread_and_stay():
    nodes = [NodeId(f'e{index}') for index in range(5)]
    fps = [Fingerprint(str(index)) for index in range(500)]
    homes = {fp: quarantine.home(fp, nodes) for fp in fps}
    counts = collections.Counter(homes.values())
    assert min(counts.values()) > 60
    fewer = nodes[1:]
    for fp, home in homes.items():
        if home in fewer:
            assert quarantine.home(fp, reversed(fewer)) == home


def test_admission_is_carried_in_a_message():
    for admission in (
        quarantine.Allow(),
        quarantine.Lead(0.05),
        quarantine.Canary(T0),
        quarantine.Refuse(0.02, on_trial=True),
    ):
        data = msgspec.msgpack.encode(admission)
        decoder = msgspec.msgpack.Decoder(quarantine.Admission)
        assert decoder.decode(data) == admission


def test_fingerprint_is_of_the_content():
    service = ServiceName('trip-desk')

    def of(match, keys=None, to=service):
        body = QueryBody(match=msgspec.Raw(match), keys=keys)
        return quarantine.fingerprint(to, body)

    assert of(b'{"a":1,"b":2}') == of(b'{"b": 2, "a": 1}')
    assert of(b'{}', ('x', 'y')) == of(b'{}', ('y', 'x'))
    assert of(b'{"a":1}') != of(b'{"a":2}')
    assert of(b'{}') != of(b'{}', to=ServiceName('roster'))
    booking = BookingBody('k', msgspec.Raw(b'{}'))
    assert quarantine.fingerprint(service, booking) != of(b'{}')


class Fleet:
    """Run a caller that sends the poison to one entry after another.

    Innocent requests run beside it. Rumors arrive before the next event.
    """

    def __init__(self, quarantine_type, schedule):
        rng = random.Random(1)
        self.entries = [quarantine_type(f'e{i}', CFG, rng) for i in range(4)]
        self.schedule = schedule
        self.now = 0.0
        self.crashes = 0
        self.running = [set() for _ in self.entries]
        self.refused = set()

    def run(self):
        for number, choice in enumerate(self.schedule):
            self.now += 0.1
            index = choice % 4
            fp = Fingerprint(f'i{choice // 4 % 5}')
            match choice // 20 % 4:
                case 0 | 1:
                    self.begin(index, fp)
                case 2:
                    self.end(index)
                case 3:
                    self.poison(index, TargetId(f't{number}'))
        return self

    def begin(self, index, fp):
        """Let an innocent run on all targets, alone if it is on trial."""
        match self.entries[index].admit(fp, self.now):
            case quarantine.Allow():
                self.running[index].add(fp)
            case quarantine.Refuse():
                self.refused.add(fp)
            case _:
                self.succeed(index, fp)

    def end(self, index):
        while self.running[index]:
            self.succeed(index, self.running[index].pop())

    def succeed(self, index, fp):
        local = self.entries[index]
        self.spread(local, local.succeeded(fp, T0, self.now))

    def poison(self, index, target):
        """Crash a target under the poison and all that runs there."""
        local = self.entries[index]
        if isinstance(local.admit(BAD, self.now), quarantine.Refuse):
            return
        self.crashes += 1
        in_flight = {BAD, *self.running[index]}
        for fp in sorted(in_flight):
            actions = local.broke(fp, target, in_flight, self.now)
            self.spread(local, actions)

    def spread(self, origin, actions):
        for local in self.entries:
            if local is not origin:
                for rumor in rumors(actions):
                    local.heard(rumor, self.now)


class HomedFleet(Fleet):
    """Ask the home for what is undecided; rumors arrive much later.

    An answer is never held back until others know, so the home has to do.
    """

    nodes = tuple(NodeId(f'e{index}') for index in range(4))

    def __init__(self, quarantine_type, schedule):
        super().__init__(quarantine_type, schedule)
        self.late = collections.deque()

    def home(self, fp, index):
        return self.entries[int(quarantine.home(fp, self.nodes)[1:])]

    def admit(self, index, fp):
        decided = self.entries[index].decided(fp, self.now)
        return decided or self.home(fp, index).admit(fp, self.now)

    def begin(self, index, fp):
        match self.admit(index, fp):
            case quarantine.Allow():
                self.running[index].add(fp)
            case quarantine.Refuse():
                self.refused.add(fp)
            case _:
                self.succeed(index, fp)

    def succeed(self, index, fp):
        home = self.home(fp, index)
        self.spread(home, home.succeeded(fp, T0, self.now))
        self.entries[index].succeeded(fp, T0, self.now)

    def poison(self, index, target):
        if isinstance(self.admit(index, BAD), quarantine.Refuse):
            return
        self.crashes += 1
        in_flight = {BAD, *self.running[index]}
        for fp in sorted(in_flight):
            home = self.home(fp, index)
            actions = home.broke(fp, target, in_flight, self.now)
            self.spread(home, actions)

    def spread(self, origin, actions):
        self.late.append((origin, actions))
        if len(self.late) > 12:
            super().spread(*self.late.popleft())


class NoHomeFleet(HomedFleet):
    """Let each entry decide for itself."""

    def home(self, fp, index):
        return self.entries[index]


class IgnoresRumors(quarantine.Quarantine):
    """Ignore what other entries say."""

    def heard(self, rumor, now):
        return []


class NeverJudges(quarantine.Quarantine):
    """Never judge."""

    def _judge(self, fp, suspect, now):
        return []


class BlamesAllAlike(quarantine.Quarantine):
    """Blame all requests in flight alike for any break."""

    def _judge(self, fp, suspect, now):
        for blame in suspect.by_origin.values():
            blame.blame = 9.0
        return super()._judge(fp, suspect, now)


def check_fleet(quarantine_type, fleet_type=Fleet):
    for seed in range(1_000):
        rng = random.Random(seed)
        schedule = [rng.getrandbits(8) for _ in range(40)]
        fleet = fleet_type(quarantine_type, schedule).run()
        assert fleet.crashes <= 2, f'seed {seed}'
        assert not fleet.refused, f'seed {seed}'


def test_one_fingerprint_takes_two_targets_and_no_innocents():
    check_fleet(quarantine.Quarantine)


def test_a_home_needs_no_rumors_to_keep_it_at_two_targets():
    check_fleet(quarantine.Quarantine, HomedFleet)


def test_the_check_catches_the_lack_of_a_home():
    with pytest.raises(AssertionError):
        check_fleet(quarantine.Quarantine, NoHomeFleet)


@pytest.mark.parametrize(
    'broken', [IgnoresRumors, NeverJudges, BlamesAllAlike]
)
def test_the_check_catches(broken):
    with pytest.raises(AssertionError):
        check_fleet(broken)
