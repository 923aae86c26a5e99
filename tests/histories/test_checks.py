"""Test that checks pass correct histories and fail mutated ones."""

from __future__ import annotations

import subprocess
import sys

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.messages import End
from sesameward.messages import Open
from sesameward.types import NodeId
from sesameward.types import RunState

from . import checks
from . import generate
from . import records as rec
from . import shrink

SEEDS = range(40)


@pytest.mark.parametrize('seed', SEEDS)
def test_right_histories_pass(seed):
    assert checks.check(generate.generate(seed)) == []


def find_violations(mutation):
    """Return the first seed whose mutated history has violations.

    Returns the seed, the history and the violations.
    """
    for seed in SEEDS:
        history = generate.generate(seed, mutation)
        violations = checks.check(history)
        if violations:
            return seed, history, violations
    pytest.fail(f'{mutation} is found for no seed')


@pytest.mark.parametrize('mutation', generate.Mutation)
def test_each_mutation_is_caught(mutation):
    _, _, violations = find_violations(mutation)
    check_names = {violation.check for violation in violations}
    assert generate.CAUGHT_BY[mutation] in check_names


def test_each_check_has_a_mutation():
    assert {check.__name__ for check in checks.CHECKS} == set(
        generate.CAUGHT_BY.values()
    )


@pytest.mark.parametrize('mutation', generate.Mutation)
def test_shortened_history_shows_the_same(mutation):
    seed, history, violations = find_violations(mutation)
    shortened = shrink.shorten(history, violations[0])
    assert violations[0] in checks.check(shortened)
    assert len(shortened) <= 8 < len(history)
    text = shrink.render(history, violations[0], seed)
    assert f'seed {seed}' in text
    assert len(text.splitlines()) == len(shortened) + 1


@hypothesis.given(st.sets(st.integers(0, 50)), st.sets(st.integers(0, 50)))
def test_shrink_keeps_only_what_is_needed(needed, others):
    items = sorted(needed | others)
    shrunk = shrink.shrink(items, lambda part: needed <= set(part))
    assert set(shrunk) == needed


def test_records_survive_a_file(tmp_path):
    history = generate.generate(1)
    paths = [tmp_path / f'{index}.jsonl' for index in range(2)]
    recorders = [rec.Recorder(path) for path in paths]
    for index, record in enumerate(history):
        recorders[index % 2].add(record)
    for recorder in recorders:
        recorder.close()
    paths[0].write_bytes(paths[0].read_bytes() + b'{"record":"To')
    loaded = rec.load_history(paths)
    encode = msgspec.json.encode
    assert sorted(map(encode, loaded)) == sorted(map(encode, history))
    assert checks.check(loaded) == []


@pytest.mark.parametrize(
    'mutation, exit_code', [(None, 0), (generate.Mutation.ROW_LOST, 1)]
)
def test_recorded_files_are_checked(tmp_path, mutation, exit_code):
    path = tmp_path / 'run.jsonl'
    recorder = rec.Recorder(path)
    for record in generate.generate(3, mutation):
        recorder.add(record)
    command = [sys.executable, '-m', 'tests.histories', 'files']
    process = subprocess.run(
        [*command, '--seed', '3', str(path)], capture_output=True, text=True
    )
    assert process.returncode == exit_code, process.stderr
    assert (
        'true_coverage broken for q1 (seed 3)' in process.stdout
    ) == exit_code


def test_kill_during_a_shutdown_is_not_the_shutdowns_fault():
    entry = NodeId('e0')
    history = [
        rec.BookingSent(1.0, 'b', entry, 'k', 'd', 1),
        rec.EntryStopping(2.0, entry),
        rec.EntryKilled(3.0, entry),
        rec.Cut(3.1, 'b'),
    ]
    assert checks.check(history) == []
    without_kill = [r for r in history if not isinstance(r, rec.EntryKilled)]
    assert [v.subject for v in checks.check(without_kill)] == ['b']


def test_no_told_to_a_resend_binds_earlier_sends():
    entry = NodeId('e0')
    history = [
        rec.BookingSent(1.0, 'b1', entry, 'k', 'd', 1),
        rec.BookingSent(2.0, 'b2', entry, 'k', 'd', 2),
        rec.Told(3.0, 'b2', RunState.NO),
        rec.TargetBooked(4.0, 't0', 'b1', 'k', 'd'),
    ]
    assert [v.check for v in checks.check(history)] == ['not_run']
    later_effect = msgspec.structs.replace(history[3], token='b3')
    later_send = rec.BookingSent(3.5, 'b3', entry, 'k', 'd', 3)
    assert checks.check([*history[:3], later_send, later_effect]) == []


@pytest.mark.parametrize(
    'shards, problems', [((), 1), (('s1',), 0), (('s0', 's1'), 2)]
)
def test_a_key_which_its_shard_lacks_is_asked_for(shards, problems):
    entry = NodeId('e0')
    count = len(shards)
    keys_by_shard = {'s0': ('a',), 's1': ('n',)}
    history = [
        rec.Published(0.0, 'trip', 1, 1, keys_by_shard, {'s0': '', 's1': 'm'}),
        rec.QuerySent(1.0, 'q', entry, 'trip', ('x',)),
        rec.OpenReceived(1.1, 'q', Open('r', 'trip', 1, 1, count)),
        *(rec.RowsReceived(1.2, 'q', shard, ()) for shard in shards),
        rec.EndReceived(1.3, 'q', End('r', True, count, count)),
    ]
    violations = checks.check(history)
    assert {v.check for v in violations} <= {'true_coverage'}
    assert len(violations) == problems
