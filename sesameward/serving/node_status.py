"""Status of a node for operators, with the age of its data from the store."""

from __future__ import annotations

import typing

import msgspec

from ..messages import Member
from ..types import NodeId
from ..types import Revision
from ..types import ServiceName
from ..types import StoreEpoch
from ..types import TargetId
from ..types import ZoneName
from .admission_gate import PriorityStatus
from .cold_targets import ColdTargets
from .evacuations import Evacuations
from .mirror import Mirror
from .replica_choice import ReplicaSelector
from .routes import OneService
from .routes import OrganisationName
from .routes import Route
from .routes import RouteName
from .routes import Shards
from .routes import Version
from .routing_state import RoutingState
from .target_limits import TargetLimits
from .target_links import LinkState
from .target_links import TargetLinks
from .targets import Target
from .targets import TargetTable


class MirrorStatus(msgspec.Struct, frozen=True):
    """Status of the node's copy of all objects of one kind in the store.

    age_s is the time since the copy was last known to be current, or None if
    it never was. watching is True if this node itself watches the store for
    changes of these objects. epoch rises each time that the store is restored
    from an older copy; it is None if the store names none.
    """

    kind: str
    revision: Revision
    age_s: float | None
    watching: bool
    epoch: StoreEpoch | None = None


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of one node according to membership gossip.

    offered is True if the node announces an address for callers, and
    reaches_targets is False if it says that it has no connections to targets.
    """

    node: NodeId
    zone: ZoneName
    state: str
    leaving: bool
    offered: bool
    reaches_targets: bool = True


class TargetStatus(msgspec.Struct, frozen=True):
    """Status of one target as this node sees it.

    paused is True while the reply to any request sent to the target is
    overdue. ejected_s is the time for which this node will still avoid the
    target after failures. rest_s is the time for which the target still wants
    to get no requests. Either time is 0 if it has passed. limit_per_s is the
    number of requests per second to which the target limits all nodes
    together, or None. The next four are the newest figures of the target's
    load and their age, or None if the target does not report its pace. cold_s
    is the time for which the target still counts as cold.
    """

    target: TargetId
    service: ServiceName
    zone: ZoneName
    state: str
    paused: bool
    ejected_s: float
    rest_s: float
    limit_per_s: float | None
    running: int | None = None
    waiting: int | None = None
    pace: int | None = None
    figures_age_s: float | None = None
    cold_s: float = 0.0


class RouteStatus(msgspec.Struct, frozen=True):
    """Status of one route in force.

    kind is the kind of destination (shards, service or split), followed by
    "safe" if requests may run more than once, or by "once" if not. The
    services that get the requests are listed in the field to.
    """

    route: RouteName
    host: str
    prefix: str
    kind: str
    to: tuple[ServiceName, ...]
    timeout_ms: float


class OrganisationStatus(msgspec.Struct, frozen=True):
    """Status of one organisation in the configuration in force.

    priority is None if the routes decide, and rate_per_s and burst are 0
    without a limit.
    """

    organisation: OrganisationName
    priority: int | None
    rate_per_s: float
    burst: float


class NodeStatus(msgspec.Struct, frozen=True):
    """Status that a node shows to operators, encoded as JSON.

    version is the version of the routes in force, or None if there are none.
    beliefs holds the status of the node's copies of objects in the store.
    links is "up", "suspected" or "lost": the node's connections to targets.
    store_is_behind is True if the routes in force are newer than the store's.
    evacuated_zones are those whose targets get no requests. admission holds
    the priorities of which requests run or wait, where they are admitted in
    order.
    """

    node: NodeId
    version: Version | None
    ready: bool
    leaving: bool
    beliefs: tuple[MirrorStatus, ...]
    members: tuple[MemberStatus, ...]
    targets: tuple[TargetStatus, ...]
    routes: tuple[RouteStatus, ...]
    links: str = LinkState.UP.value
    store_is_behind: bool = False
    organisations: tuple[OrganisationStatus, ...] = ()
    evacuated_zones: tuple[ZoneName, ...] = ()
    admission: tuple[PriorityStatus, ...] = ()


def collect_status(
    node: NodeId,
    leaving: bool,
    ready: bool,
    routing_state: RoutingState,
    targets: TargetTable,
    selector: ReplicaSelector,
    limits: TargetLimits,
    mirrors: typing.Iterable[Mirror],
    members: typing.Iterable[Member],
    links: TargetLinks,
    now: float,
    cold: ColdTargets,
    evacuations: Evacuations,
    admission: tuple[PriorityStatus, ...] = (),
) -> NodeStatus:
    """Return the status of the node at the given time."""
    table = routing_state.route_table
    return NodeStatus(
        node=node,
        version=table.version if table else None,
        ready=ready,
        leaving=leaving,
        beliefs=tuple(_mirror_status(mirror, now) for mirror in mirrors),
        members=tuple(
            MemberStatus(
                m.node,
                m.zone,
                m.state.value,
                m.leaving,
                bool(m.entries),
                m.reaches_targets,
            )
            for m in members
        ),
        targets=tuple(
            _target_status(t, selector, limits, cold, now) for t in targets
        ),
        routes=tuple(_route_status(route) for route in table.routes)
        if table
        else (),
        links=links.state.value,
        store_is_behind=routing_state.kept_routes.is_store_behind,
        organisations=tuple(
            OrganisationStatus(o.name, o.priority, o.rate_per_s, o.burst)
            for o in (table.organisations if table else None) or ()
        ),
        evacuated_zones=evacuations.zones(),
        admission=admission,
    )


def _mirror_status(mirror: Mirror, now: float) -> MirrorStatus:
    age_s = round(mirror.age_s(now), 3) if mirror.was_read else None
    return MirrorStatus(
        mirror.kind,
        mirror.replica.revision,
        age_s,
        mirror.watching,
        mirror.copy.epoch,
    )


def _target_status(
    target: Target,
    selector: ReplicaSelector,
    limits: TargetLimits,
    cold: ColdTargets,
    now: float,
) -> TargetStatus:
    status = TargetStatus(
        target.id,
        target.service,
        target.zone,
        target.state.value,
        selector.paused(target.id, now),
        selector.ejected_s(target.id, now),
        selector.backoff_left_s(target.id, now),
        limits.limit(target.id),
        cold_s=cold.left_s(target.id, now),
    )
    view = selector.load_view(target.id)
    if view is None:
        return status
    return msgspec.structs.replace(
        status,
        running=view.report.in_flight,
        waiting=view.report.queued,
        pace=view.report.pace,
        figures_age_s=round(now - view.taken_at, 3),
    )


def _route_status(route: Route) -> RouteStatus:
    match route.destination:
        case Shards():
            kind = 'shards'
        case OneService():
            kind = 'service'
        case _:
            kind = 'split'
    return RouteStatus(
        route.name,
        route.host,
        route.prefix,
        f'{kind}, {route.repeat.value}',
        route.services(),
        route.timeout_s * 1_000,
    )
