"""Measure failure detection, false removals and rejoin after a partition."""

from __future__ import annotations

import concurrent.futures
import json
import random
import statistics
import sys
import time
import typing

import msgspec

from benchmark.virtual import build_members
from benchmark.virtual import Cluster
from sesameward.membership.outbox import Lane
from sesameward.membership.suspicion import Suspicion
from sesameward.membership.swim import Swim
from sesameward.messages import Member
from sesameward.settings import MembershipSettings
from sesameward.types import MemberState

CFG = MembershipSettings(keys=('benchmark',))
WORKER_PROCESSES = 5
SEEDS = 40
KILL_TIMEOUT_S = 15.0
WARM_UP_S = 1.0
DATAGRAM_LOSS = 0.05
LOSS_MINUTES = 30
FREEZE_S = 2.0
WINDOW_S = 10.0
LONG_CUT_S = 3_600.0
SHORT_CUT_S = 70.0
REJOIN_TIMEOUT_S = 600.0
REGION_STEP = 4

SwimClass = type[Swim]


class WithoutSuspicion(Swim):
    """Declare a member dead after one failed probe."""

    def _postpone_timers(self, now: float) -> None:
        self._last_event_at = now

    def _on_probe_timeout(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None or not self._is_live(probe.node):
            return
        member = self._roster.get(probe.node)
        dead = msgspec.structs.replace(member, state=MemberState.DEAD)
        claim = self._claim(dead, self._me.node)
        self._adopt(now, dead, claim, Lane.URGENT)


class WithoutLifeguard(Swim):
    """Turn the Lifeguard extensions of SWIM off.

    One failed probe starts a suspicion of fixed length. There are no health
    scores, an agent's own pauses aren't compensated for, and messages
    to a member don't tell it that it is suspected.
    """

    def __init__(
        self, me: Member, cfg: MembershipSettings, rng: random.Random
    ):
        fixed = msgspec.structs.replace(cfg, suspicion_mult=1)
        super().__init__(me, fixed, rng)
        self._health.add = lambda amount: None

    def _postpone_timers(self, now: float) -> None:
        self._last_event_at = now

    def _claims_to_refute(self, node):
        return []

    def _suspicion(self, now: float, member: Member) -> Suspicion:
        suspicion = super()._suspicion(now, member)
        suspicion.failures = max(suspicion.failures, 1)
        return suspicion


def measure_kill(members: int, seed: int, kind: SwimClass) -> float | None:
    """Return the seconds until all agents hold a killed one dead, or None."""
    detected_at: dict[int, float] = {}

    def observe(now: float, index: int, member: Member) -> None:
        if member.node == victim and member.state is MemberState.DEAD:
            detected_at.setdefault(index, now)

    built = build_members(members)
    victim = built[0].node
    cluster = Cluster(built, CFG, seed, observer=observe, kind=kind)
    cluster.know_each_other()
    cluster.run(WARM_UP_S + seed * 0.0131)
    killed_at = cluster.now
    cluster.kill(0)
    while len(detected_at) < members - 1:
        if cluster.now - killed_at > KILL_TIMEOUT_S:
            return None
        cluster.run(cluster.now + 0.5)
    return max(detected_at.values()) - killed_at


def measure_kills(members: int, seeds: int, kind: SwimClass) -> dict:
    """Return the median and maximum detection time over several seeds."""
    times_s = [measure_kill(members, seed, kind) for seed in range(seeds)]
    detected_s = sorted(
        elapsed_s for elapsed_s in times_s if elapsed_s is not None
    )
    return {
        'members': members,
        'seeds': seeds,
        'missed': len(times_s) - len(detected_s),
        'median_s': round(statistics.median(detected_s), 3),
        'max_s': round(detected_s[-1], 3),
    }


def measure_loss(members: int, kind: SwimClass) -> dict:
    """Count suspicions and removals of live agents under datagram loss.

    One agent is also frozen for FREEZE_S in each minute.
    """
    removals = []
    suspicions = []

    def observe(now: float, index: int, member: Member) -> None:
        match member.state:
            case MemberState.DEAD:
                removals.append((index, member.node))
            case MemberState.SUSPECT:
                suspicions.append((index, member.node))

    cluster = Cluster(
        build_members(members), CFG, 1, DATAGRAM_LOSS, observe, kind=kind
    )
    cluster.know_each_other()
    for minute in range(LOSS_MINUTES):
        cluster.at(
            60.0 * minute + 20.0,
            lambda minute=minute: cluster.freeze(minute % members, FREEZE_S),
        )
    cluster.run(60.0 * LOSS_MINUTES)
    return {
        'members': members,
        'virtual_minutes': LOSS_MINUTES,
        'loss': DATAGRAM_LOSS,
        'false_removals': len(removals),
        'suspicions': len(suspicions),
    }


class Traffic(msgspec.Struct, frozen=True):
    """Hold bytes per second and node: the mean and that of the busiest."""

    mean: float
    max_sent: float
    max_received: float


def measure_traffic(cluster: Cluster) -> Traffic:
    """Run the cluster for one window and return its traffic."""
    cluster.reset_bytes()
    cluster.run(cluster.now + WINDOW_S)
    sent = [agent.sent_bytes / WINDOW_S for agent in cluster.agents]
    received = [agent.received_bytes / WINDOW_S for agent in cluster.agents]
    return Traffic(statistics.mean(sent), max(sent), max(received))


def measure_cut(members: int, cut_s: float) -> dict:
    """Partition a cluster for cut_s; return rejoin time and traffic.

    The smaller side has one in REGION_STEP members.
    """
    cluster = Cluster(build_members(members), CFG, 1, counts_bytes=True)
    cluster.know_each_other()
    cluster.run(WINDOW_S)
    normal_windows = [measure_traffic(cluster) for _ in range(12)]
    cluster.side = lambda index: index % REGION_STEP == 0
    cut_windows = [measure_traffic(cluster) for _ in range(6)]
    cluster.run(cluster.now + cut_s - 6 * WINDOW_S)
    all_apart = all(
        len(agent.swim.members()) < members for agent in cluster.agents
    )
    cluster.side = None
    reconnected_at = cluster.now
    rejoin_windows = []
    rejoined_after_s = None
    while (
        rejoined_after_s is None
        and cluster.now - reconnected_at < REJOIN_TIMEOUT_S
    ):
        rejoin_windows.append(measure_traffic(cluster))
        if all(
            len(agent.swim.members()) == members for agent in cluster.agents
        ):
            rejoined_after_s = cluster.now - reconnected_at
    rejoin_windows += [measure_traffic(cluster) for _ in range(3)]
    return {
        'members': members,
        'cut_s': cut_s,
        'all_apart': all_apart,
        'whole_within_s': rejoined_after_s,
        'normal_bytes_per_s': round(peak(normal_windows, 'mean')),
        'heal_over_normal': {
            name: round(
                peak(rejoin_windows, name) / peak(normal_windows, name), 2
            )
            for name in Traffic.__struct_fields__
        },
        'cut_bytes_per_s': {
            name: round(peak(cut_windows, name))
            for name in Traffic.__struct_fields__
        },
    }


def peak(windows: list[Traffic], name: str) -> float:
    """Return the highest value of a field over all windows."""
    return max(getattr(window, name) for window in windows)


def main() -> None:
    """Run all measurements in parallel and print the figures.

    The argument is the number of members of the largest cluster.
    """
    large_members = int(sys.argv[1]) if len(sys.argv) > 1 else 4_800
    runs: dict[str, tuple[typing.Callable, tuple]] = {
        f'kill_{large_members}': (measure_kills, (large_members, 1, Swim)),
        'cut_hour': (measure_cut, (16, LONG_CUT_S)),
        'cut_short': (measure_cut, (150, SHORT_CUT_S)),
        'loss_20': (measure_loss, (20, Swim)),
        'loss_5': (measure_loss, (5, Swim)),
        'loss_5_without_lifeguard': (measure_loss, (5, WithoutLifeguard)),
        'loss_5_without_suspicion': (measure_loss, (5, WithoutSuspicion)),
        'kill_5': (measure_kills, (5, SEEDS, Swim)),
        'kill_5_without_lifeguard': (
            measure_kills,
            (5, SEEDS, WithoutLifeguard),
        ),
        'kill_5_without_suspicion': (
            measure_kills,
            (5, SEEDS, WithoutSuspicion),
        ),
    }
    began_at = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        futures = {
            name: pool.submit(function, *args)
            for name, (function, args) in runs.items()
        }
        results = {name: future.result() for name, future in futures.items()}
    for name, result in results.items():
        print(name, json.dumps(result))
    results['wall_s'] = round(time.monotonic() - began_at, 1)
    print(json.dumps({'benchmark': 'membership', **results}))


if __name__ == '__main__':
    main()
