"""Test how many permits a coordinator grants, and who uses a share when."""

import pytest

from sesameward.messages import Member
from sesameward.serving.coordinator_choice import CALL_TIMEOUT_S
from sesameward.serving.coordinator_choice import CoordinatorChoice
from sesameward.serving.coordinator_choice import MAX_FAILED_CALLS
from sesameward.serving.coordinator_choice import RETRY_BASE_S
from sesameward.serving.limit_messages import LimitAnswer
from sesameward.serving.limit_messages import LimitRequest
from sesameward.serving.permit_ledger import PermitLedger
from sesameward.serving.permit_ledger import SHARE_TTL_S
from sesameward.serving.target_limits import Denial
from sesameward.serving.target_limits import FULL_SHARE_AFTER_S
from sesameward.serving.target_limits import Permit
from sesameward.serving.target_limits import PERMIT_TTL_S
from sesameward.serving.target_limits import TargetLimits

NOW = 100.0
LIMIT = 8.5


@pytest.fixture
def make_ledger():
    """Return a function that makes a ledger with the shares of some nodes."""

    def make(nodes, shares):
        ledger = PermitLedger()
        ledger.set_nodes(nodes)
        for n in range(shares):
            ledger.entrust(f'n{n}', 1.0, NOW)
        return ledger

    return make


def granted(ledger, limit, now, needed=1_000, priority=0):
    return ledger.grant('t', limit, 'n0', needed, 0, priority, now).permits


@pytest.mark.parametrize(('shares', 'part'), [(5, 1.0), (2, 0.4), (0, 0.0)])
def test_ledger_grants_the_part_of_the_shares_it_holds(
    make_ledger, shares, part
):
    ledger = make_ledger(5, shares)
    granted(ledger, 100.0, NOW)
    assert ledger.part(NOW) == pytest.approx(part)
    expected = 100.0 * 0.95 * part * 0.2
    assert granted(ledger, 100.0, NOW + 0.2) == int(expected)


def test_shares_end_unless_entrusted_again(make_ledger):
    ledger = make_ledger(5, 5)
    ledger.entrust('n0', 1.0, NOW + 0.5)
    assert ledger.part(NOW + SHARE_TTL_S) == pytest.approx(0.2)
    ledger.withdraw('n0')
    assert ledger.part(NOW + SHARE_TTL_S) == 0.0


def test_ledger_that_gave_all_shares_back_grants_nothing(make_ledger):
    ledger = make_ledger(5, 0)
    for n in range(3):
        ledger.entrust(f'n{n}', 0.1, NOW)
    for n in range(3):
        ledger.withdraw(f'n{n}')
    assert ledger.part(NOW) == 0.0


def test_shares_entrusted_later_do_not_count_for_the_past(make_ledger):
    ledger = make_ledger(5, 1)
    granted(ledger, 100.0, NOW)
    for n in range(1, 5):
        ledger.entrust(f'n{n}', 1.0, NOW + 0.5)
    assert granted(ledger, 100.0, NOW + 0.5) == int(100.0 * 0.95 * 0.2 * 0.5)


# Each of 300 nodes with its own share of a limit of 0.5 would send a request.
@pytest.mark.parametrize(('nodes', 'is_granted'), [(5, True), (300, False)])
def test_own_share_of_a_small_limit(make_ledger, nodes, is_granted):
    ledger = make_ledger(nodes, 1)
    granted(ledger, 0.5, NOW)
    found = 0
    for n in range(2_000):
        ledger.entrust('n0', 1.0, NOW + n)
        found += granted(ledger, 0.5, NOW + n)
    assert (found > 0) is is_granted


def test_higher_priority_keeps_a_reserve(make_ledger):
    ledger = make_ledger(1, 1)
    granted(ledger, 10.0, NOW, needed=0, priority=0)
    granted(ledger, 10.0, NOW, needed=0, priority=1)
    lower = granted(ledger, 10.0, NOW + 0.3, priority=1)
    higher = granted(ledger, 10.0, NOW + 0.3, priority=0)
    assert higher > lower


@pytest.fixture
def members():
    return tuple(Member(f'n{n}', 'z', 'h', 1, 2, 3) for n in range(5))


