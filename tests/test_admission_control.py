"""Test the admission of requests by nodes that share an overloaded service.

Time is simulated. The service has slots and a queue as a target has; it
refuses a request when both are full.
"""

import collections
import heapq
import itertools
import random

from sesameward.admission.control import Claim
from sesameward.admission.control import Control
from sesameward.admission.control import Decision
from sesameward.admission.control import End
from sesameward.admission.control import MIN_NODE_LIMIT
from sesameward.admission.control import NODE_LANE
from sesameward.admission.control import Overloaded
from sesameward.admission.order import Lane
from sesameward.admission.order import Waiting
from sesameward.admission.order import WaitingOrder

LANE = Lane('desk')
SLOTS = 6
QUEUE = 24
WORK_S = 0.135
CAPACITY_PER_S = SLOTS / WORK_S
DEADLINE_S = 2.0
LOAD_S = 20.0
# Interval at which a node looks through its waiting requests.
TICK_S = 0.05


class Simulation:
    """Nodes that send to one service, without knowing of each other.

    The first number of an entry of results is the priority or the group, the
    value counts the requests by how they ended.
    """

    def __init__(self, nodes=5, is_admitted=True):
        self.controls = [Control() for _ in range(nodes)]
        self.is_admitted = is_admitted
        self.results = collections.defaultdict(collections.Counter)
        self.retry_after_s = []
        self.waits_s = []
        self.work_s = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.random = random.Random(1)
        self.running = self.queued = 0
        self.queue = collections.deque()

    def at(self, when, what, *args):
        heapq.heappush(self.events, (when, next(self.numbers), what, args))

    def load(self, per_s, priority, group='r', from_s=0.0, to_s=LOAD_S):
        now = from_s
        while (now := now + self.random.expovariate(per_s)) < to_s:
            self.at(now, self.arrive, priority, group)

    def run(self):
        self.at(0.0, self.tick)
        while self.events:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)

    def arrive(self, priority, group):
        control = self.random.choice(self.controls)
        claim = Claim(
            priority, group, self.now + DEADLINE_S, self.now, LANE, route='r'
        )
        if not self.is_admitted:
            self.send(control, claim)
            return
        match control.offer(claim, self.now):
            case Decision.RUN:
                self.send(control, claim)
            case Decision.WAIT:
                self.at(claim.latest_at, self.expire, control, claim)
            case Overloaded(retry_after_s):
                self.retry_after_s.append((self.now, retry_after_s))
                self.count(claim, 'refused')

    def expire(self, control, claim):
        if claim in control.order:
            control.expire(claim, self.now)
            self.count(claim, 'refused')

    def send(self, control, claim):
        self.waits_s.append(self.now - claim.item)
        if self.running < SLOTS:
            self.begin(control, claim)
        elif len(self.queue) < QUEUE:
            self.queue.append((control, claim))
        else:
            self.end(control, claim, End.REFUSED)

    def begin(self, control, claim):
        self.running += 1
        self.work_s += WORK_S
        self.at(self.now + WORK_S, self.finish, control, claim)

    def finish(self, control, claim):
        self.running -= 1
        if self.queue:
            self.begin(*self.queue.popleft())
        self.end(control, claim, End.SERVED)

    def end(self, control, claim, end):
        is_late = self.now > claim.deadline_at
        self.count(claim, 'late' if is_late else end.value)
        if self.is_admitted:
            control.ended(claim, end, self.now)
            self.drain(control)

    def drain(self, control):
        while (taken := control.take(self.now)) is not None:
            self.send(control, taken)

    def tick(self):
        for control in self.controls:
            self.drain(control)
        if self.events:
            self.at(self.now + TICK_S, self.tick)

    def count(self, claim, how):
        self.results[claim.priority][how] += 1
        self.results[claim.group][how] += 1
        self.results['all'][how] += 1

    def ratio(self, key):
        return self.results[key]['served'] / self.results[key].total()


# Guards against urgent requests that are refused because a burst of the least
# urgent ones fills the queues of all targets.
def test_burst_of_the_least_urgent_leaves_room_for_the_urgent():
    ratios = {}
    for is_admitted in (False, True):
        sim = Simulation(is_admitted=is_admitted)
        sim.load(CAPACITY_PER_S * 0.3, 0)
        sim.load(CAPACITY_PER_S * 2.0, 2, from_s=5.0, to_s=15.0)
        sim.run()
        ratios[is_admitted] = sim.ratio(0)
    assert ratios[True] > 0.9 > ratios[False]
    assert sim.ratio(2) > 0.25 * sim.ratio('all')


