"""Assign keys to nodes by rendezvous (highest random weight) hashing."""

from __future__ import annotations

import collections.abc
import hashlib
import heapq
import typing

Node = typing.TypeVar('Node', bound=str)

WEIGHT_BYTES = 8


def weight(key: str, node: str) -> int:
    """Return the weight of a node for a key, a hash of both."""
    data = f'{key}\0{node}'.encode()
    digest = hashlib.blake2b(data, digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, 'big')


def pick(
    key: str, nodes: collections.abc.Iterable[Node], count: int
) -> list[Node]:
    """Return the count nodes of highest weight for the key, highest first."""
    return heapq.nlargest(count, set(nodes), key=lambda n: (weight(key, n), n))
