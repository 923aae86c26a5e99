"""Run the whole matrix, or a part of it, and print its table."""

from __future__ import annotations

import collections
import concurrent.futures
import sys
import time

import defopt

from . import matrix


def run_part(numbers: list[int], seed: int) -> list[matrix.Verdict]:
    """Run some cells on a tier of their own."""
    cells = matrix.plans()
    found = []
    with matrix.Matrix(seed) as part:
        for number in numbers:
            verdict = part.run(cells[number])
            print(verdict.line(), flush=True)
            found.append(verdict)
    return found


def main(*, tiers: int = 3, only: str = '') -> None:
    """Print the table of all cells.

    :param tiers: how many tiers to use at the same time
    :param only: run only the cells whose name has this part
    """
    began_at = time.monotonic()
    cells = matrix.plans()
    numbers = [n for n, plan in enumerate(cells) if only in plan.name]
    parts = [numbers[index::tiers] for index in range(tiers)]
    verdicts = matrix.elsewhere()
    for verdict in verdicts:
        print(verdict.line())
    with concurrent.futures.ProcessPoolExecutor(tiers) as pool:
        runs = [
            pool.submit(run_part, part, seed)
            for seed, part in enumerate(parts, 1)
            if part
        ]
        for run in runs:
            verdicts += run.result()
    for verdict in verdicts:
        for text in verdict.shown:
            print(f'{verdict.name}\n{text}')
    counts = collections.Counter(v.held for v in verdicts)
    print(
        f'{counts[True]} held, {counts[False]} not held, '
        f'{counts[None]} not run, {time.monotonic() - began_at:.0f} s'
    )
    sys.exit(1 if counts[False] else 0)


if __name__ == '__main__':
    defopt.run(main)
