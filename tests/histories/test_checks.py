"""Test that each check passes what is right and catches its violation."""

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


def find(mutation):
    """Return the first seed and history in which the mutation is caught."""
    for seed in SEEDS:
        history = generate.generate(seed, mutation)
        found = checks.check(history)
        if found:
            return seed, history, found
    pytest.fail(f'{mutation} is never caught')


@pytest.mark.parametrize('mutation', generate.Mutation)
def test_each_mutation_is_caught(mutation):
    _, _, found = find(mutation)
    names = {violation.check for violation in found}
    assert generate.CAUGHT_BY[mutation] in names


def test_each_check_has_a_mutation():
    assert {check.__name__ for check in checks.CHECKS} == set(
        generate.CAUGHT_BY.values()
    )


@pytest.mark.parametrize('mutation', generate.Mutation)
def test_shortened_history_shows_the_same(mutation):
    seed, history, found = find(mutation)
    short = shrink.shorten(history, found[0])
    assert found[0] in checks.check(short)
    assert len(short) <= 8 < len(history)
    text = shrink.render(history, found[0], seed)
    assert f'seed {seed}' in text
    assert len(text.splitlines()) == len(short) + 1


@hypothesis.given(st.sets(st.integers(0, 50)), st.sets(st.integers(0, 50)))
def test_shrink_keeps_only_what_is_needed(needed, others):
    items = sorted(needed | others)
    kept = shrink.shrink(items, lambda part: needed <= set(part))
    assert set(kept) == needed


def test_records_survive_a_file(tmp_path):
    history = generate.generate(1)
    paths = [tmp_path / f'{index}.jsonl' for index in range(2)]
    recorders = [rec.Recorder(path) for path in paths]
    for index, record in enumerate(history):
        recorders[index % 2].add(record)
    for recorder in recorders:
        recorder.close()
    paths[0].write_bytes(paths[0].read_bytes() + b'{"record":"To')
    loaded = rec.load(paths)
    key = msgspec.json.encode
    assert sorted(map(key, loaded)) == sorted(map(key, history))
    assert checks.check(loaded) == []


@pytest.mark.parametrize(
    'mutation, status', [(None, 0), (generate.Mutation.ROW_LOST, 1)]
)
def test_recorded_files_are_checked(tmp_path, mutation, status):
    path = tmp_path / 'run.jsonl'
    recorder = rec.Recorder(path)
    for record in generate.generate(3, mutation):
        recorder.add(record)
    command = [sys.executable, '-m', 'tests.histories', 'files']
    done = subprocess.run(
        [*command, '--seed', '3', str(path)], capture_output=True, text=True
    )
    assert done.returncode == status, done.stderr
    assert ('true_coverage broken for q1 (seed 3)' in done.stdout) == status


def test_kill_during_a_shutdown_is_not_the_shutdowns_fault():
    entry = NodeId('e0')
    history = [
        rec.BookingSent(1.0, 'b', entry, 'k', 'd', 1),
        rec.EntryStopping(2.0, entry),
        rec.EntryKilled(3.0, entry),
        rec.Cut(3.1, 'b'),
    ]
    assert checks.check(history) == []
    cut = [r for r in history if not isinstance(r, rec.EntryKilled)]
    assert [v.subject for v in checks.check(cut)] == ['b']


def test_no_told_to_a_resend_binds_earlier_sends():
    entry = NodeId('e0')
    history = [
        rec.BookingSent(1.0, 'b1', entry, 'k', 'd', 1),
        rec.BookingSent(2.0, 'b2', entry, 'k', 'd', 2),
        rec.Told(3.0, 'b2', RunState.NO),
        rec.TargetBooked(4.0, 't0', 'b1', 'k', 'd'),
    ]
    assert [v.check for v in checks.check(history)] == ['not_run']
    later = msgspec.structs.replace(history[3], token='b3')
    sent = rec.BookingSent(3.5, 'b3', entry, 'k', 'd', 3)
    assert checks.check([*history[:3], sent, later]) == []


@pytest.mark.parametrize(
    'shards, problems', [((), 1), (('s1',), 0), (('s0', 's1'), 2)]
)
def test_a_key_which_its_shard_lacks_is_asked_for(shards, problems):
    entry = NodeId('e0')
    count = len(shards)
    held = {'s0': ('a',), 's1': ('n',)}
    history = [
        rec.Published(0.0, 'trip', 1, 1, held, {'s0': '', 's1': 'm'}),
        rec.QuerySent(1.0, 'q', entry, 'trip', ('x',)),
        rec.OpenReceived(1.1, 'q', Open('r', 'trip', 1, 1, count)),
        *(rec.RowsReceived(1.2, 'q', shard, ()) for shard in shards),
        rec.EndReceived(1.3, 'q', End('r', True, count, count)),
    ]
    found = checks.check(history)
    assert {v.check for v in found} <= {'true_coverage'}
    assert len(found) == problems