# Guards against one organisation whose load crowds out all others.
def test_organisation_at_seven_times_its_usual_harms_no_other():
    others = {}
    for is_admitted in (False, True):
        sim = Simulation(is_admitted=is_admitted)
        for n in range(1, 5):
            sim.load(CAPACITY_PER_S * 0.15, 1, f'o{n}')
        sim.load(CAPACITY_PER_S * 0.15 * 7, 1, 'o0')
        sim.run()
        others[is_admitted] = min(sim.ratio(f'o{n}') for n in range(1, 5))
    assert others[True] > 0.8 > others[False]
    assert sim.ratio('o0') > 0.25 * sim.ratio('all')


# Guards against the least urgent requests, and small organisations among them,
# that are never served while more urgent ones exceed the capacity for long.
def test_nobody_starves_while_all_priorities_are_above_capacity():
    sim = Simulation()
    for priority in range(3):
        sim.load(CAPACITY_PER_S * 1.2, priority, f'o{priority}')
    sim.load(CAPACITY_PER_S * 0.1, 2, 'small')
    sim.run()
    for key in (0, 1, 2, 'o0', 'o1', 'o2', 'small'):
        assert sim.ratio(key) > 0.25 * sim.ratio('all')
    assert sim.ratio(0) > sim.ratio(2)


# Guards against capacity that is left unused while requests wait, and against
# waits where there is room.
def test_no_capacity_is_left_unused():
    sim = Simulation()
    sim.load(CAPACITY_PER_S * 2.0, 2)
    sim.run()
    assert sim.work_s > 0.95 * LOAD_S * SLOTS
    calm = Simulation()
    calm.load(CAPACITY_PER_S * 0.6, 2)
    calm.run()
    assert max(calm.waits_s) == 0.0
    assert calm.ratio('all') == 1.0


# Guards against refused callers that all come back in the same moment.
def test_refused_callers_return_spread_in_time():
    control = Control()
    claims = [Claim(2, 'r', 1.0, None, LANE, route='r') for _ in range(40)]
    for claim in claims[:2]:
        control.offer(claim, 0.0)
    control.ended(claims[0], End.REFUSED, 0.0)
    claims[1].started_at = -0.2
    control.ended(claims[1], End.SERVED, 0.0)
    control.offer(claims[2], 0.0)
    refusals = [
        decision.retry_after_s
        for decision in (control.offer(one, 0.0) for one in claims[3:])
        if isinstance(decision, Overloaded)
    ]
    assert len(refusals) > 20
    per_tenth = collections.Counter(int(one * 10) for one in refusals)
    assert max(per_tenth.values()) <= 2


# Guards against a node that takes on more than its processor can do, and
# against a limit that remains when the load is over.
def test_lag_of_the_event_loop_limits_a_node():
    control = Control()
    claims = [
        Claim(1, 'r', 10.0, None, NODE_LANE, route='r') for _ in range(20)
    ]
    for claim in claims[:10]:
        assert control.offer(claim, 0.0) is Decision.RUN
    control.on_lag(0.2, 0.0)
    assert control.has_room(claims[10], 0.0)
    control.on_lag(0.2, 0.05)
    assert control.offer(claims[10], 0.05) is Decision.WAIT
    for n in range(100):
        control.on_lag(0.2, 0.1 + n)
    assert control.node_limit.limit == MIN_NODE_LIMIT
    assert control.take(100.0) is None
    control.on_lag(0.0, 102.0)
    for claim in claims[:6]:
        control.ended(claim, End.SERVED, 102.0)
    assert control.take(102.0) is claims[10]
    control.on_lag(0.0, 110.0)
    assert control.node_limit.limit is None


# Guards against a wrong order: first priority, then turns of the groups, then
# the earlier deadline; and against entries that come back after they left.
def test_order_of_waiting_requests():
    order = WaitingOrder()
    entries = [
        Waiting(priority, group, deadline_at, number)
        for number, (priority, group, deadline_at) in enumerate(
            (
                (1, 'a', 3.0),
                (1, 'a', 2.0),
                (1, 'a', 1.0),
                (1, 'b', 9.0),
                (0, 'c', 9.0),
                (2, 'b', 0.5),
            )
        )
    ]
    for entry in entries:
        order.add(entry)
    assert order.count_by_priority() == {0: 1, 1: 4, 2: 1}
    order.discard(entries[1])
    order.discard(entries[1])
    taken = [order.take().item for _ in range(5)]
    assert taken == [4, 2, 3, 0, 5]
    assert order.take() is None


# Guards against a group that comes back and then takes several turns in a row
# for those that it had no request for.
def test_group_that_returns_makes_up_for_no_turns():
    order = WaitingOrder()
    for number in range(6):
        order.add(Waiting(1, 'a', 1.0, ('a', number)))
    order.add(Waiting(1, 'b', 1.0, ('b', 0)))
    for _ in range(4):
        order.take()
    for number in (1, 2, 3):
        order.add(Waiting(1, 'b', 1.0, ('b', number)))
    groups = [order.take().item[0] for _ in range(4)]
    assert sorted(groups) == ['a', 'a', 'b', 'b']
