"""Change a tier's data, configuration and processes, and record changes."""

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
from .observe import EntryAddress
from .observe import Observer
from .observe import SERVICE

RECOVERY_TIMEOUT_S = 15.0


class World:
    """Control a tier during a run and record changes for the checks."""

    def __init__(self, tier: Tier, observer: Observer, seed: int = 0):
        self.tier = tier
        self.observer = observer
        self.rng = random.Random(seed)
        self.snapshots: list[Snapshot] = [Snapshot(1)]
        self.generations: list[Generation] = [Generation(1)]
        self._published: set[tuple[Generation, Snapshot]] = set()
        self._lock = threading.Lock()
        self.deadline_ms = tier.shape.deadline_ms
        self.record_snapshots()

    # Data and snapshots.

    def first_generation_keys(
        self, shard: str, snapshot: Snapshot
    ) -> tuple[str, ...]:
        """Return the keys that a shard of generation 1 has in a snapshot.

        Each snapshot after the first lacks one original key and has one more.
        """
        count = self.tier.shape.records
        keys = [f'{shard}-{index:04d}' for index in range(count)]
        if snapshot > 1:
            del keys[snapshot % count]
            keys.append(f'{shard}-1{snapshot:03d}')
        return tuple(keys)

    def source_shards(
        self, generation: Generation
    ) -> dict[ShardId, tuple[str, ...]]:
        """Return for each shard the shards of generation 1 that it contains.

        Shards of later generations contain two each.
        """
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
        """Return the keys of each shard of a generation in a snapshot."""
        return {
            shard: tuple(
                k
                for source in sources
                for k in self.first_generation_keys(source, snapshot)
            )
            for shard, sources in self.source_shards(generation).items()
        }

    def record_snapshots(self) -> None:
        """Record the contents of served snapshots not recorded so far."""
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
                    self.range_starts(generation),
                )

    def range_starts(self, generation: Generation) -> dict[ShardId, str]:
        """Return the first key of each shard's range."""
        source_shards = list(self.source_shards(generation).items())
        return {
            shard: sources[0] if index else ''
            for index, (shard, sources) in enumerate(source_shards)
        }

    def shards_of(self, target: str) -> list[ShardId]:
        """Return the shards that a target holds in all served generations."""
        instance = int(target.removeprefix('t').split('-')[0])
        count = self.tier.shape.instances
        found = []
        for generation in self.generations:
            found += list(self.source_shards(generation))[instance::count]
        return found

    def load_target(self, target: str, snapshots: list[Snapshot]) -> None:
        """Replace a target's data with these snapshots of its shards."""
        target_shards = self.shards_of(target)
        changed = {
            snapshot: {
                shard: [_record(k) for k in keys]
                for generation in self.generations
                for shard, keys in self.keys(generation, snapshot).items()
                if shard in target_shards
            }
            for snapshot in snapshots
        }
        data = {
            'records': changed[max(snapshots)],
            'changed': {str(s): shards for s, shards in changed.items()},
            'snapshots': snapshots,
        }
        call(self.tier.target_ports[target], '/standin/data', data)

    def load_all_targets(self, pause_s: float = 0.0) -> None:
        """Load the served snapshots into all targets, one by one.

        Targets that can't be reached are skipped.
        """
        for target in list(self.tier.targets):
            with contextlib.suppress(OSError):
                self.load_target(target, self.snapshots)
            time.sleep(pause_s)

    def next_snapshot(self, pause_s: float = 0.1) -> None:
        """Load a new snapshot into all targets, then remove the oldest."""
        with self._lock:
            self.snapshots.append(Snapshot(self.snapshots[-1] + 1))
            self.record_snapshots()
            self.load_all_targets(pause_s)
            time.sleep(2.5)
            while len(self.snapshots) > 2:
                del self.snapshots[0]
            self.load_all_targets(pause_s)

    # Configuration changes.

    def documents(self) -> list[declared.Declared]:
        """Return the service and pool with the current maps and deadline."""
        service, pool = self.tier.documents()
        service['maps'] = [self._map(g) for g in self.generations]
        service['deadlines']['default_ms'] = self.deadline_ms
        for target in pool['targets']:
            target['shards'] = self.shards_of(target['id'])
        return [_declared(service), _declared(pool)]

    def _map(self, generation: Generation) -> dict:
        range_starts = self.range_starts(generation)
        ends = [*list(range_starts.values())[1:], None]
        return {
            'generation': generation,
            'shards': [
                {'id': shard, 'start': start, 'end': end}
                for (shard, start), end in zip(
                    range_starts.items(), ends, strict=True
                )
            ],
        }

    def apply_deadlines(self, *deadlines_ms: int) -> list[Outcome]:
        """Apply default deadlines concurrently, one operator for each."""
        with self._lock:
            outcomes = asyncio.run(self._apply_concurrently(deadlines_ms))
        return outcomes

    async def _apply_concurrently(
        self, deadlines_ms: tuple[int, ...]
    ) -> list[Outcome]:
        applies = []
        for deadline_ms in deadlines_ms:
            self.deadline_ms = deadline_ms
            applies.append(self._apply_documents(self.documents()))
        return list(await asyncio.gather(*applies))

    async def _apply_documents(
        self, items: list[declared.Declared]
    ) -> Outcome:
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
        """Add a map of a new generation, then drop the older one.

        Returns whether both changes were accepted.
        """
        with self._lock:
            old_generations = list(self.generations)
            self.generations = [
                *old_generations,
                Generation(old_generations[-1] + 1),
            ]
            self.record_snapshots()
            self.load_all_targets(0.05)
            if not self._is_apply_accepted():
                self.generations = old_generations
                return False
            time.sleep(pause_s)
            self.generations = self.generations[-1:]
            if not self._is_apply_accepted():
                self.generations = [
                    *old_generations,
                    Generation(old_generations[-1] + 1),
                ]
                return False
            time.sleep(pause_s)
            self.load_all_targets()
            return True

    def _is_apply_accepted(self) -> bool:
        (outcome,) = asyncio.run(self._apply_concurrently((self.deadline_ms,)))
        return outcome.error is None

    # Processes and their faults.

    def entry_address(self, index: int) -> EntryAddress:
        """Return the address of the entry on a node."""
        entry = self.tier.entries[index]
        return EntryAddress(
            NodeId(self.tier.node_name(index)), entry.ports['port']
        )

    def entry_at_port(self, port: int) -> EntryAddress | None:
        """Return the address of the entry that listens on a port, if any."""
        for index in range(len(self.tier.entries)):
            if self.entry_address(index).port == port:
                return self.entry_address(index)
        return None

    def kill_entry(self, index: int) -> None:
        """Record that an entry is killed, and kill it."""
        self.observer.add(rec.EntryKilled, self.entry_address(index).node)
        self.tier.entries[index].kill()

    def stop_entry(self, index: int) -> None:
        """Record an entry's graceful shutdown, and start it with SIGTERM."""
        self.observer.add(rec.EntryStopping, self.entry_address(index).node)
        self.tier.entries[index].send(signal.SIGTERM)

    def start_entry(self, index: int) -> None:
        """Start a new process of an entry and wait until it listens."""
        self.tier.entries[index].close()
        entry = self.tier.start_entry(index)
        _ = entry.ports
        self.tier.entries[index] = entry
        self.observer.add(rec.EntryStarted, self.entry_address(index).node)

    def restart_node(self, index: int) -> None:
        """Replace a node's agent and entry by new processes."""
        if self.tier.entries[index].exit_code is None:
            self.kill_entry(index)
        self.tier.agents[index].close()
        agent = self.tier.start_agent(index)
        _ = agent.ports
        self.tier.agents[index] = agent
        self.start_entry(index)

    def restart_target(self, target: str) -> None:
        """Restart a target, wait until it responds and load its data."""
        instance, server = target.removeprefix('t').split('-')
        self.tier.targets[target].close()
        self.tier.start_target(int(instance), int(server))
        wait_until(lambda: self._responds(target), target)
        self.load_target(target, self.snapshots)

    def _responds(self, target: str) -> bool:
        return bool(self.tier.calls(target))

    def set_target_faults(self, target: str, **faults: object) -> None:
        """Set the simulated faults of a running target; none clears them."""
        if self.tier.targets[target].exit_code is None:
            self.tier.set_faults(target, **faults)

    def drain(self, target: str, is_leaving: bool = True) -> None:
        """Let a target announce that it is leaving, or end that; record it."""
        if is_leaving:
            self.set_target_faults(target, drain=True)
            self.observer.add(rec.TargetLeaving, TargetId(target))
        else:
            self.observer.add(rec.TargetBack, TargetId(target))
            self.set_target_faults(target)

    def set_store_faults(self, **faults: object) -> None:
        """Set the platform's simulated faults; without any, clear them."""
        call(self.tier.platform.ports['port'], '/standin/faults', faults)

    def send_signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process unless it has ended."""
        if process.exit_code is None:
            process.send(number)


def _record(key: str) -> Record:
    return Record(key, RecordVersion(1))


def _declared(document: dict) -> declared.Declared:
    fields = dict(document)
    kind = fields.pop('kind')
    return declared.decode(kind, msgspec.json.encode(fields))
