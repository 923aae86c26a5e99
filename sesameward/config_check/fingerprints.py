"""Show keys of organisations without showing them."""

from __future__ import annotations

import hashlib

# Enough to tell the keys of a deployment apart, and of no use as a key.
FINGERPRINT_CHARS = 8


def fingerprint(key: str) -> str:
    """Return the first digits of a key's SHA-256."""
    digest = hashlib.sha256(key.encode('utf-8', 'surrogatepass'))
    return digest.hexdigest()[:FINGERPRINT_CHARS]
