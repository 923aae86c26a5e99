"""Validated settings of a node that serves callers according to routes."""

from __future__ import annotations

import math
import typing

import msgspec

from ..settings import Endpoint
from ..settings import MembershipSettings
from ..settings import Port
from ..settings import Seconds
from ..types import NodeId
from ..types import ZoneName
from .caller_memory import DEFAULT_MAX_FDS


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that hold for all nodes together.

    In any period of retry_window_s, a service gets at most retry_ratio x
    requests + retry_slack repeated requests. A change of the configuration is
    in force on all nodes within in_force_s after the store accepted it.
    grace_s is the time between SIGTERM and SIGKILL when a node is stopped.
    address_ttl_s is the longest time for which callers may keep the addresses
    of nodes. registration_ttl_s is the time after which the store removes the
    registration of a target that does not renew it. If refuses_stale_keys is
    True, requests that need a key are refused while the configuration is not
    known to be the newest for more than max_keys_age_s. In any second, a cold
    target gets at most its rate x warmup_overshoot + warmup_slack requests;
    without warmup_overshoot no target counts as cold. A zone gets no more
    requests evac_s after the store accepted its evacuation; without evac_s no
    evacuations are read. In any period of quota_window_s, at most (rate x
    quota_window_s + burst) x (1 + quota_overshoot) + quota_slack requests of
    an organisation run.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: Seconds = 10.0
    in_force_s: Seconds = 3.0
    grace_s: Seconds = 6.0
    address_ttl_s: Seconds = 5.0
    registration_ttl_s: Seconds = 4.0
    refuses_stale_keys: bool = False
    max_keys_age_s: Seconds = 5.0
    warmup_overshoot: float | None = None
    warmup_slack: float = 5.0
    evac_s: Seconds | None = None
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    quota_window_s: Seconds = 5.0


# A node's process takes some 40 MB even if it holds no received messages. With
# less than this minimum, too little memory would remain for messages.
MemoryBytes = typing.Annotated[int, msgspec.Meta(ge=64_000_000)]
# The platform reserves 200 descriptors for files; with less than this minimum,
# too few would remain for callers and targets.
MaxDescriptors = typing.Annotated[int, msgspec.Meta(ge=256)]


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    gossip is the UDP address for membership gossip. On peer_port of the same
    host the node serves calls from other nodes. memory_bytes is the memory
    that the VM gives to the process; received messages may take only a
    fraction of it. link_bytes_per_s is the bandwidth of the VM's link, max_fds
    the number of descriptors that the process may have open. seeds are gossip
    addresses through which a node finds the other nodes. seed initializes the
    random number generator.
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
    link_bytes_per_s: float = math.inf
    max_fds: MaxDescriptors = DEFAULT_MAX_FDS
