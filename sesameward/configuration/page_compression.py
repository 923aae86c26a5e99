"""Compress the objects of a page that another agent or node pulls.

The objects are JSON with many equal parts, and a large configuration is sent
to each node with each of its versions.
"""

from __future__ import annotations

import functools
import zlib

import msgspec

from ..messages import Delta
from ..messages import StoredObject
from .objects import PAGE_BYTES

# Smaller pages hold too little that is repeated.
MIN_COMPRESSED_BYTES = 512
# A page of 1 MB takes some 20 ms at this level.
LEVEL = 6
# Many nodes pull the same page at about the same time.
CACHED_PAGES = 2
# A page exceeds PAGE_BYTES by at most two versions of its last object.
MAX_PAGE_BYTES = 8 * PAGE_BYTES

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[StoredObject, ...])


def compress(delta: Delta) -> Delta:
    """Return the page with its objects compressed if that makes it smaller."""
    encoded = _ENCODER.encode(delta.objects)
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return delta
    compressed = _compress(encoded)
    if len(compressed) >= len(encoded):
        return delta
    return msgspec.structs.replace(
        delta, objects=(), compressed_objects=compressed
    )


@functools.lru_cache(CACHED_PAGES)
def _compress(encoded: bytes) -> bytes:
    return zlib.compress(encoded, LEVEL)


def decompress(delta: Delta) -> Delta:
    """Return the page with its objects decompressed, if they are compressed.

    Raise msgspec.DecodeError if they can't be decoded.
    """
    if not delta.compressed_objects:
        return delta
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(
            delta.compressed_objects, MAX_PAGE_BYTES
        )
    except zlib.error as exc:
        raise msgspec.DecodeError(f'invalid compressed page: {exc}') from exc
    if not decompressor.eof:
        raise msgspec.DecodeError(
            f'compressed page is truncated or over {MAX_PAGE_BYTES} bytes'
        )
    return msgspec.structs.replace(
        delta, objects=_DECODER.decode(encoded), compressed_objects=b''
    )