@pytest.fixture
def coordinator(members):
    """Return the name of the node that the others take."""
    order = TargetLimits('n0', 'n0:1', 0.0)
    order.next_call(members, NOW)
    return order.coordinator


@pytest.fixture
def node(members, coordinator):
    """Return a node that is not the coordinator and knows of a limit."""
    name = 'n1' if coordinator == 'n0' else 'n0'
    limits = TargetLimits(name, f'{name}:1', 0.0)
    limits.set_nodes(5, NOW)
    limits.record_reply('t', 1, LIMIT, NOW)
    return limits


def answer_call(limits, call, now, origin='c:1'):
    """Let a coordinator without other nodes answer a call."""
    name = call.coordinator
    server = TargetLimits(name, origin, 0.0)
    limits.on_answer(call, server.answer(call.request, now), now)


def test_share_is_used_in_one_place_at_a_time(node, members, coordinator):
    call = node.next_call(members, NOW)
    assert call.coordinator == coordinator
    left = tuple(m for m in members if m.node != coordinator)
    until = NOW + CALL_TIMEOUT_S + SHARE_TTL_S
    assert node.next_call(left, until - 0.01) is None
    assert node.part(until - 0.01) == 0.0
    assert node.acquire('t', 0, until - 0.01) is Denial.NONE_LEFT
    assert node.coordinator == coordinator
    node.next_call(left, until)
    assert node.coordinator != coordinator


def test_node_that_entrusts_its_share_uses_it_no_longer(node, members):
    node.next_call((), NOW)
    assert node.part(NOW) == pytest.approx(0.2)
    assert node.next_call(members, NOW + 0.1) is not None
    assert node.part(NOW + 0.1) == 0.0


def test_share_is_taken_back_from_a_coordinator_that_answers(
    node, members, coordinator
):
    answer_call(node, node.next_call(members, NOW), NOW)
    other = Member('before-all', 'z', 'h', 1, 2, 3)
    newcomers = [Member(f'new-{n}', 'z', 'h', 1, 2, 3) for n in range(100)]
    grown = (*members, other, *newcomers)
    last = node.next_call(grown, NOW + 0.4)
    assert last.coordinator == coordinator
    assert last.request.is_last
    # A request for permits does not entrust the share again meanwhile.
    assert node.permit_call([('t', 0, 1)], NOW + 0.4).request.is_last
    answer_call(node, last, NOW + 0.41)
    moved = node.next_call(grown, NOW + 0.42)
    assert moved.coordinator != coordinator
    assert not moved.request.is_last
    assert [one.target_id for one in moved.request.evidence] == ['t']


def test_coordinator_that_leaves_gives_the_shares_back(
    node, members, coordinator
):
    call = node.next_call(members, NOW)
    server = TargetLimits(coordinator, 'c:1', 0.0)
    server.set_nodes(5, NOW)
    server.stop()
    node.on_answer(call, server.answer(call.request, NOW), NOW)
    assert server.part(NOW) == 0.0
    assert node.next_call(members, NOW + 0.01).coordinator != coordinator


def test_coordinator_that_started_again_is_told_all_limits(node, members):
    answer_call(node, node.next_call(members, NOW), NOW)
    second = node.next_call(members, NOW + 0.4)
    assert second.request.evidence == ()
    answer_call(node, second, NOW + 0.5, origin='c:2')
    (told,) = node.next_call(members, NOW + 0.8).request.evidence
    assert (told.target_id, told.limit) == ('t', LIMIT)


def test_node_has_a_smaller_share_just_after_its_start(members):
    limits = TargetLimits('n0', 'n0:1', NOW)
    limits.set_nodes(1, NOW)
    alone = members[:1]
    limits.next_call(alone, NOW + FULL_SHARE_AFTER_S / 4)
    assert limits.part(NOW + FULL_SHARE_AFTER_S / 4) == pytest.approx(0.25)
    limits.next_call(alone, NOW + FULL_SHARE_AFTER_S)
    assert limits.part(NOW + FULL_SHARE_AFTER_S) == 1.0


