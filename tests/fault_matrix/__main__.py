"""Run all cells of the fault matrix, or some, and print the results."""

from __future__ import annotations

import collections
import concurrent.futures
import sys
import time

import defopt

from . import matrix


def run_cells(numbers: list[int], seed: int) -> list[matrix.Verdict]:
    """Run the cells with these numbers on a separate tier."""
    cells = matrix.plans()
    verdicts = []
    with matrix.Matrix(seed) as tier_matrix:
        for number in numbers:
            verdict = tier_matrix.run(cells[number])
            print(verdict.table_row(), flush=True)
            verdicts.append(verdict)
    return verdicts


def main(*, tiers: int = 3, only: str = '') -> None:
    """Run cells on several tiers; exit with 1 if a promise was broken.

    :param tiers: how many tiers run at the same time
    :param only: run only the cells whose names contain this text
    """
    began_at = time.monotonic()
    cells = matrix.plans()
    numbers = [n for n, plan in enumerate(cells) if only in plan.name]
    numbers_by_tier = [numbers[index::tiers] for index in range(tiers)]
    verdicts = matrix.covered_elsewhere()
    for verdict in verdicts:
        print(verdict.table_row())
    with concurrent.futures.ProcessPoolExecutor(tiers) as pool:
        futures = [
            pool.submit(run_cells, tier_numbers, seed)
            for seed, tier_numbers in enumerate(numbers_by_tier, 1)
            if tier_numbers
        ]
        for future in futures:
            verdicts += future.result()
    for verdict in verdicts:
        for violation_text in verdict.violation_texts:
            print(f'{verdict.name}\n{violation_text}')
    counts = collections.Counter(v.held for v in verdicts)
    print(
        f'{counts[True]} held, {counts[False]} not held, '
        f'{counts[None]} not run, {time.monotonic() - began_at:.0f} s'
    )
    sys.exit(1 if counts[False] else 0)


if __name__ == '__main__':
    defopt.run(main)
