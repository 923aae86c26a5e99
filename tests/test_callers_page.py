"""Run the examples of the callers' page."""

from __future__ import annotations

import json
import re

import pytest

from sesameward.standin.processes import call
from sesameward.standin.processes import ROOT
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

PAGE = ROOT / 'docs' / 'CALLERS.md'
EXAMPLE = re.compile(
    r'```http\n(?P<request>.*?)```\n'
    r'```(?P<kind>json|ndjson) (?P<status>\d+)\n(?P<reply>.*?)```',
    re.DOTALL,
)
# What differs from one run to the next is empty on the page.
FIXED = ('frame', 'kind', 'run', 'repeated', 'complete', 'asked', 'shard')


@pytest.fixture(scope='module')
def tier():
    with Tier(Shape()) as started:
        yield started


def examples():
    return [m.groupdict() for m in EXAMPLE.finditer(PAGE.read_text())]


def send(tier, text):
    head, _, body = text.partition('\n\n')
    first, *lines = head.strip().splitlines()
    method, path = first.split(' ', 1)
    headers = dict(line.split(': ', 1) for line in lines)
    data = body.strip().encode() if method == 'POST' else None
    return call(tier.entries[0].ports['port'], path, data, headers)


def check_shape(shown, got):
    assert shown.keys() <= got.keys()
    for name in FIXED:
        if name in shown:
            assert got[name] == shown[name]


def test_examples_of_the_page(tier):
    found = examples()
    assert len(found) >= 5
    for example in found:
        reply = send(tier, example['request'])
        assert reply.status == int(example['status'])
        shown = [
            json.loads(line) for line in example['reply'].strip().splitlines()
        ]
        got = reply.frames()
        assert len(shown) == len(got)
        for one, other in zip(shown, got, strict=True):
            check_shape(one, other)
