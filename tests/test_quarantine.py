"""Test that requests that crash targets are quarantined."""

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

SETTINGS = quarantine.QuarantineSettings()
CRASHING = Fingerprint('bad')
HARMLESS = Fingerprint('good')
T0, T1, T2 = (TargetId(f't{index}') for index in range(3))


def make_quarantine(origin='e0', **changes):
    cfg = msgspec.structs.replace(SETTINGS, **changes)
    return quarantine.Quarantine(origin, cfg, random.Random(1))


def sent_rumors(actions):
    return [a.rumor for a in actions if isinstance(a, quarantine.SendRumor)]


@pytest.fixture
def crashed_once():
    """Return a Quarantine after one crash, and the rumors that it sent."""
    entry = make_quarantine()
    assert isinstance(entry.admit(CRASHING, 0.0), quarantine.Lead)
    return entry, sent_rumors(
        entry.record_disconnect(CRASHING, T0, {CRASHING}, 0.002)
    )


@pytest.fixture
def crashed_twice(crashed_once):
    """Return a Quarantine after two crashes, and the rumors of the second."""
    entry, _ = crashed_once
    assert entry.admit(CRASHING, 1.0) == quarantine.Canary(T0)
    return entry, sent_rumors(
        entry.record_disconnect(CRASHING, T1, {CRASHING}, 1.1)
    )


def test_second_crash_quarantines(crashed_twice):
    entry, _ = crashed_twice
    refusal = entry.admit(CRASHING, 1.2)
    assert isinstance(refusal, quarantine.Refuse)
    assert SETTINGS.quarantine_s * 0.9 < refusal.retry_after_s
    assert isinstance(entry.admit(HARMLESS, 1.2), quarantine.Canary)


def test_one_canary_at_a_time(crashed_once):
    entry, _ = crashed_once
    assert isinstance(entry.admit(CRASHING, 1.0), quarantine.Canary)
    waiting = entry.admit(CRASHING, 1.0)
    assert waiting == quarantine.Refuse(SETTINGS.trial_retry_s, on_trial=True)
    entry.end_trial(CRASHING)
    assert isinstance(entry.admit(CRASHING, 1.0), quarantine.Canary)


def test_lost_canary_times_out(crashed_once):
    entry, _ = crashed_once
    entry.admit(CRASHING, 1.0)
    later = 1.1 + SETTINGS.trial_timeout_s
    assert isinstance(entry.admit(CRASHING, later), quarantine.Canary)


def test_success_of_the_canary_clears(crashed_once):
    entry, sent = crashed_once
    other = make_quarantine('e1')
    other.apply_rumor(sent[0], 0.1)
    entry.admit(CRASHING, 1.0)
    actions = entry.record_success(CRASHING, T1, 1.1)
    assert quarantine.Cleared(CRASHING) in actions
    assert entry.admit(CRASHING, 1.2) == quarantine.Allow()
    other.apply_rumor(sent_rumors(actions)[0], 1.3)
    assert other.admit(CRASHING, 1.4) == quarantine.Allow()


def test_release_needs_a_canary_and_repeats_double(crashed_twice):
    entry, _ = crashed_twice
    now, durations = 1.2, []
    for _ in range(8):
        refusal = entry.admit(CRASHING, now)
        durations.append(refusal.retry_after_s)
        now += refusal.retry_after_s + 0.001
        assert isinstance(entry.admit(CRASHING, now), quarantine.Canary)
        entry.record_disconnect(CRASHING, T2, {CRASHING}, now + 0.1)
        now += 0.2
    assert durations[1] > 1.5 * durations[0]
    assert max(durations) <= SETTINGS.max_quarantine_s * (1 + SETTINGS.jitter)


def test_suspicion_and_quarantine_reach_other_entries(crashed_twice):
    entry, sent = crashed_twice
    other = make_quarantine('e1')
    other.apply_rumor(sent[0], 1.2)
    assert isinstance(other.admit(CRASHING, 1.3), quarantine.Refuse)
    assert entry.apply_rumor(sent[0], 1.3) == []


