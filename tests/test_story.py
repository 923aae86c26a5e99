"""Tell the story of a request from logs."""

import json

import pytest

from sesameward import story


def line(at, event, node='n1', **fields):
    return json.dumps({'at': at, 'node': node, 'event': event, **fields})


@pytest.fixture
def lines():
    return story.read(
        [
            'not a log line',
            'prefix ' + line(10.0, 'routes_in_force', version=7),
            line(9.0, 'target', target='i-1', service='s', state='gone'),
            line(9.1, 'target', target='i-2', service='t', state='gone'),
            line(9.2, 'helper_quiet', helper='n2'),
            line(9.3, 'helper_quiet', node='n3', helper='n2'),
            line(1.0, 'store_watch', kind='config'),
            line(
                10.5,
                'answer',
                request='r1',
                took_ms=100.0,
                missing=['s'],
                repeats=['hedge_slow:i-3'],
            ),
            line(10.6, 'answer', request='r2', took_ms=5.0),
            line(10.4, 'target_ejected', target='i-3'),
            '{"broken": ',
        ]
    )


def test_story_holds_the_request_and_what_bears_on_it(lines):
    told = story.explain('r1', lines)
    assert [one['event'] for one in told] == [
        'target',
        'helper_quiet',
        'routes_in_force',
        'target_ejected',
        'answer',
    ]
    assert told[0]['target'] == 'i-1'
    assert told[1]['node'] == 'n1'


def test_unknown_request_has_no_story(lines):
    assert story.explain('r9', lines) == []


def test_lines_are_in_order_of_time(lines):
    times = [one['at'] for one in lines]
    assert times == sorted(times)
