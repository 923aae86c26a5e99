"""Change a tier's data, configuration and processes, and record it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import threading
import time

import msgspec
from returns.result import Success

from sesameward.configuration import declared
from sesameward.configuration.operations import Operations
from sesameward.configuration.operations import Outcome
from sesameward.configuration.platform_client import PlatformClient
from sesameward.exceptions import SesamewardError
from sesameward.messages import Record
from sesameward.metrics import Metrics
from sesameward.settings import PlatformSettings
from sesameward.standin.processes import call
from sesameward.standin.processes import Process
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until
from sesameward.types import Generation
from sesameward.types import NodeId
from sesameward.types import RecordVersion
from sesameward.types import Revision
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId

from . import records as rec
from .observe import CONFIG
from .observe import Observer
from .observe import Place
from .observe import SERVICE

HEAL_TIMEOUT_S = 15.0


class World:
    """Own a tier during a run."""

    def __init__(self, tier: Tier, observer: Observer, seed: int = 0):
        self.tier = tier
        self.observer = observer
        self.rng = random.Random(seed)
        self.snapshots: list[Snapshot] = [Snapshot(1)]
        self.generations: list[Generation] = [Generation(1)]
        self._published: set[tuple[Generation, Snapshot]] = set()
        self._lock = threading.Lock()
        self.deadline_ms = tier.shape.deadline_ms
        self.publish()

    # Data.

    def old_keys(self, shard: str, snapshot: Snapshot) -> tuple[str, ...]:
        """Return the keys of a shard of the first map in a snapshot."""
        count = self.tier.shape.records
        keys = [f'{shard}-{index:04d}' for index in range(count)]
        if snapshot > 1:
            del keys[snapshot % count]
            keys.append(f'{shard}-1{snapshot:03d}')
        return tuple(keys)

    def parts(self, generation: Generation) -> dict[ShardId, tuple[str, ...]]:
        """Return which shards of the first map each shard takes in."""
        ids = self.tier.shard_ids()
        if generation == 1:
            return {ShardId(shard): (shard,) for shard in ids}
        return {
            ShardId(f'g{generation}-{index}'): tuple(
                ids[2 * index : 2 * index + 2]
            )
            for index in range(len(ids) // 2)
        }

    def keys(
        self, generation: Generation, snapshot: Snapshot
    ) -> dict[ShardId, tuple[str, ...]]:
        """Return the keys of each shard."""
        return {
            shard: tuple(k for p in old for k in self.old_keys(p, snapshot))
            for shard, old in self.parts(generation).items()
        }

    def publish(self) -> None:
        """Record what each served snapshot holds."""
        for generation in self.generations:
            for snapshot in self.snapshots:
                if (generation, snapshot) in self._published:
                    continue
                self._published.add((generation, snapshot))
                self.observer.add(
                    rec.Published,
                    SERVICE,
                    generation,
                    snapshot,
                    self.keys(generation, snapshot),
                    self.starts(generation),
                )

    def starts(self, generation: Generation) -> dict[ShardId, str]:
        """Return where the range of each shard starts."""
        parts = list(self.parts(generation).items())
        return {
            shard: old[0] if index else ''
            for index, (shard, old) in enumerate(parts)
        }

    def shards_of(self, target: str) -> list[ShardId]:
        """Return the shards of all served maps which a target holds."""
        instance = int(target.removeprefix('t').split('-')[0])
        count = self.tier.shape.instances
        found = []
        for generation in self.generations:
            found += list(self.parts(generation))[instance::count]
        return found

    def load(self, target: str, snapshots: list[Snapshot]) -> None:
        """Let a target hold some snapshots of its shards."""
        mine = self.shards_of(target)
        changed = {
            snapshot: {
                shard: [_record(k) for k in keys]
                for generation in self.generations
                for shard, keys in self.keys(generation, snapshot).items()
                if shard in mine
            }
            for snapshot in snapshots
        }
        data = {
            'records': changed[max(snapshots)],
            'changed': {str(s): shards for s, shards in changed.items()},
            'snapshots': snapshots,
        }
        call(self.tier.target_ports[target], '/standin/data', data)

    def load_all(self, pause_s: float = 0.0) -> None:
        """Let the targets hold the served snapshots, one after another."""
        for target in list(self.tier.targets):
            with contextlib.suppress(OSError):
                self.load(target, self.snapshots)
            time.sleep(pause_s)

    def next_snapshot(self, pause_s: float = 0.1) -> None:
        """Bring a new index to all targets, then remove the oldest."""
        with self._lock:
            self.snapshots.append(Snapshot(self.snapshots[-1] + 1))
            self.publish()
            self.load_all(pause_s)
            time.sleep(2.5)
            while len(self.snapshots) > 2:
                del self.snapshots[0]
            self.load_all(pause_s)

    # Configuration.

    def documents(self) -> list[declared.Declared]:
        """Return the service and its pool as they should stand."""
        service, pool = self.tier.documents()
        service['maps'] = [self._map(g) for g in self.generations]
        service['deadlines']['default_ms'] = self.deadline_ms
        for target in pool['targets']:
            target['shards'] = self.shards_of(target['id'])
        return [_declared(service), _declared(pool)]

    def _map(self, generation: Generation) -> dict:
        starts = self.starts(generation)
        ends = [*list(starts.values())[1:], None]
        return {
            'generation': generation,
            'shards': [
                {'id': shard, 'start': start, 'end': end}
                for (shard, start), end in zip(
                    starts.items(), ends, strict=True
                )
            ],
        }

    def apply(self, *deadlines_ms: int) -> list[Outcome]:
        """Let as many operators race as there are deadlines given."""
        with self._lock:
            outcomes = asyncio.run(self._race(deadlines_ms))
        return outcomes

    async def _race(self, deadlines_ms: tuple[int, ...]) -> list[Outcome]:
        runs = []
        for deadline_ms in deadlines_ms:
            self.deadline_ms = deadline_ms
            runs.append(self._apply(self.documents()))
        return list(await asyncio.gather(*runs))

    async def _apply(self, items: list[declared.Declared]) -> Outcome:
        client = PlatformClient(
            PlatformSettings(url=self.tier.platform_url),
            Metrics('operator'),
            random.Random(self.rng.random()),
        )
        try:
            result = await Operations(client).apply(items)
        except SesamewardError as exc:
            return Outcome((), exc)
        finally:
            client.close()
        outcome = result.unwrap() if isinstance(result, Success) else None
        if outcome is None:
            return result.failure()
        if any(a.changed for a in outcome.applied):
            self.observer.add(rec.Accepted, CONFIG, Revision(outcome.revision))
        return outcome

    def repartition(self, pause_s: float = 2.5) -> bool:
        """Serve a second map for a while, then drop the first."""
        with self._lock:
            old = list(self.generations)
            self.generations = [*old, Generation(old[-1] + 1)]
            self.publish()
            self.load_all(0.05)
            if not self._accepted():
                self.generations = old
                return False
            time.sleep(pause_s)
            self.generations = self.generations[-1:]
            if not self._accepted():
                self.generations = [*old, Generation(old[-1] + 1)]
                return False
            time.sleep(pause_s)
            self.load_all()
            return True

    def _accepted(self) -> bool:
        (outcome,) = asyncio.run(self._race((self.deadline_ms,)))
        return outcome.error is None

    # Processes.

    def place(self, index: int) -> Place:
        """Return where an entry is."""
        entry = self.tier.entries[index]
        return Place(NodeId(self.tier.node_name(index)), entry.ports['port'])

    def place_of(self, port: int) -> Place | None:
        """Return the entry behind a port."""
        for index in range(len(self.tier.entries)):
            if self.place(index).port == port:
                return self.place(index)
        return None

    def kill_entry(self, index: int) -> None:
        """Kill an entry."""
        self.observer.add(rec.EntryKilled, self.place(index).node)
        self.tier.entries[index].kill()

    def stop_entry(self, index: int) -> None:
        """Shut an entry down gracefully."""
        self.observer.add(rec.EntryStopping, self.place(index).node)
        self.tier.entries[index].send(signal.SIGTERM)

    def start_entry(self, index: int) -> None:
        """Start an entry in place of one that ended."""
        self.tier.entries[index].close()
        entry = self.tier.start_entry(index)
        _ = entry.ports
        self.tier.entries[index] = entry
        self.observer.add(rec.EntryStarted, self.place(index).node)

    def restart_node(self, index: int) -> None:
        """Replace a VM's processes."""
        if self.tier.entries[index].exit_code is None:
            self.kill_entry(index)
        self.tier.agents[index].close()
        agent = self.tier.start_agent(index)
        _ = agent.ports
        self.tier.agents[index] = agent
        self.start_entry(index)

    def restart_target(self, target: str) -> None:
        """Start a target again with the data it should hold."""
        instance, server = target.removeprefix('t').split('-')
        self.tier.targets[target].close()
        self.tier.start_target(int(instance), int(server))
        wait_until(lambda: self._answers(target), target)
        self.load(target, self.snapshots)

    def _answers(self, target: str) -> bool:
        return bool(self.tier.calls(target))

    def faults(self, target: str, **faults: object) -> None:
        """Switch the faults of a target that runs; none heals it."""
        if self.tier.targets[target].exit_code is None:
            self.tier.set_faults(target, **faults)

    def drain(self, target: str, on: bool = True) -> None:
        """Let a target say that it leaves, or that it is back."""
        if on:
            self.faults(target, drain=True)
            self.observer.add(rec.TargetLeaving, TargetId(target))
        else:
            self.observer.add(rec.TargetBack, TargetId(target))
            self.faults(target)

    def store(self, **faults: object) -> None:
        """Switch the platform's faults; none heals it."""
        call(self.tier.platform.ports['port'], '/standin/faults', faults)

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if process.exit_code is None:
            process.send(number)


def _record(key: str) -> Record:
    return Record(key, RecordVersion(1))


def _declared(document: dict) -> declared.Declared:
    fields = dict(document)
    kind = fields.pop('kind')
    return declared.decode(kind, msgspec.json.encode(fields))
