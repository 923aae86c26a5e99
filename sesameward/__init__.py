"""Serve queries over many shards from one consistent snapshot."""

from __future__ import annotations

__version__ = '0.1.0'
