"""Run the soak test for a range of seeds.

Example: python -m tests.soak --seeds 50 --first 1 --length 12
"""

from __future__ import annotations

import asyncio
import collections
import sys
import time

import defopt

from tests.soak.faults import schedule
from tests.soak.hard_load import HardLoadWorld
from tests.soak.world import World


def soak(
    *,
    seeds: int = 3,
    first: int = 1,
    length: float = 10.0,
    nodes: int = 3,
    fresh: bool = False,
    hard_load: bool = False,
) -> None:
    """Run one soak test per seed; exit with 1 if any seed had violations.

    :param seeds: how many consecutive seeds to run
    :param first: the first seed
    :param length: seconds over which the faults of one seed start
    :param nodes: how many node processes to start
    :param fresh: take the first seed from the clock instead
    :param hard_load: with organisations, cold targets and evacuated zones
    """
    if fresh:
        first = int(time.time())
    failed = 0
    kinds: collections.Counter[str] = collections.Counter()
    outcomes: collections.Counter[str] = collections.Counter()
    most: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + seeds):
        world = HardLoadWorld(seed, nodes) if hard_load else World(seed, nodes)
        violations = asyncio.run(world.run(length))
        faults = schedule(seed, length, world.kinds)
        kinds.update(fault.kind for fault in faults)
        outcomes.update(world.outcomes)
        if isinstance(world, HardLoadWorld):
            most |= world.most
        failed += bool(violations)
        print(
            f'seed {seed}: {sum(world.outcomes.values())} requests, '
            f'{len(violations)} violations',
            flush=True,
        )
        for violation in violations[:5]:
            print(f'  {violation}', flush=True)
    print('faults:', dict(kinds))
    if hard_load:
        print('greatest counts:', dict(most))
    print('outcomes:', dict(sorted(outcomes.items())))
    print(f'{seeds} seeds, {failed} with violations')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    defopt.run(soak)
