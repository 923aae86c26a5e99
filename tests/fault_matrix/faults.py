"""Define each fault: how it strikes and how it is healed."""

from __future__ import annotations

import enum
import signal
import threading
import time

from sesameward.standin.processes import call
from sesameward.standin.processes import HOST

from ..histories.observe import StatusPoller
from ..histories.world import World

PAUSE_S = 2.0
REPARTITION_PAUSE_S = 0.8


class Place:
    """Name what a fault hits: a server of an instance, and a node."""

    def __init__(self, world: World, instance: int, server: int, node: int):
        self.world = world
        self.instance = instance
        self.target = f't{instance}-{server}'
        self.node = node
        self.poller: StatusPoller | None = None
        self.number = 0

    @property
    def record_key(self) -> str:
        """Return a key that the instance holds under the newest map."""
        shard = self.instance
        if self.world.generations[-1] > 1:
            shard *= 2
        return f's{shard:03d}-0003'


class Side(enum.Enum):
    """Name what a fault concerns."""

    TARGET = 'target'
    NODE = 'node'
    STORE = 'store'
    OPERATORS = 'operators'


class Fault:
    """Serve as the base of all faults."""

    name = ''
    side = Side.TARGET
    # Whether answers can still be whole and in time where it strikes.
    whole = True
    in_time = True

    def strike(self, place: Place) -> None:
        """Cause the fault."""

    def heal(self, place: Place) -> None:
        """End the fault."""


class TargetKilled(Fault):
    """Kill a target."""

    name = 'target killed'

    def strike(self, place):
        """Kill it."""
        place.world.tier.targets[place.target].kill()

    def heal(self, place):
        """Start it again."""
        place.world.restart_target(place.target)


class TargetFrozen(Fault):
    """Pause a target."""

    name = 'target frozen'

    def strike(self, place):
        """Pause it."""
        place.world.signal(
            place.world.tier.targets[place.target], signal.SIGSTOP
        )

    def heal(self, place):
        """Let it go on."""
        place.world.signal(
            place.world.tier.targets[place.target], signal.SIGCONT
        )


class TargetDraining(Fault):
    """Let a target leave."""

    name = 'target draining'

    def strike(self, place):
        """Let it say so."""
        place.world.drain(place.target)

    def heal(self, place):
        """Let it come back."""
        place.world.drain(place.target, on=False)


class TargetSwitched(Fault):
    """Switch a fault of the stand-in on."""

    def __init__(self, name: str, **switches: object):
        self.name = name
        self._switches = switches

    def strike(self, place):
        """Switch it on."""
        place.world.faults(place.target, **self._switches)

    def heal(self, place):
        """Switch it off."""
        place.world.faults(place.target)


class TargetLacking(Fault):
    """Take the served snapshots from a target."""

    name = 'target lacks the snapshot'

    def strike(self, place):
        """Let it hold an older one only."""
        call(
            place.world.tier.target_ports[place.target],
            '/standin/data',
            {'snapshots': [0]},
        )

    def heal(self, place):
        """Give the snapshots back."""
        place.world.load(place.target, place.world.snapshots)


class CrashingRequest(Fault):
    """Send a request which crashes each target that runs it."""

    name = 'crashing request'

    def strike(self, place):
        """Send it to three entries, one after another."""
        world = place.world
        word = f'poison-{place.number}'
        for target in world.tier.targets:
            world.faults(target, crash_on=word)
        for index in range(3):
            threading.Thread(
                target=self._send, args=(world, index, word), daemon=True
            ).start()
            time.sleep(0.1)

    def _send(self, world, index, word):
        try:
            world.tier.query(
                world.tier.entries[index], {'match': {'text': word}}
            )
        except OSError:
            return

    def heal(self, place):
        """Start the crashed targets again."""
        time.sleep(0.5)
        world = place.world
        for target, process in list(world.tier.targets.items()):
            if process.exit_code is not None:
                world.restart_target(target)
            world.faults(target)


class EntryKilled(Fault):
    """Kill the entry which serves the caller."""

    name = 'entry killed'
    side = Side.NODE
    whole = False
    in_time = False

    def strike(self, place):
        """Kill it."""
        place.world.kill_entry(place.node)

    def heal(self, place):
        """Start it again."""
        place.world.start_entry(place.node)


class EntryFrozen(Fault):
    """Pause the entry which serves the caller beyond its deadline."""

    name = 'entry frozen'
    side = Side.NODE
    whole = False
    in_time = False

    def strike(self, place):
        """Pause it for a time."""
        entry = place.world.tier.entries[place.node]
        place.poller.unsettle(place.node)
        place.world.signal(entry, signal.SIGSTOP)
        self._timer = threading.Timer(
            PAUSE_S, place.world.signal, (entry, signal.SIGCONT)
        )
        self._timer.start()

    def heal(self, place):
        """Wait until it goes on."""
        self._timer.join()
        place.poller.unsettle(place.node)


