"""Test which log lines are selected to explain a request."""

import json

import pytest

from sesameward.interface import request_log


def log_line(at, event, node='n1', **fields):
    return json.dumps({'at': at, 'node': node, 'event': event, **fields})


@pytest.fixture
def lines():
    return request_log.parse_lines(
        [
            'not a log line',
            'prefix ' + log_line(10.0, 'routes_in_force', version=7),
            log_line(9.0, 'target', target='i-1', service='s', state='gone'),
            log_line(9.1, 'target', target='i-2', service='t', state='gone'),
            log_line(9.2, 'helper_quiet', helper='n2'),
            log_line(9.3, 'helper_quiet', node='n3', helper='n2'),
            log_line(1.0, 'store_watch', kind='config'),
            log_line(
                10.5,
                'answer',
                request='r1',
                took_ms=100.0,
                missing=['s'],
                repeats=['hedge_slow:i-3'],
            ),
            log_line(10.6, 'answer', request='r2', took_ms=5.0),
            log_line(10.4, 'target_ejected', target='i-3'),
            '{"broken": ',
        ]
    )


def test_story_holds_the_request_and_what_bears_on_it(lines):
    explained = request_log.explain('r1', lines)
    assert [line['event'] for line in explained] == [
        'target',
        'helper_quiet',
        'routes_in_force',
        'target_ejected',
        'answer',
    ]
    assert explained[0]['target'] == 'i-1'
    assert explained[1]['node'] == 'n1'


def test_targets_of_failures_through_helpers_are_found():
    lines = request_log.parse_lines(
        [
            log_line(9.0, 'target_ejected', target='i-1'),
            log_line(
                9.5, 'answer', request='r1', failures=['not_sent:i-1@n2']
            ),
        ]
    )
    assert request_log.explain('r1', lines) == lines


def test_unknown_request_has_no_story(lines):
    assert request_log.explain('r9', lines) == []


def test_lines_are_in_order_of_time(lines):
    times = [line['at'] for line in lines]
    assert times == sorted(times)


def test_refusal_is_explained_by_the_targets_that_equal_requests_lost():
    def fingerprint_line(at, node, event, fingerprint, **fields):
        return log_line(at, event, node, fingerprint=fingerprint, **fields)

    lines = request_log.parse_lines(
        [
            fingerprint_line(
                10.0, 'n2', 'target_lost', 'f1', request='r7', target='t1'
            ),
            fingerprint_line(
                11.0, 'n1', 'target_lost', 'f2', request='r8', target='t2'
            ),
            fingerprint_line(
                12.0, 'n3', 'request_quarantined', 'f1', for_s=30_000.0
            ),
            fingerprint_line(9_000.0, 'n1', 'refused', 'f1', request='r1'),
            fingerprint_line(9_001.0, 'n1', 'refused', 'f1', request='r2'),
        ]
    )
    explained = request_log.explain('r1', lines)
    assert [line['at'] for line in explained] == [10.0, 12.0, 9_000.0]


def test_limit_in_force_explains_however_long_ago_it_began():
    lines = request_log.parse_lines(
        [
            log_line(1.0, 'target_limit', target='i-1', limit_per_s=9.0),
            log_line(2.0, 'target_limit', target='i-1', limit_per_s=5.0),
            log_line(2.0, 'target_limit', target='i-2', limit_per_s=5.0),
            log_line(2.0, 'target_limit', target='i-3', limit_per_s=5.0),
            log_line(3.0, 'target_limit', target='i-3', limit_per_s=None),
            log_line(
                900.0,
                'answer',
                request='r1',
                took_ms=1.0,
                failures=['no_permit:i-1', 'no_permit:i-3'],
            ),
        ]
    )
    explained = request_log.explain('r1', lines)
    limits = [(one.get('target'), one.get('limit_per_s')) for one in explained]
    assert limits == [('i-1', 5.0), (None, None)]
