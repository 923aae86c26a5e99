"""Measure failure detection, false removals and rejoining after a cut."""

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
PROCESSES = 5
SEEDS = 40
KILL_TIMEOUT_S = 15.0
WARM_UP_S = 1.0
LOSS = 0.05
LOSS_MINUTES = 30
FREEZE_S = 2.0
WINDOW_S = 10.0
CUT_S = 3_600.0
SHORT_CUT_S = 70.0
HEAL_TIMEOUT_S = 600.0
SIDES = 4

Kind = type[Swim]


class WithoutSuspicion(Swim):
    """Count a member as dead after one failed probe."""

    def _skip_pause(self, now: float) -> None:
        self._ticked_at = now

    def _on_fail(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None or not self._is_live(probe.node):
            return
        member = self._roster.get(probe.node)
        dead = msgspec.structs.replace(member, state=MemberState.DEAD)
        claim = self._claim(dead, self._me.node)
        self._adopt(now, dead, claim, Lane.URGENT)


class WithoutLifeguard(Swim):
    """Suspect after one failed probe, for a fixed time, with no scores."""

    def __init__(
        self, me: Member, cfg: MembershipSettings, rng: random.Random
    ):
        fixed = msgspec.structs.replace(cfg, suspicion_mult=1)
        super().__init__(me, fixed, rng)
        self._health.add = lambda amount: None

    def _skip_pause(self, now: float) -> None:
        self._ticked_at = now

    def _doubts(self, node):
        return []

    def _suspicion(self, now: float, member: Member) -> Suspicion:
        suspicion = super()._suspicion(now, member)
        suspicion.failures = max(suspicion.failures, 1)
        return suspicion


def measure_kill(members: int, seed: int, kind: Kind) -> float | None:
    """Return after how long all others know of a killed agent."""
    known: dict[int, float] = {}

    def observe(now: float, index: int, member: Member) -> None:
        if member.node == victim and member.state is MemberState.DEAD:
            known.setdefault(index, now)

    built = build_members(members)
    victim = built[0].node
    cluster = Cluster(built, CFG, seed, observer=observe, kind=kind)
    cluster.know_each_other()
    cluster.run(WARM_UP_S + seed * 0.0131)
    killed_at = cluster.now
    cluster.kill(0)
    while len(known) < members - 1:
        if cluster.now - killed_at > KILL_TIMEOUT_S:
            return None
        cluster.run(cluster.now + 0.5)
    return max(known.values()) - killed_at


def measure_kills(members: int, seeds: int, kind: Kind) -> dict:
    """Return the spread of detection times over several seeds."""
    taken = [measure_kill(members, seed, kind) for seed in range(seeds)]
    found = sorted(seconds for seconds in taken if seconds is not None)
    return {
        'members': members,
        'seeds': seeds,
        'missed': len(taken) - len(found),
        'median_s': round(statistics.median(found), 3),
        'max_s': round(found[-1], 3),
    }


def measure_loss(members: int, kind: Kind) -> dict:
    """Return how often living agents were held dead, under loss."""
    removals = []
    suspicions = []

    def observe(now: float, index: int, member: Member) -> None:
        match member.state:
            case MemberState.DEAD:
                removals.append((index, member.node))
            case MemberState.SUSPECT:
                suspicions.append((index, member.node))

    cluster = Cluster(build_members(members), CFG, 1, LOSS, observe, kind=kind)
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
        'loss': LOSS,
        'false_removals': len(removals),
        'suspicions': len(suspicions),
    }


class Traffic(msgspec.Struct, frozen=True):
    """Hold bytes a second per node: the mean and the busiest node."""

    mean: float
    max_sent: float
    max_received: float


def watch_traffic(cluster: Cluster) -> Traffic:
    """Run for one window and return its traffic."""
    cluster.reset_bytes()
    cluster.run(cluster.now + WINDOW_S)
    sent = [agent.sent_bytes / WINDOW_S for agent in cluster.agents]
    received = [agent.received_bytes / WINDOW_S for agent in cluster.agents]
    return Traffic(statistics.mean(sent), max(sent), max(received))


def measure_cut(members: int, cut_s: float) -> dict:
    """Return how a region which was cut joins again, and its traffic."""
    cluster = Cluster(build_members(members), CFG, 1, counts_bytes=True)
    cluster.know_each_other()
    cluster.run(WINDOW_S)
    normal = [watch_traffic(cluster) for _ in range(12)]
    cluster.side = lambda index: index % SIDES == 0
    cut = [watch_traffic(cluster) for _ in range(6)]
    cluster.run(cluster.now + cut_s - 6 * WINDOW_S)
    apart = all(len(a.swim.members()) < members for a in cluster.agents)
    cluster.side = None
    healed_at = cluster.now
    heal = []
    whole_s = None
    while whole_s is None and cluster.now - healed_at < HEAL_TIMEOUT_S:
        heal.append(watch_traffic(cluster))
        if all(len(a.swim.members()) == members for a in cluster.agents):
            whole_s = cluster.now - healed_at
    heal += [watch_traffic(cluster) for _ in range(3)]
    return {
        'members': members,
        'cut_s': cut_s,
        'all_apart': apart,
        'whole_within_s': whole_s,
        'normal_bytes_per_s': round(peak(normal, 'mean')),
        'heal_over_normal': {
            name: round(peak(heal, name) / peak(normal, name), 2)
            for name in Traffic.__struct_fields__
        },
        'cut_bytes_per_s': {
            name: round(peak(cut, name)) for name in Traffic.__struct_fields__
        },
    }


def peak(windows: list[Traffic], name: str) -> float:
    """Return the highest window."""
    return max(getattr(window, name) for window in windows)


def main() -> None:
    """Run all measurements side by side and print the figures."""
    large = int(sys.argv[1]) if len(sys.argv) > 1 else 4_800
    runs: dict[str, tuple[typing.Callable, tuple]] = {
        f'kill_{large}': (measure_kills, (large, 1, Swim)),
        'cut_hour': (measure_cut, (16, CUT_S)),
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
    began = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        futures = {
            name: pool.submit(function, *args)
            for name, (function, args) in runs.items()
        }
        results = {name: future.result() for name, future in futures.items()}
    for name, result in results.items():
        print(name, json.dumps(result))
    results['wall_s'] = round(time.monotonic() - began, 1)
    print(json.dumps({'benchmark': 'membership', **results}))


if __name__ == '__main__':
    main()
