"""Messages between nodes and the coordinator of the targets' rate limits."""

from __future__ import annotations

import msgspec

from ..types import NodeId
from ..types import TargetId


class LimitEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What replies of a target showed about its limit.

    limit is in requests per second; age_s is the time since a reply last named
    it. unnamed_replies counts later replies without it, as far as they are not
    yet reported. started_ms is the Unix time of the target's start, or 0.
    """

    target_id: TargetId
    started_ms: int
    limit: float
    age_s: float
    unnamed_replies: int


class LimitChange(msgspec.Struct, frozen=True, array_like=True):
    """Tell the limit of a target; None if the limit has ended."""

    target_id: TargetId
    started_ms: int
    limit: float | None


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for permits to send requests to a target.

    needed is the number of requests that wait for a permit, extra the number
    that are expected soon. priority is that of their route; 0 is the highest.
    limit is the target's limit as the asking node knows it.
    """

    target_id: TargetId
    priority: int
    limit: float
    needed: int
    extra: int = 0


class PermitGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant permits; wait_s is the time until more can be expected."""

    target_id: TargetId
    priority: int
    permits: int
    wait_s: float


class LimitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Entrust a node's share of all limits to a coordinator for a short time.

    weight is the part of the share that the node has; it is below 1 just
    after the node has started. If is_last is True, the node takes its share
    back instead. nodes is the number of nodes that it knows. change_no is the
    last change that it got from the coordinator whose process is origin.
    """

    node: NodeId
    weight: float
    is_last: bool
    nodes: int
    origin: str
    change_no: int
    evidence: tuple[LimitEvidence, ...] = ()
    permit_requests: tuple[PermitRequest, ...] = ()


class LimitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a coordinator.

    is_held is False if the coordinator does not use the node's share, because
    it is stopping or the node takes the share back.
    """

    is_held: bool
    nodes: int
    origin: str
    change_no: int
    changes: tuple[LimitChange, ...] = ()
    grants: tuple[PermitGrant, ...] = ()
