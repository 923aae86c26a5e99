"""Define the faults of the matrix: how to inject and how to clear each."""

from __future__ import annotations

import enum
import signal
import threading
import time

from sesameward.standin.processes import call
from sesameward.standin.processes import HOST

from ..histories.observe import StatusPoller
from ..histories.world import World

# Longer than the deadline of 1.5 s that matrix.py sets.
ENTRY_PAUSE_S = 2.0
REPARTITION_PAUSE_S = 0.8


class FaultLocation:
    """Tell where a fault is injected: in which target and on which node.

    A target is one server of an instance.
    """

    def __init__(self, world: World, instance: int, server: int, node: int):
        self.world = world
        self.instance = instance
        self.target = f't{instance}-{server}'
        self.node = node
        self.poller: StatusPoller | None = None
        self.cell_number = 0

    @property
    def record_key(self) -> str:
        """Return a record key that the instance holds in the newest map."""
        shard = self.instance
        if self.world.generations[-1] > 1:
            shard *= 2
        return f's{shard:03d}-0003'


class Component(enum.Enum):
    """Name the part of the system in which a fault is injected."""

    TARGET = 'target'
    NODE = 'node'
    STORE = 'store'
    OPERATORS = 'operators'


class Fault:
    """Base class of all faults."""

    name = ''
    component = Component.TARGET
    # Whether answers can still be complete, and within their deadline, while
    # the fault is active.
    can_be_complete = True
    can_be_in_time = True

    def inject(self, place: FaultLocation) -> None:
        """Start the fault."""

    def clear(self, place: FaultLocation) -> None:
        """End the fault."""


class TargetKilled(Fault):
    """Kill a target."""

    name = 'target killed'

    def inject(self, place):
        """Kill the target's process."""
        place.world.tier.targets[place.target].kill()

    def clear(self, place):
        """Restart the target with its data."""
        place.world.restart_target(place.target)


class TargetFrozen(Fault):
    """Suspend a target's process."""

    name = 'target frozen'

    def inject(self, place):
        """Suspend the process with SIGSTOP."""
        place.world.send_signal(
            place.world.tier.targets[place.target], signal.SIGSTOP
        )

    def clear(self, place):
        """Resume the process with SIGCONT."""
        place.world.send_signal(
            place.world.tier.targets[place.target], signal.SIGCONT
        )


class TargetDraining(Fault):
    """Drain a target."""

    name = 'target draining'

    def inject(self, place):
        """Let the target announce that it is leaving."""
        place.world.drain(place.target)

    def clear(self, place):
        """Let the target serve again."""
        place.world.drain(place.target, is_leaving=False)


class TargetStandinFault(Fault):
    """Enable faults that the stand-in target simulates."""

    def __init__(self, name: str, **settings: object):
        self.name = name
        self._settings = settings

    def inject(self, place):
        """Enable the target's simulated faults."""
        place.world.set_target_faults(place.target, **self._settings)

    def clear(self, place):
        """Disable all simulated faults of the target."""
        place.world.set_target_faults(place.target)


class TargetWithoutSnapshot(Fault):
    """Remove the served snapshots from a target."""

    name = 'target lacks the snapshot'

    def inject(self, place):
        """Let the target hold only a snapshot that is no longer served."""
        call(
            place.world.tier.target_ports[place.target],
            '/standin/data',
            {'snapshots': [0]},
        )

    def clear(self, place):
        """Load the served snapshots again."""
        place.world.load_target(place.target, place.world.snapshots)


class CrashingRequest(Fault):
    """Send a query that crashes each target that runs it."""

    name = 'crashing request'

    def inject(self, place):
        """Send the query to three entries, one after another."""
        world = place.world
        crash_text = f'poison-{place.cell_number}'
        for target in world.tier.targets:
            world.set_target_faults(target, crash_on=crash_text)
        for index in range(3):
            threading.Thread(
                target=self._send, args=(world, index, crash_text), daemon=True
            ).start()
            time.sleep(0.1)

    def _send(self, world, index, crash_text):
        try:
            world.tier.query(
                world.tier.entries[index], {'match': {'text': crash_text}}
            )
        except OSError:
            return

    def clear(self, place):
        """Restart the crashed targets and end crashes on the query."""
        time.sleep(0.5)
        world = place.world
        for target, process in list(world.tier.targets.items()):
            if process.exit_code is not None:
                world.restart_target(target)
            world.set_target_faults(target)


class EntryKilled(Fault):
    """Kill the entry that serves the caller."""

    name = 'entry killed'
    component = Component.NODE
    can_be_complete = False
    can_be_in_time = False

    def inject(self, place):
        """Kill the entry's process."""
        place.world.kill_entry(place.node)

    def clear(self, place):
        """Start a new process of the entry."""
        place.world.start_entry(place.node)


class EntryFrozen(Fault):
    """Suspend the caller's entry until after the request's deadline."""

    name = 'entry frozen'
    component = Component.NODE
    can_be_complete = False
    can_be_in_time = False

    def inject(self, place):
        """Suspend the process; a timer resumes it after ENTRY_PAUSE_S."""
        entry = place.world.tier.entries[place.node]
        place.poller.allow_catch_up(place.node)
        place.world.send_signal(entry, signal.SIGSTOP)
        self._resume_timer = threading.Timer(
            ENTRY_PAUSE_S, place.world.send_signal, (entry, signal.SIGCONT)
        )
        self._resume_timer.start()

    def clear(self, place):
        """Wait until the timer has resumed the process."""
        self._resume_timer.join()
        place.poller.allow_catch_up(place.node)


