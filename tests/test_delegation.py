"""Check which nodes of other zones are chosen as helpers."""

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.placement.relays import RelayPair
from sesameward.placement.relays import RelayRole
from sesameward.serving.delegation import Delegation
from sesameward.serving.delegation import HELPER_QUIET_AFTER_S
from sesameward.serving.delegation import HELPER_RETRY_S
from sesameward.serving.delegation import ONLY_HELPER_QUIET_AFTER_S
from sesameward.types import MemberState


def member(node, zone, **kwargs):
    entry = Address(node, 'h', 1, zone, 1.0)
    return Member(node, zone, 'h', 1, 2, 3, **({'entries': (entry,)} | kwargs))


@pytest.fixture
def delegation():
    delegation = Delegation('me', 'z')
    delegation.set_members(
        (
            member('me', 'z'),
            member('near', 'z'),
            member('b1', 'b'),
            member('b2', 'b'),
            member('c1', 'c'),
        )
    )
    return delegation


def test_own_zone_needs_no_helper(delegation):
    assert delegation.choose_helper('z', 0.0) is None


def test_zone_without_nodes_has_no_helper(delegation):
    assert delegation.choose_helper('d', 0.0) is None


def test_helper_with_fewest_open_batches_is_chosen(delegation):
    delegation.batch_sent('b1', 1, 0.0)
    assert delegation.choose_helper('b', 0.0).node == 'b2'


@pytest.mark.parametrize(
    'change',
    [
        {'leaving': True},
        {'entries': ()},
        {'state': MemberState.SUSPECT},
        {'reaches_targets': False},
    ],
)
def test_nodes_that_can_not_serve_do_not_help(delegation, change):
    delegation.set_members((member('c1', 'c', **change),))
    assert delegation.choose_helper('c', 0.0) is None


def test_silent_helper_is_left_alone_and_tried_again(delegation):
    delegation.batch_sent('c1', 1, 0.0)
    assert delegation.choose_helper('c', HELPER_QUIET_AFTER_S / 2) is not None
    late = HELPER_QUIET_AFTER_S * 1.1
    assert delegation.choose_helper('c', late) is None
    assert delegation.choose_helper('c', late + HELPER_RETRY_S / 2) is None
    delegation.batch_ended('c1', 1)
    assert delegation.choose_helper('c', late + HELPER_RETRY_S) is not None


def test_helper_that_answers_others_is_not_silent(delegation):
    delegation.batch_sent('c1', 1, 0.0)
    delegation.message_received('c1', HELPER_QUIET_AFTER_S)
    assert (
        delegation.choose_helper('c', 1.5 * HELPER_QUIET_AFTER_S) is not None
    )


def test_lost_helper_is_left_alone_for_a_while(delegation):
    delegation.connection_lost('c1', 0.0)
    assert delegation.choose_helper('c', HELPER_RETRY_S / 2) is None
    assert delegation.choose_helper('c', HELPER_RETRY_S) is not None


# A helper without connections refuses at once, so it has the fewest batches.
def test_helper_without_connections_is_not_preferred(delegation):
    delegation.batch_sent('b2', 1, 0.0)
    delegation.message_received('b2', 0.0)
    delegation.record_no_links('b1', 0.0)
    assert delegation.choose_helper('b', HELPER_QUIET_AFTER_S).node == 'b2'
    assert delegation.choose_helper('b', HELPER_RETRY_S).node == 'b1'


# A node that was cut off refused all requests for HELPER_RETRY_S: its only
# helpers had said once that they could not send. A target had crashed, and
# they were not yet sure of their own connections.
def test_helpers_that_may_have_connections_are_the_last_resort(delegation):
    helpers = ('near', 'b1', 'b2', 'c1')
    for n, node in enumerate(helpers):
        delegation.record_no_links(node, n / 1_000)
    for n, node in enumerate((*helpers, *helpers)):
        now = 0.1 + n / 1_000
        assert delegation.has_helper(now)
        assert delegation.choose_helper('z', now, must_help=True).node == node
        delegation.record_no_links(node, now)
    # A node with connections sends to the targets itself.
    assert delegation.choose_helper('b', 0.1) is None
    for node in helpers:
        delegation.connection_lost(node, 0.1)
    assert not delegation.has_helper(0.1)


