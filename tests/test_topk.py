"""Test merging the greatest records of replies, some of them filtered."""

from hypothesis import given
from hypothesis import strategies as st

from sesameward.serving.topk import Greatest
from sesameward.serving.topk import RECORD_BYTES
from sesameward.serving.topk import records
from sesameward.serving.topk import records_above

# Few distinct values, so that equal records are common.
EQUAL_PRONE_RECORDS = st.integers(0, 12).map(
    lambda n: bytes([n]) * RECORD_BYTES
)
REPLY_BODIES = st.lists(EQUAL_PRONE_RECORDS, max_size=8).map(b''.join)
REPLY_BODY_LISTS = st.lists(REPLY_BODIES, max_size=6)
TOP_K = st.integers(0, 10)


def expected_body(parts, top_k):
    found = [record for part in parts for record in records(part)]
    return b''.join(sorted(found, reverse=True)[:top_k])


@given(REPLY_BODY_LISTS, TOP_K)
def test_greatest_records_equal_ones_counted(parts, top_k):
    greatest = Greatest(top_k)
    for part in parts:
        greatest.add(part)
    assert greatest.body() == expected_body(parts, top_k)


@given(REPLY_BODY_LISTS, REPLY_BODY_LISTS, TOP_K)
def test_dropped_records_never_matter(far, near, top_k):
    helper = Greatest(top_k)
    sent = [helper.add(part) for part in far]
    merged = Greatest(top_k)
    for part in [*near, *sent]:
        merged.add(part)
    assert merged.body() == expected_body([*near, *far], top_k)


@given(REPLY_BODY_LISTS, REPLY_BODIES, TOP_K)
def test_floor_drops_only_what_is_surpassed(known, late, top_k):
    greatest = Greatest(top_k)
    for part in known:
        greatest.add(part)
    greatest.add(records_above(late, greatest.floor))
    assert greatest.body() == expected_body([*known, late], top_k)


@given(REPLY_BODY_LISTS, REPLY_BODY_LISTS, TOP_K)
def test_helper_may_start_from_a_floor(known, far, top_k):
    greatest = Greatest(top_k)
    for part in known:
        greatest.add(part)
    helper = Greatest(top_k, greatest.floor)
    for part in far:
        greatest.add(helper.add(part))
    assert greatest.body() == expected_body([*known, *far], top_k)


def test_rest_shorter_than_a_record_is_none():
    assert records(b'x' * (2 * RECORD_BYTES + 5)) == [b'x' * RECORD_BYTES] * 2
