"""Run benchmarks at a small size to check that they still work."""

import json
import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    'args',
    [
        ('path', '2', '4'),
        ('node', '4'),
        ('tail', '1', '1'),
    ],
    ids=lambda args: args[0],
)
def test_benchmark_runs_and_ends_with_its_figures(args):
    name, *sizes = args
    process = subprocess.run(
        [sys.executable, '-m', f'benchmark.{name}', *sizes],
        capture_output=True,
        timeout=120,
        check=False,
    )
    last_lines = process.stdout.decode().strip().splitlines()[-1:]
    assert last_lines, process.stderr.decode()[-500:]
    assert json.loads(last_lines[0])


def test_process_that_serves_several_targets_gives_each_its_port():
    from benchmark.path import make_shape
    from benchmark.path import QuickTier

    with QuickTier(make_shape(5)) as tier:
        ports = list(tier.target_ports.values())
        assert len(ports) == len(set(ports)) == 5 * tier.shape.servers
