"""Test that text from the network is read in time linear in its length.

Load pattern: a target, a caller or the store sends a header of the largest
size allowed whose value is nearly a number.
"""

import importlib
import itertools
import pkgutil
import re
import types

from hypothesis import given
from hypothesis import strategies as st
import pytest

import sesameward
from sesameward.exceptions import RefusalError
from sesameward.filters import parsing
from sesameward.interface import handlers
from sesameward.platform import json_parts
from sesameward.platform import objects
from sesameward.platform import wire
from sesameward.serving import target_connection
from sesameward.serving.target_connection import Reply
from tests.regex_steps import full_match

# Modules that run only on the operator's command, or in tests.
OWN_TEXT_PACKAGES = ('sesameward.standin', 'sesameward.clients')

PATTERNS = {
    'load': wire._LOAD_FIGURES,
    'decimal number': wire._DECIMAL_NUMBER,
    'token of JSON': json_parts._TOKEN,
    'name of a target': objects._NAME,
    'name of an organisation': re.compile(objects.ORGANISATION_NAME_PATTERN),
    'key of a booking': parsing._KEY_PATTERN,
}
# Bytes that any of the patterns distinguishes.
BYTES = (b'1', b'.', b'e', b'+', b',', b' ', b'"', b'\\', b'[', b'x')
STARTS = (b'', b'1', b'1.', b'1e', b'1,1,1', b'1 , 1 ,1 ', b'"')
ENDS = (b'', b'x', b'1x', b',')
SHORT_TIMES = 15
LENGTH_FACTOR = 4
# A linear pattern takes up to 4 times the steps for 4 times the length, and
# twice as many if only the longer text fails; a quadratic one takes 16 times.
MAX_STEPS_FACTOR = 10
# Steps for the start and the end of a text, whatever its length.
EXTRA_STEPS = 200


def make_texts(times):
    units = [*BYTES, *(a + b for a, b in itertools.permutations(BYTES, 2))]
    for start, unit, end in itertools.product(STARTS, units, ENDS):
        yield start + unit * times + end


# Guards against a node that stands still for seconds: a Server-Limit of 31,000
# digits and one other byte kept a pattern busy for 33 s.
@pytest.mark.parametrize('name', PATTERNS)
def test_pattern_takes_steps_linear_in_the_length(name):
    pattern = PATTERNS[name]
    for short, long in zip(
        make_texts(SHORT_TIMES),
        make_texts(SHORT_TIMES * LENGTH_FACTOR),
        strict=True,
    ):
        _, short_steps = full_match(pattern, short)
        _, long_steps = full_match(pattern, long)
        assert long_steps <= MAX_STEPS_FACTOR * short_steps + EXTRA_STEPS, (
            short
        )


# Guards against a counter of steps that does not follow the re module.
@given(st.sampled_from(sorted(PATTERNS)), st.lists(st.sampled_from(BYTES)))
def test_counted_match_is_that_of_the_re_module(name, parts):
    pattern = PATTERNS[name]
    text = b''.join(parts)
    if isinstance(pattern.pattern, str):
        text = text.decode('latin-1')
    found, _ = full_match(pattern, text)
    assert found is (pattern.fullmatch(text) is not None)


def test_counter_tells_linear_from_quadratic_patterns():
    steps = {}
    for text in (rb'\d+(\.\d*)?', rb'\d+\.?\d*'):
        pattern = re.compile(text)
        _, short = full_match(pattern, b'1' * 25 + b'x')
        _, long = full_match(pattern, b'1' * 100 + b'x')
        steps[text] = long / short
    assert steps[rb'\d+(\.\d*)?'] < MAX_STEPS_FACTOR / 2
    assert steps[rb'\d+\.?\d*'] > MAX_STEPS_FACTOR


# Guards against a new pattern that the test above does not check.
def test_each_pattern_that_reads_network_text_is_checked():
    found = []
    for info in pkgutil.walk_packages(sesameward.__path__, 'sesameward.'):
        if info.name.startswith(OWN_TEXT_PACKAGES) or 'main' in info.name:
            continue
        module = importlib.import_module(info.name)
        found += [
            value
            for value in vars(module).values()
            if isinstance(value, re.Pattern)
        ]
    assert {one.pattern for one in found} <= {
        one.pattern for one in PATTERNS.values()
    }


HEADER_BYTES = 65_536
HEADERS = (
    b'Sesameward-Request-Id',
    b'Sesameward-Server-Stamp',
    b'Sesameward-Not-Executed',
    b'Sesameward-Server-Load',
    b'Server-Leaving',
    b'Server-Limit',
    b'Sesameward-Warmup-Ms',
    b'Content-Encoding',
    b'Retry-After',
    b'Connection',
    b'Keep-Alive',
)
LONG_DIGITS = (
    b'1' * HEADER_BYTES,
    b'1' * 5_000,
    b'0' * 5_000 + b'1',
    '\u00b2'.encode('latin-1'),
)


# Guards against a value of a reply's header that ends the handling of the
# reply by an exception.
@pytest.mark.parametrize('value', [*LONG_DIGITS, b'timeout=' + b'1' * 5_000])
@pytest.mark.parametrize('name', HEADERS)
def test_long_value_of_a_reply_is_read_or_ignored(name, value):
    reply = Reply(503, b'', [(name, value)], b'')
    assert wire.PlatformWire().read_reply(reply)
    assert wire.PlatformWire().reply_answer(reply)
    assert target_connection._keep_alive_s(value) is None or (
        value.startswith(b'timeout=')
    )


# int() raises ValueError for more than 4,300 digits.
@pytest.mark.parametrize('value', LONG_DIGITS)
def test_long_number_of_a_caller_is_no_number(value):
    text = value.decode('latin-1')
    headers = {parsing.ATTEMPT_HEADER: text}
    assert parsing.attempt_number(headers) == parsing.UNNUMBERED_ATTEMPT
    service = types.SimpleNamespace(
        deadlines=types.SimpleNamespace(max_ms=5_000, default_ms=10)
    )
    with pytest.raises(RefusalError):
        parsing._parse_deadline_ms(text, service)
    assert handlers._exceeds(text, 1_000) is value.isdigit()