class AgentKilled(Fault):
    """Kill an agent; its VM is replaced afterwards."""

    name = 'agent killed'
    side = Side.NODE

    def strike(self, place):
        """Kill it."""
        place.world.tier.agents[place.node].kill()

    def heal(self, place):
        """Replace the VM."""
        place.world.restart_node(place.node)
        place.poller.unsettle(place.node)


class AgentFrozen(Fault):
    """Pause an agent."""

    name = 'agent frozen'
    side = Side.NODE

    def strike(self, place):
        """Pause it."""
        agent = place.world.tier.agents[place.node]
        place.poller.unsettle(place.node)
        place.world.signal(agent, signal.SIGSTOP)

    def heal(self, place):
        """Let it go on."""
        agent = place.world.tier.agents[place.node]
        place.poller.unsettle(place.node)
        place.world.signal(agent, signal.SIGCONT)
        place.poller.unsettle(place.node)


class StoreSwitched(Fault):
    """Switch a fault of the platform on."""

    side = Side.STORE

    def __init__(self, name: str, **switches: object):
        self.name = name
        self._switches = switches

    def strike(self, place):
        """Switch it on."""
        place.world.store(**self._switches)

    def heal(self, place):
        """Switch it off."""
        place.world.store()


class VmListStale(Fault):
    """Let the VM list miss one VM and name one that is gone."""

    name = 'VM list stale'
    side = Side.STORE

    def strike(self, place):
        """Change the list."""
        port = place.world.tier.platform.ports['port']
        vms = [
            {'name': name, 'host': HOST, 'zone': 'zone-0'}
            for name in ('entry-0', 'entry-9')
        ]
        call(port, '/standin/vms', vms)

    def heal(self, place):
        """Correct the list."""
        place.world.tier.list_vms()


class Concurrent(Fault):
    """Change something while the step runs."""

    side = Side.OPERATORS

    def strike(self, place):
        """Begin."""
        self._thread = threading.Thread(target=self.work, args=(place,))
        self._thread.start()

    def heal(self, place):
        """Wait for the end."""
        self._thread.join()

    def work(self, place):
        """Do the change."""


class OperatorsRacing(Concurrent):
    """Let two operators change the same object."""

    name = 'operators racing'

    def work(self, place):
        """Apply two different deadlines at once."""
        base = 1_500 + place.number % 100
        place.world.apply(base, base + 1)


class Repartition(Concurrent):
    """Serve a second map, then drop the first."""

    name = 'repartition'

    def work(self, place):
        """Change the maps."""
        place.world.repartition(REPARTITION_PAUSE_S)


class Pair(Fault):
    """Let two faults strike together, the second at another place."""

    def __init__(self, first: Fault, second: Fault):
        self.first = first
        self.second = second
        self.name = f'{first.name} + {second.name}'
        self.side = first.side
        self.whole = first.whole and second.whole
        self.in_time = first.in_time and second.in_time

    def strike(self, place):
        """Cause both."""
        self.first.strike(place)
        self.second.strike(_other(place))

    def heal(self, place):
        """End both."""
        self.second.heal(_other(place))
        self.first.heal(place)


def _other(place: Place) -> Place:
    other = Place(
        place.world, (place.instance + 1) % 4, 0, (place.node + 1) % 3
    )
    other.poller = place.poller
    other.number = place.number
    return other


def single() -> list[Fault]:
    """Return all faults; those that leave traces longest come last."""
    return [
        TargetKilled(),
        TargetFrozen(),
        TargetSwitched('target shedding', shed_chance=1.0),
        TargetSwitched('target cold', cold_ms=150),
        TargetSwitched(
            'target straggling', straggler_chance=1.0, straggler_ms=900
        ),
        TargetSwitched('lying load report', lie_idle=True, latency_ms=200),
        TargetLacking(),
        TargetSwitched(
            'connections cut', drop_connections=True, lose_reply_chance=1.0
        ),
        EntryKilled(),
        EntryFrozen(),
        AgentKilled(),
        AgentFrozen(),
        StoreSwitched('store down', outage=True),
        StoreSwitched('store slow', slow_ms=300),
        StoreSwitched('store reply lost', lose_replies=1),
        VmListStale(),
        OperatorsRacing(),
        CrashingRequest(),
        TargetDraining(),
        Repartition(),
    ]


def pairs() -> list[Fault]:
    """Return the likeliest pairs."""
    down = StoreSwitched('store down', outage=True)
    lost = StoreSwitched('store reply lost', lose_replies=2)
    return [
        Pair(EntryKilled(), TargetKilled()),
        Pair(AgentKilled(), TargetKilled()),
        Pair(EntryKilled(), lost),
        Pair(TargetKilled(), down),
        Pair(EntryFrozen(), lost),
        Pair(TargetKilled(), OperatorsRacing()),
        Pair(TargetKilled(), Repartition()),
    ]
