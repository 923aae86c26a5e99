"""Run seeded histories and check them, or check recorded files."""

from __future__ import annotations

import pathlib
import sys

import defopt

from sesameward.bookings import bookings

from . import checks
from . import records
from . import shrink


def files(*paths: pathlib.Path, seed: int = 0) -> None:
    """Check the records that the processes of one run wrote to files.

    :param paths: files of JSON lines, one per process
    :param seed: the seed of the run, printed with each violation
    """
    history = records.load_history(paths)
    violations = checks.check(history)
    for violation in violations:
        print(shrink.render(history, violation, seed))
    print(f'{len(history)} records, {len(violations)} violations')
    sys.exit(1 if violations else 0)


def booking_seeds(*, seeds: int = 1_000, first: int = 0) -> None:
    """Run seeded interleavings of bookings in a simulation and check them.

    :param seeds: how many histories to run
    :param first: the first seed
    """
    from tests.test_bookings import run_history

    failed = 0
    for seed in range(first, first + seeds):
        try:
            run_history(bookings.Booking, seed)
        except AssertionError as exc:
            failed += 1
            print(exc)
    print(f'{seeds} histories, {failed} with violations')
    sys.exit(1 if failed else 0)


def run(*, seeds: int = 3, first: int = 1) -> None:
    """Run seeded faults on a tier of processes and check the histories.

    :param seeds: how many histories to run
    :param first: the first seed
    """
    from . import runner

    failed = 0
    for seed in range(first, first + seeds):
        result = runner.run(seed)
        failed += bool(result.violations)
        print('\n'.join(result.lines()), flush=True)
    print(f'{seeds} histories, {failed} with violations')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    defopt.run([run, files, booking_seeds])