def test_permit_expires(node, members):
    call = node.next_call(members, NOW)
    answer_call(node, call, NOW)
    permit = Permit('t', NOW + PERMIT_TTL_S)
    assert node.is_valid(permit, NOW + PERMIT_TTL_S - 0.01)
    assert not node.is_valid(permit, NOW + PERMIT_TTL_S)


def test_limit_named_while_a_request_waits_requires_a_permit():
    limits = TargetLimits('n0', 'n0:1', 0.0)
    permit = limits.acquire('t', 0, NOW)
    assert limits.is_valid(permit, NOW)
    limits.record_reply('t', 1, LIMIT, NOW)
    assert not limits.is_valid(permit, NOW)


def test_permit_of_a_request_that_was_not_sent_serves_another(node, members):
    answer_call(node, node.next_call(members, NOW), NOW)
    node.give_back(Permit('t', NOW + PERMIT_TTL_S), NOW)
    assert node.wait_s('t', 0, NOW) == 0.0
    assert isinstance(node.acquire('t', 0, NOW), Permit)
    assert node.acquire('t', 0, NOW) is Denial.REMOTE


def test_suspended_node_uses_no_old_permit_or_share(node, members):
    answer_call(node, node.next_call(members, NOW), NOW)
    node.give_back(Permit('t', NOW + PERMIT_TTL_S), NOW)
    node.reset(NOW)
    assert node.acquire('t', 0, NOW) is Denial.REMOTE
    asked = LimitRequest('n4', 1.0, False, 5, '', 0)
    node.answer(asked, NOW)
    assert node.part(NOW) > 0.0
    node.reset(NOW)
    assert node.part(NOW) == 0.0


def fail_calls(node, members):
    for _ in range(MAX_FAILED_CALLS):
        node.on_failure(node.next_call(members, NOW), NOW)


def test_coordinator_that_does_not_answer_gets_no_share(
    node, members, coordinator
):
    fail_calls(node, members)
    expires_at = NOW + CALL_TIMEOUT_S + SHARE_TTL_S
    for now in (NOW + 0.5, expires_at - 0.01):
        call = node.next_call(members, now)
        assert call.coordinator == coordinator
        assert call.request.is_last
        assert node.permit_call([('t', 0, 1)], now) is None
        node.on_failure(call, now)
    moved = node.next_call(members, expires_at)
    assert moved.coordinator != coordinator
    assert not moved.request.is_last


# A coordinator that had paused for less than the time for which it held the
# shares was avoided for two seconds, while the limit was hardly used.
def test_coordinator_that_only_paused_gets_the_share_again(
    node, members, coordinator
):
    fail_calls(node, members)
    call = node.next_call(members, NOW + 0.5)
    assert call.request.is_last
    answer = LimitAnswer(False, 5, 'o', 0)
    node.on_answer(call, answer, NOW + 0.51)
    again = node.next_call(members, NOW + 0.53)
    assert again.coordinator == coordinator
    assert not again.request.is_last
    node.on_answer(again, LimitAnswer(True, 5, 'o', 0), NOW + 0.54)
    assert node.permit_call([('t', 0, 1)], NOW + 0.55) is not None


def test_coordinator_that_stops_is_not_asked_again(node, members, coordinator):
    call = node.next_call(members, NOW)
    assert call.coordinator == coordinator
    node.on_answer(call, LimitAnswer(False, 5, 'o', 0), NOW + 0.01)
    moved = node.next_call(members, NOW + 0.03)
    assert moved is None or moved.coordinator != coordinator


def test_coordinator_that_goes_on_failing_is_avoided_for_longer(
    members, coordinator
):
    choice = CoordinatorChoice('n1' if coordinator == 'n0' else 'n0')
    choice.next_step(members, NOW)
    for _ in range(MAX_FAILED_CALLS):
        choice.record_failure(NOW)
    assert choice.holder == coordinator
    assert not choice.is_usable(NOW + RETRY_BASE_S - 0.1)
    assert choice.is_usable(NOW + RETRY_BASE_S)
    choice.record_failure(NOW + RETRY_BASE_S)
    assert not choice.is_usable(NOW + 3 * RETRY_BASE_S - 0.1)
    assert choice.is_usable(NOW + 3 * RETRY_BASE_S)
