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
from tests.soak.world import World


def soak(
    *,
    seeds: int = 3,
    first: int = 1,
    length: float = 10.0,
    nodes: int = 3,
    fresh: bool = False,
) -> None:
    """Run one soak test per seed; exit with 1 if any seed had violations.

    :param seeds: how many consecutive seeds to run
    :param first: the first seed
    :param length: seconds over which the faults of one seed start
    :param nodes: how many node processes to start
    :param fresh: take the first seed from the clock instead
    """
    if fresh:
        first = int(time.time())
    failed = 0
    kinds: collections.Counter[str] = collections.Counter()
    outcomes: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + seeds):
        world = World(seed, nodes)
        violations = asyncio.run(world.run(length))
        kinds.update(fault.kind for fault in schedule(seed, length))
        outcomes.update(world.outcomes)
        failed += bool(violations)
        print(
            f'seed {seed}: {sum(world.outcomes.values())} requests, '
            f'{len(violations)} violations',
            flush=True,
        )
        for violation in violations[:5]:
            print(f'  {violation}', flush=True)
    print('faults:', dict(kinds))
    print('outcomes:', dict(sorted(outcomes.items())))
    print(f'{seeds} seeds, {failed} with violations')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    defopt.run(soak)
