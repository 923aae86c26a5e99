"""Validated settings of a node that serves callers according to routes."""

from __future__ import annotations

import typing

import msgspec

from ..settings import Endpoint
from ..settings import MembershipSettings
from ..settings import Port
from ..settings import Seconds
from ..types import NodeId
from ..types import ZoneName


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that all nodes together keep.

    In any period of retry_window_s a service gets at most retry_ratio x
    requests + retry_slack repeats. A change is in force on all nodes within
    in_force_s after the store accepted it. grace_s is the time between SIGTERM
    and SIGKILL. address_ttl_s is the longest time for which callers may keep
    the addresses of nodes.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: Seconds = 10.0
    in_force_s: Seconds = 3.0
    grace_s: Seconds = 6.0
    address_ttl_s: Seconds = 5.0


# The minimum leaves room for messages: without any, a process takes some
# 40 MB.
MemoryBytes = typing.Annotated[int, msgspec.Meta(ge=64_000_000)]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    gossip is the address for UDP; on peer_port of the same host the node
    serves calls from other nodes. memory_bytes is the memory that the VM
    allows the process; received messages may take a fraction of it. seed is
    for the random number generator.
    """

    node: NodeId
    zone: ZoneName
    callers: Endpoint
    readiness: Endpoint
    directory: Endpoint
    gossip: Endpoint
    peer_port: Port
    metrics_port: Port
    store: Endpoint
    membership: MembershipSettings
    seeds: tuple[Endpoint, ...] = ()
    bounds: Bounds = Bounds()
    seed: int | None = None
    memory_bytes: MemoryBytes = 300_000_000
