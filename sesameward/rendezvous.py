"""Assign keys to nodes by highest random weight."""

from __future__ import annotations

import collections.abc
import hashlib
import heapq
import typing

Node = typing.TypeVar('Node', bound=str)

SCORE_BYTES = 8


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key."""
    data = f'{key}\0{node}'.encode()
    digest = hashlib.blake2b(data, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, 'big')


def pick(
    key: str, nodes: collections.abc.Iterable[Node], count: int
) -> list[Node]:
    """Return the key's nodes, the heaviest first."""
    return heapq.nlargest(count, set(nodes), key=lambda n: (score(key, n), n))