# A node that was cut off refused everything while its only helper shut down,
# which serves on for seconds.
def test_helper_that_leaves_is_the_last_resort(delegation):
    leaving = member('b1', 'b', leaving=True, entries=())
    delegation.set_members((member('me', 'z'), leaving, member('c1', 'c')))
    assert delegation.choose_helper('b', 0.0, must_help=True).node == 'c1'
    delegation.connection_lost('c1', 0.0)
    assert delegation.has_helper(0.0)
    assert delegation.choose_helper('b', 0.0, must_help=True).node == 'b1'
    assert delegation.choose_helper('b', 0.0) is None
    delegation.connection_lost('b1', 0.0)
    assert not delegation.has_helper(0.0)


def test_node_without_connections_is_helped_in_its_own_zone(delegation):
    assert delegation.choose_helper('z', 0.0, must_help=True).node == 'near'


# All nodes of the zone are cut off, but other zones reach its targets.
def test_targets_of_a_zone_without_helpers_are_asked_from_another(delegation):
    delegation.connection_lost('c1', 0.0)
    assert delegation.choose_helper('c', 0.1, must_help=True).zone != 'c'


def test_node_that_is_alone_has_no_helper(delegation):
    assert delegation.has_helper(0.0)
    delegation.set_members((member('me', 'z'),))
    assert not delegation.has_helper(0.0)
    assert delegation.choose_helper('z', 0.0, must_help=True) is None


def test_cut_off_nodes_do_not_help_each_other(delegation):
    delegation.set_members(
        tuple(member(f'n{n}', 'z', reaches_targets=False) for n in range(300))
    )
    assert not delegation.has_helper(0.0)


# A helper that waited for a slow reply was taken for frozen.
def test_helper_that_acknowledged_a_batch_is_not_silent(delegation):
    delegation.batch_sent('c1', 1, 0.0)
    delegation.batch_acknowledged('c1', 1)
    late = 10 * HELPER_QUIET_AFTER_S
    assert delegation.choose_helper('c', late) is not None
    delegation.batch_sent('c1', 2, late)
    later = late + 2 * HELPER_QUIET_AFTER_S
    assert delegation.choose_helper('c', later) is None


def only_helper():
    """Return the decisions of a node with one helper, asked at 0.0."""
    delegation = Delegation('me', 'z')
    delegation.set_members((member('me', 'z'), member('b1', 'b')))
    delegation.batch_sent('b1', 1, 0.0)
    return delegation


def is_helped(delegation, now):
    helped = delegation.choose_helper('z', now, must_help=True) is not None
    assert delegation.has_helper(now) == helped
    return helped


# A node that was cut off refused everything for HELPER_RETRY_S after its only
# helper had paused for a moment, though the helper had answered since.
def test_only_helper_is_used_again_from_its_next_message_on():
    delegation = only_helper()
    heard = []
    delegation.on_helper_heard = lambda *args: heard.append(args)
    frozen = 1.5 * ONLY_HELPER_QUIET_AFTER_S
    assert not is_helped(delegation, frozen)
    delegation.message_received('b1', frozen)
    delegation.message_received('b1', frozen)
    assert heard == [('b1', frozen)]
    assert is_helped(delegation, frozen)
    # A node with connections goes on without it for HELPER_RETRY_S.
    assert delegation.choose_helper('b', frozen) is None
    again = frozen + 1.5 * ONLY_HELPER_QUIET_AFTER_S
    assert not is_helped(delegation, again)


def test_only_helper_is_waited_for_through_a_short_pause():
    delegation = only_helper()
    short = 0.9 * ONLY_HELPER_QUIET_AFTER_S
    assert short > HELPER_QUIET_AFTER_S
    assert is_helped(delegation, short)
    # A node with connections sends directly meanwhile.
    assert delegation.choose_helper('b', short) is None
    assert not is_helped(delegation, 1.1 * ONLY_HELPER_QUIET_AFTER_S)


