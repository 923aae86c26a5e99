"""Run the HTTP examples of docs/CALLERS.md against real processes."""

from __future__ import annotations

import json
import re

import pytest

from sesameward.standin.processes import call
from sesameward.standin.processes import ROOT
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

CALLERS_PAGE = ROOT / 'docs' / 'CALLERS.md'
EXAMPLE = re.compile(
    r'```http\n(?P<request>.*?)```\n'
    r'```(?P<kind>json|ndjson) (?P<status>\d+)\n(?P<reply>.*?)```',
    re.DOTALL,
)
# These fields have the same values in each run. Values that differ between
# runs are empty on the page; only the presence of their fields is checked.
FIXED_FIELDS = (
    'frame',
    'kind',
    'run',
    'repeated',
    'complete',
    'asked',
    'shard',
)


@pytest.fixture(scope='module')
def tier():
    with Tier(Shape()) as started:
        yield started


def read_examples():
    return [m.groupdict() for m in EXAMPLE.finditer(CALLERS_PAGE.read_text())]


def send_request(tier, text):
    head, _, body = text.partition('\n\n')
    first, *lines = head.strip().splitlines()
    method, path = first.split(' ', 1)
    headers = dict(line.split(': ', 1) for line in lines)
    data = body.strip().encode() if method == 'POST' else None
    return call(tier.entries[0].ports['port'], path, data, headers)


def check_frame(shown, received):
    assert shown.keys() <= received.keys()
    for name in FIXED_FIELDS:
        if name in shown:
            assert received[name] == shown[name]


def test_examples_of_the_page(tier):
    examples = read_examples()
    assert len(examples) >= 5
    for example in examples:
        reply = send_request(tier, example['request'])
        assert reply.status == int(example['status'])
        shown = [
            json.loads(line) for line in example['reply'].strip().splitlines()
        ]
        received = reply.frames()
        assert len(shown) == len(received)
        for shown_frame, frame in zip(shown, received, strict=True):
            check_frame(shown_frame, frame)
