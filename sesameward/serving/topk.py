"""Merge the greatest fixed-size records of several parts."""

from __future__ import annotations

import heapq
import typing

RECORD_BYTES = 16


def records(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter rest is none."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge(parts: typing.Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records, greatest first; equal ones all count."""
    found: list[bytes] = []
    for body in parts:
        found += records(body)
    if top_k < len(found):
        return b''.join(heapq.nlargest(top_k, found))
    found.sort(reverse=True)
    return b''.join(found)