def test_crashes_at_two_entries_add_up(crashed_once):
    _, sent = crashed_once
    other = make_quarantine('e1')
    other.admit(CRASHING, 0.0)
    other.record_disconnect(CRASHING, T1, {CRASHING}, 0.002)
    other.apply_rumor(sent[0], 0.5)
    assert isinstance(other.admit(CRASHING, 0.6), quarantine.Refuse)


def test_old_and_foreign_rumors_are_ignored(crashed_once):
    _, (rumor,) = crashed_once
    other = make_quarantine('e1')
    assert other.apply_rumor(rumor, 0.1)
    assert other.apply_rumor(rumor, 0.2) == []
    malformed = msgspec.structs.replace(rumor, version=9, body=b'\xff')
    assert other.apply_rumor(malformed, 0.3) == []
    large = msgspec.structs.replace(rumor, version=9, body=b'0' * 300)
    assert other.apply_rumor(large, 0.3) == []


def test_rumors_are_small(crashed_twice):
    _, sent = crashed_twice
    assert len(msgspec.msgpack.encode(sent[0])) < 120


def break_all_connections(entry, target, fps, now):
    """Break the connections of several requests to a target at once."""
    return [
        a for fp in fps for a in entry.record_disconnect(fp, target, fps, now)
    ]


def test_restarts_do_not_quarantine_innocents():
    entry = make_quarantine()
    fps = [Fingerprint(f'f{index}') for index in range(10)]
    for fp in fps[:5]:
        entry.record_success(fp, T1, 0.0)
    break_all_connections(entry, T0, fps, 1.0)
    for fp in fps:
        assert isinstance(entry.admit(fp, 1.2), quarantine.Canary)
    actions = break_all_connections(entry, T1, fps, 1.3)
    assert not [a for a in actions if isinstance(a, quarantine.Quarantined)]
    for fp in fps:
        assert isinstance(entry.admit(fp, 1.4), quarantine.Canary)
        entry.record_success(fp, T2, 1.5)
        assert entry.admit(fp, 1.6) == quarantine.Allow()