# Otherwise a part of the requests would wait for their deadlines each second,
# at a helper that is frozen.
def test_frozen_helper_is_not_waited_for_again():
    delegation = only_helper()
    assert not is_helped(delegation, 1.1 * ONLY_HELPER_QUIET_AFTER_S)
    delegation.batch_ended('b1', 1)
    tried_at = 1.2 * ONLY_HELPER_QUIET_AFTER_S + HELPER_RETRY_S
    assert is_helped(delegation, tried_at)
    delegation.batch_sent('b1', 2, tried_at)
    assert not is_helped(delegation, tried_at + 1.1 * HELPER_QUIET_AFTER_S)


def test_helper_that_paused_is_used_only_if_no_other_is_left(delegation):
    for node in ('near', 'b1', 'c1'):
        delegation.batch_sent(node, 1, 0.0)
    now = 1.1 * HELPER_QUIET_AFTER_S
    assert delegation.choose_helper('z', now, must_help=True).node == 'b2'
    delegation.connection_lost('b2', now)
    assert delegation.choose_helper('z', now, must_help=True) is not None
    delegation.message_received('c1', now)
    assert delegation.choose_helper('z', now, must_help=True).node == 'c1'


PAIR = RelayPair('b1', 'b2')


def test_first_relay_is_used_however_busy(delegation):
    for batch_no in range(10):
        delegation.batch_sent('b1', batch_no, 0.0)
    delegation.message_received('b1', 0.0)
    role, member = delegation.choose_relay(PAIR, 'b', 0.01)
    assert (role, member.node) == (RelayRole.FIRST, 'b1')


# Guards against sub-requests that wait for a relay that can't send them.
@pytest.mark.parametrize('why', ['lost', 'quiet', 'no_links', 'leaving'])
def test_second_relay_replaces_an_unusable_one(delegation, why):
    now = 1.0
    match why:
        case 'lost':
            delegation.connection_lost('b1', now)
        case 'quiet':
            delegation.batch_sent('b1', 1, now - 2 * HELPER_QUIET_AFTER_S)
        case 'no_links':
            delegation.record_no_links('b1', now)
        case _:
            delegation.set_members(
                (member('b1', 'b', leaving=True), member('b2', 'b'))
            )
    role, chosen = delegation.choose_relay(PAIR, 'b', now)
    assert (role, chosen.node) == (RelayRole.SECOND, 'b2')


def test_any_helper_replaces_both_relays(delegation):
    delegation.set_members((member('b1', 'b'), member('b3', 'b')))
    delegation.connection_lost('b1', 0.0)
    role, chosen = delegation.choose_relay(PAIR, 'b', 0.1)
    assert (role, chosen.node) == (RelayRole.OTHER, 'b3')
    delegation.connection_lost('b3', 0.0)
    assert delegation.choose_relay(PAIR, 'b', 0.1) == (
        RelayRole.UNRELAYED,
        None,
    )


def test_relay_in_the_own_zone_is_used(delegation):
    role, chosen = delegation.choose_relay(RelayPair('near', 'me'), 'z', 0.0)
    assert (role, chosen.node) == (RelayRole.FIRST, 'near')


def test_relay_sends_by_itself(delegation):
    first = RelayPair('me', 'near')
    assert delegation.choose_relay(first, 'z', 0.0) == (RelayRole.FIRST, None)
    second = RelayPair('near', 'me')
    delegation.connection_lost('near', 0.0)
    assert delegation.choose_relay(second, 'z', 0.0) == (
        RelayRole.SECOND,
        None,
    )


# Guards against helpers of a node without links that open connections of their
# own, while the relay of the target has some.
def test_node_that_can_not_send_prefers_the_relay(delegation):
    for node, other in (('b1', 'b2'), ('b2', 'b1')):
        delegation.batch_sent(node, 1, 0.0)
        delegation.message_received(node, 0.0)
        chosen = delegation.choose_helper(
            'b', 0.0, True, RelayPair(node, other)
        )
        assert chosen.node == node
        delegation.batch_ended(node, 1)


def test_streams_are_opened_to_nodes_that_are_not_lost(delegation):
    delegation.connection_lost('b1', 0.0)
    nodes = ('b1', 'b2', 'unknown')

    def connected(now):
        return [one.node for one in delegation.helpers_to_connect(nodes, now)]

    assert connected(0.1) == ['b2']
    assert connected(HELPER_RETRY_S) == ['b1', 'b2']