class AgentKilled(Fault):
    """Kill an agent; clearing the fault replaces its VM."""

    name = 'agent killed'
    component = Component.NODE

    def inject(self, place):
        """Kill the agent's process."""
        place.world.tier.agents[place.node].kill()

    def clear(self, place):
        """Start a new agent and a new entry, as on a replaced VM."""
        place.world.restart_node(place.node)
        place.poller.allow_catch_up(place.node)


class AgentFrozen(Fault):
    """Suspend an agent's process."""

    name = 'agent frozen'
    component = Component.NODE

    def inject(self, place):
        """Suspend the process with SIGSTOP."""
        agent = place.world.tier.agents[place.node]
        place.poller.allow_catch_up(place.node)
        place.world.send_signal(agent, signal.SIGSTOP)

    def clear(self, place):
        """Resume the process with SIGCONT."""
        agent = place.world.tier.agents[place.node]
        place.poller.allow_catch_up(place.node)
        place.world.send_signal(agent, signal.SIGCONT)
        place.poller.allow_catch_up(place.node)


class StoreStandinFault(Fault):
    """Enable faults that the platform's stand-in simulates."""

    component = Component.STORE

    def __init__(self, name: str, **settings: object):
        self.name = name
        self._settings = settings

    def inject(self, place):
        """Enable the store's simulated faults."""
        place.world.set_store_faults(**self._settings)

    def clear(self, place):
        """Disable all simulated faults of the store."""
        place.world.set_store_faults()


class VmListStale(Fault):
    """Serve a VM list that lacks live VMs and names one that is gone."""

    name = 'VM list stale'
    component = Component.STORE

    def inject(self, place):
        """Write the stale VM list."""
        port = place.world.tier.platform.ports['port']
        vms = [
            {'name': name, 'host': HOST, 'zone': 'zone-0'}
            for name in ('entry-0', 'entry-9')
        ]
        call(port, '/standin/vms', vms)

    def clear(self, place):
        """Write the correct VM list."""
        place.world.tier.list_vms()


class ConcurrentChange(Fault):
    """Run an operator's change in a thread beside the step."""

    component = Component.OPERATORS

    def inject(self, place):
        """Start the change."""
        self._thread = threading.Thread(target=self.make_change, args=(place,))
        self._thread.start()

    def clear(self, place):
        """Wait until the change has ended."""
        self._thread.join()

    def make_change(self, place):
        """Make the change; called in the thread."""


class OperatorsRacing(ConcurrentChange):
    """Let two operators change the same object at the same time."""

    name = 'operators racing'

    def make_change(self, place):
        """Apply two different default deadlines concurrently."""
        deadline_ms = 1_500 + place.cell_number % 100
        place.world.apply_deadlines(deadline_ms, deadline_ms + 1)


class Repartition(ConcurrentChange):
    """Change the partitioning: add a second map, then drop the first."""

    name = 'repartition'

    def make_change(self, place):
        """Apply both changes of the maps, with a pause after each."""
        place.world.repartition(REPARTITION_PAUSE_S)


class Pair(Fault):
    """Combine two faults; the second affects other targets and nodes."""

    def __init__(self, first: Fault, second: Fault):
        self.first = first
        self.second = second
        self.name = f'{first.name} + {second.name}'
        self.component = first.component
        self.can_be_complete = first.can_be_complete and second.can_be_complete
        self.can_be_in_time = first.can_be_in_time and second.can_be_in_time

    def inject(self, place):
        """Start both faults."""
        self.first.inject(place)
        self.second.inject(_second_place(place))

    def clear(self, place):
        """End both faults, in reverse order."""
        self.second.clear(_second_place(place))
        self.first.clear(place)


def _second_place(place: FaultLocation) -> FaultLocation:
    other = FaultLocation(
        place.world, (place.instance + 1) % 4, 0, (place.node + 1) % 3
    )
    other.poller = place.poller
    other.cell_number = place.cell_number
    return other


def single_faults() -> list[Fault]:
    """Return all single faults; those with the longest effects come last."""
    return [
        TargetKilled(),
        TargetFrozen(),
        TargetStandinFault('target shedding', shed_chance=1.0),
        TargetStandinFault('target cold', cold_ms=150),
        TargetStandinFault(
            'target straggling', straggler_chance=1.0, straggler_ms=900
        ),
        TargetStandinFault('lying load report', lie_idle=True, latency_ms=200),
        TargetWithoutSnapshot(),
        TargetStandinFault(
            'connections cut', drop_connections=True, lose_reply_chance=1.0
        ),
        EntryKilled(),
        EntryFrozen(),
        AgentKilled(),
        AgentFrozen(),
        StoreStandinFault('store down', outage=True),
        StoreStandinFault('store slow', slow_ms=300),
        StoreStandinFault('store reply lost', lose_replies=1),
        VmListStale(),
        OperatorsRacing(),
        CrashingRequest(),
        TargetDraining(),
        Repartition(),
    ]


def fault_pairs() -> list[Fault]:
    """Return the pairs of faults that are most likely to coincide."""
    store_down = StoreStandinFault('store down', outage=True)
    reply_lost = StoreStandinFault('store reply lost', lose_replies=2)
    return [
        Pair(EntryKilled(), TargetKilled()),
        Pair(AgentKilled(), TargetKilled()),
        Pair(EntryKilled(), reply_lost),
        Pair(TargetKilled(), store_down),
        Pair(EntryFrozen(), reply_lost),
        Pair(TargetKilled(), OperatorsRacing()),
        Pair(TargetKilled(), Repartition()),
    ]