def test_canary_broken_amid_other_breaks_is_not_blamed_alone(crashed_once):
    entry, _ = crashed_once
    entry.admit(CRASHING, 1.0)
    for index in range(5):
        fps = {Fingerprint(f'f{index}')}
        break_all_connections(entry, TargetId(f'u{index}'), fps, 1.05)
    actions = entry.record_disconnect(CRASHING, T1, {CRASHING}, 1.1)
    assert not [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_what_succeeded_before_is_quarantined_one_crash_later():
    entry = make_quarantine()
    entry.record_success(HARMLESS, T0, 0.0)
    entry.record_disconnect(HARMLESS, T0, {HARMLESS}, 1.0, ends_trial=False)
    for number in range(2):
        now = 2.0 + number
        assert isinstance(entry.admit(HARMLESS, now), quarantine.Canary)
        entry.record_disconnect(
            HARMLESS, TargetId(f'u{number}'), {HARMLESS}, now + 0.1
        )
    assert isinstance(entry.admit(HARMLESS, 4.0), quarantine.Refuse)


def test_only_the_end_of_the_trial_is_blamed(crashed_once):
    entry, _ = crashed_once
    assert isinstance(entry.admit(CRASHING, 1.0), quarantine.Canary)
    for number in range(3):
        older = TargetId(f'u{number}')
        entry.record_disconnect(
            CRASHING, older, {CRASHING}, 1.01, ends_trial=False
        )
    assert entry.admit(CRASHING, 1.02).on_trial
    actions = entry.record_disconnect(CRASHING, T1, {CRASHING}, 1.1)
    assert [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_reports_of_one_break_by_two_entries_are_one():
    entry = make_quarantine()
    in_flight = {CRASHING, Fingerprint('beside')}
    for now, target in ((0.0, T0), (1.0, T1)):
        assert not isinstance(entry.admit(CRASHING, now), quarantine.Refuse)
        entry.record_disconnect(
            HARMLESS, target, {HARMLESS}, now + 0.01, ends_trial=False
        )
        actions = entry.record_disconnect(
            CRASHING, target, in_flight, now + 0.01
        )
    assert [a for a in actions if isinstance(a, quarantine.Quarantined)]


def test_memory_is_bounded():
    entry = make_quarantine(max_suspects=10, max_proven=10)
    for index in range(100):
        fp = Fingerprint(f'f{index}')
        entry.record_disconnect(fp, TargetId(f't{index}'), {fp}, index * 0.1)
        entry.record_success(Fingerprint(f'g{index}'), T0, 0.0)
        entry.admit(Fingerprint(f'h{index}'), 0.0)
    assert entry.suspects == 10
    assert len(entry._proven) == 10
    assert len(entry._trials) <= 10


def test_only_what_is_undecided_is_asked_at_the_home(crashed_twice):
    entry, _ = crashed_twice
    assert isinstance(
        entry.decide_without_trial(CRASHING, 1.2), quarantine.Refuse
    )
    assert entry.decide_without_trial(HARMLESS, 1.2) is None
    entry.record_success(HARMLESS, T0, 1.3)
    assert entry.decide_without_trial(HARMLESS, 1.4) == quarantine.Allow()


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

    def fingerprint_of_query(match, keys=None, to=service):
        body = QueryBody(match=msgspec.Raw(match), keys=keys)
        return quarantine.fingerprint(to, body)

    assert fingerprint_of_query(b'{"a":1,"b":2}') == fingerprint_of_query(
        b'{"b": 2, "a": 1}'
    )
    assert fingerprint_of_query(b'{}', ('x', 'y')) == fingerprint_of_query(
        b'{}', ('y', 'x')
    )
    assert fingerprint_of_query(b'{"a":1}') != fingerprint_of_query(b'{"a":2}')
    assert fingerprint_of_query(b'{}') != fingerprint_of_query(
        b'{}', to=ServiceName('roster')
    )
    booking = BookingBody('k', msgspec.Raw(b'{}'))
    assert quarantine.fingerprint(service, booking) != fingerprint_of_query(
        b'{}'
    )


class SimulatedFleet:
    """Simulate entries that get a crashing request and harmless ones.

    Each number of the schedule selects the entry and the event of one step.
    Rumors reach all entries before the next step.
    """

    def __init__(self, quarantine_type, schedule):
        rng = random.Random(1)
        self.entries = [
            quarantine_type(f'e{i}', SETTINGS, rng) for i in range(4)
        ]
        self.schedule = schedule
        self.now = 0.0
        self.crashes = 0
        self.running = [set() for _ in self.entries]
        self.refused = set()

    def run(self):
        for number, event in enumerate(self.schedule):
            self.now += 0.1
            index = event % 4
            fp = Fingerprint(f'i{event // 4 % 5}')
            match event // 20 % 4:
                case 0 | 1:
                    self.send_harmless(index, fp)
                case 2:
                    self.complete_all(index)
                case 3:
                    self.send_crashing(index, TargetId(f't{number}'))
        return self

    def send_harmless(self, index, fp):
        """Send a harmless request; if it is on trial, it succeeds at once."""
        match self.entries[index].admit(fp, self.now):
            case quarantine.Allow():
                self.running[index].add(fp)
            case quarantine.Refuse():
                self.refused.add(fp)
            case _:
                self.complete(index, fp)

    def complete_all(self, index):
        while self.running[index]:
            self.complete(index, self.running[index].pop())

    def complete(self, index, fp):
        entry = self.entries[index]
        self.deliver_rumors(entry, entry.record_success(fp, T0, self.now))

    def send_crashing(self, index, target):
        """Send the crashing request; it breaks the entry's connections."""
        entry = self.entries[index]
        if isinstance(entry.admit(CRASHING, self.now), quarantine.Refuse):
            return
        self.crashes += 1
        in_flight = {CRASHING, *self.running[index]}
        for fp in sorted(in_flight):
            actions = entry.record_disconnect(fp, target, in_flight, self.now)
            self.deliver_rumors(entry, actions)

    def deliver_rumors(self, origin, actions):
        for entry in self.entries:
            if entry is not origin:
                for rumor in sent_rumors(actions):
                    entry.apply_rumor(rumor, self.now)


class FleetWithHomes(SimulatedFleet):
    """Simulate entries that ask a fingerprint's home for decisions.

    The rumors about the result of a request are delivered only after 12
    further results, so the home's decisions alone have to limit the crashes.
    """

    nodes = tuple(NodeId(f'e{index}') for index in range(4))

    def __init__(self, quarantine_type, schedule):
        super().__init__(quarantine_type, schedule)
        self.delayed = collections.deque()

    def home(self, fp, index):
        return self.entries[int(quarantine.home(fp, self.nodes)[1:])]

    def admit(self, index, fp):
        decided = self.entries[index].decide_without_trial(fp, self.now)
        return decided or self.home(fp, index).admit(fp, self.now)

    def send_harmless(self, index, fp):
        match self.admit(index, fp):
            case quarantine.Allow():
                self.running[index].add(fp)
            case quarantine.Refuse():
                self.refused.add(fp)
            case _:
                self.complete(index, fp)

    def complete(self, index, fp):
        home = self.home(fp, index)
        self.deliver_rumors(home, home.record_success(fp, T0, self.now))
        self.entries[index].record_success(fp, T0, self.now)

    def send_crashing(self, index, target):
        if isinstance(self.admit(index, CRASHING), quarantine.Refuse):
            return
        self.crashes += 1
        in_flight = {CRASHING, *self.running[index]}
        for fp in sorted(in_flight):
            home = self.home(fp, index)
            actions = home.record_disconnect(fp, target, in_flight, self.now)
            self.deliver_rumors(home, actions)

    def deliver_rumors(self, origin, actions):
        self.delayed.append((origin, actions))
        if len(self.delayed) > 12:
            super().deliver_rumors(*self.delayed.popleft())


class FleetWithoutHomes(FleetWithHomes):
    """Simulate entries that decide on trials themselves, without a home."""

    def home(self, fp, index):
        return self.entries[index]


class IgnoresRumors(quarantine.Quarantine):
    """Ignore rumors from other entries, as a fault for check_fleet()."""

    def apply_rumor(self, rumor, now):
        return []


class NeverQuarantines(quarantine.Quarantine):
    """Never quarantine a fingerprint, as a fault for check_fleet()."""

    def _quarantine_if_due(self, fp, suspect, now):
        return []


class BlamesAllRequests(quarantine.Quarantine):
    """Blame each request in flight for any failure, even harmless ones."""

    def _quarantine_if_due(self, fp, suspect, now):
        for evidence in suspect.evidence_by_origin.values():
            evidence.blame = 9.0
        return super()._quarantine_if_due(fp, suspect, now)


def check_fleet(quarantine_type, fleet_type=SimulatedFleet):
    for seed in range(1_000):
        rng = random.Random(seed)
        schedule = [rng.getrandbits(8) for _ in range(40)]
        fleet = fleet_type(quarantine_type, schedule).run()
        assert fleet.crashes <= 2, f'seed {seed}'
        assert not fleet.refused, f'seed {seed}'


def test_one_fingerprint_takes_two_targets_and_no_innocents():
    check_fleet(quarantine.Quarantine)


def test_a_home_needs_no_rumors_to_keep_it_at_two_targets():
    check_fleet(quarantine.Quarantine, FleetWithHomes)


def test_the_check_catches_the_lack_of_a_home():
    with pytest.raises(AssertionError):
        check_fleet(quarantine.Quarantine, FleetWithoutHomes)


@pytest.mark.parametrize(
    'faulty_type', [IgnoresRumors, NeverQuarantines, BlamesAllRequests]
)
def test_the_check_catches(faulty_type):
    with pytest.raises(AssertionError):
        check_fleet(faulty_type)
