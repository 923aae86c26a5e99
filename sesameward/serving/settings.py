"""Hold the checked settings of a node that serves callers by routes."""

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
    """Hold what all nodes together promise.

    In any retry_window_s a service gets at most retry_ratio x requests +
    retry_slack repeats. A change is in force in_force_s after the store took
    it. grace_s is the time between SIGTERM and SIGKILL.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: Seconds = 10.0
    in_force_s: Seconds = 3.0
    grace_s: Seconds = 6.0
    address_ttl_s: Seconds = 5.0


# A process takes some 40 MB without any message.
MemoryBytes = typing.Annotated[int, msgspec.Meta(ge=64_000_000)]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one node.

    gossip is bound for UDP; at peer_port of the same host the node answers
    the calls of other nodes. memory_bytes is what the VM allows a process;
    messages may take a part of it.
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
