"""Find the route of each caller's request, then refuse or run the request."""

from __future__ import annotations

import math
import typing

import msgspec

from .. import logs
from ..admission.control import End
from ..organisations.identity import Identity
from ..organisations.identity import KeyRefusal
from ..organisations.quotas import PRIORITY
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import Refuse
from ..types import ServiceName
from .deps import add_retry_after
from .deps import Deps
from .deps import RETRY_AFTER_S
from .gather_run import GatherRun
from .http_server import Answer
from .http_server import record_caller_gone
from .http_server import Request
from .http_server import Responder
from .limit_exchange import PermitExchange
from .relay_run import RelayRun
from .routes import OneService
from .routes import OrganisationName
from .routes import Route
from .routes import RouteTable
from .routes import Shards
from .routes import Split
from .run import Arrival
from .run import identity_of
from .run import Run
from .target_limits import Permit
from .wire import RequestHeaders

# A request without a route is answered 404 only if the node's routes were
# known to be the newest at most this long ago. Otherwise it is answered 503,
# because a newer route possibly matches.
MAX_ROUTES_AGE_S = 2.5
# Retry-After of a node that can't reach targets, nor through any other node.
# It notices within half a second when it can, and so do the others.
LINKS_RETRY_AFTER_S = 1.0
# An organisation over its limit gets thousands of refusals; one line in this
# time is logged, the counter has them all.
OVER_LIMIT_LOG_INTERVAL_S = 1.0


class KnownConfiguration(typing.Protocol):
    """Interface to the routes that the node knows, which may be outdated."""

    @property
    def route_table(self) -> RouteTable | None:
        """Return the last known routes; None if none are known yet."""

    def age_s(self, now: float) -> float:
        """Return the seconds since the routes were last known to be newest."""

    def may_lack_routes(self, now: float) -> bool:
        """Return True if the store is known to lack recent configurations."""


class _PermitWait(msgspec.Struct):
    """Hold a request that awaits a permit of its organisation's limit.

    is_gone is True if the caller disconnected meanwhile.
    """

    arrival: Arrival
    is_gone: bool = False


class Front:
    """Check each caller's request, then refuse it or start its run.

    A run sends the sub-requests for the request and answers the caller.
    """

    def __init__(
        self,
        deps: Deps,
        configuration: KnownConfiguration,
        identity: Identity,
        quotas: PermitExchange,
    ):
        self.deps = deps
        self._identity = identity
        self._quotas = quotas
        # Time of the last log line about an organisation over its limit.
        self._over_limit_logged_at: dict[OrganisationName, float] = {}
        self._configuration = configuration
        if deps.admission is not None:
            deps.admission.runs = deps.runs
            deps.admission.start = self._start
            deps.admission.refuse = self._refuse_overloaded

    def handle(self, req: Request, responder: Responder) -> None:
        """Refuse a caller's request at once, or start a run to answer it."""
        deps = self.deps
        now = deps.tools.clock()
        route_table = self._configuration.route_table
        with_keys = (
            route_table is not None and route_table.organisations is not None
        )
        asked = deps.tools.wire.read_request(req, with_keys)
        if asked is None:
            self._refuse(req, responder, 400, 'no_request_id')
            return
        if route_table is None:
            self._refuse(req, responder, 503, 'no_configuration', asked)
            return
        route = route_table.find(req.host, req.path)
        if route is None:
            status = 503 if self._may_be_outdated(now) else 404
            self._refuse(
                req,
                responder,
                status,
                'no_route',
                asked,
                version=route_table.version,
            )
            return
        organisation = None
        if with_keys and not route.is_public:
            match self._identity.identify(
                route_table, asked.api_keys, self._configuration.age_s(now)
            ):
                case KeyRefusal() as refusal:
                    self._refuse_key(
                        req, responder, refusal, asked, route_table, now
                    )
                    return
                case organisation:
                    deps.tools.wire.add_organisation(asked, organisation.name)
            if organisation.priority is not None:
                route = msgspec.structs.replace(
                    route, priority=organisation.priority
                )
        if deps.tools.links.is_lost and not deps.delegation.has_helper(now):
            self._refuse(
                req, responder, 503, 'no_links', asked, LINKS_RETRY_AFTER_S
            )
            return
        arrival = Arrival(
            req,
            asked,
            route,
            route_table.version,
            responder,
            identity_of(req),
            organisation=None if organisation is None else organisation.name,
        )
        if deps.admission is None or not deps.admission.is_active():
            self._start(arrival, now)
            return
        arrival.service = self._pick_service(route)
        deps.admission.submit(arrival, now)

    def _start(self, arrival: Arrival, now: float) -> None:
        """Run a request as soon as the limit of its organisation allows it.

        The permit is taken after the wait for admission: permits are valid for
        half a second only.
        """
        if arrival.organisation is None:
            self._start_run(arrival)
            return
        wait = _PermitWait(arrival)
        if self._quotas.limits.is_limited(arrival.organisation):
            # The caller may disconnect while the permit is awaited. A run
            # replaces this function.
            arrival.responder.on_gone = lambda: self._on_caller_disconnect(
                wait
            )
        self._quotas.acquire(
            arrival.organisation,
            PRIORITY,
            lambda permit: self._on_permit(wait, permit),
        )

    def _on_permit(self, wait: _PermitWait, permit: Permit | None) -> None:
        limits = self._quotas.limits
        now = self._quotas.clock()
        arrival = wait.arrival
        if wait.is_gone:
            if permit is not None:
                limits.give_back(permit, now)
            return
        if permit is None or not limits.is_valid(permit, now):
            self._refuse_over_limit(arrival, now)
            arrival.on_end(End.OTHER)
            return
        if not self._start_run(arrival):
            limits.give_back(permit, now)

    def _on_caller_disconnect(self, wait: _PermitWait) -> None:
        wait.is_gone = True
        record_caller_gone(
            self.deps.tools.metrics,
            wait.arrival.asked.request_id,
            wait.arrival.route.name,
        )
        wait.arrival.on_end(End.OTHER)

    def _refuse_over_limit(self, arrival: Arrival, now: float) -> None:
        name = typing.cast(OrganisationName, arrival.organisation)
        wait_s = self._quotas.limits.wait_s(name, PRIORITY, now)
        logged_at = self._over_limit_logged_at.get(name, -math.inf)
        if now - logged_at < OVER_LIMIT_LOG_INTERVAL_S:
            self._send_refusal(arrival.responder, 429, 'over_limit', wait_s)
            return
        self._over_limit_logged_at[name] = now
        self._refuse(
            arrival.req,
            arrival.responder,
            429,
            'over_limit',
            arrival.asked,
            wait_s,
            version=arrival.version,
            organisation=name,
            wait_s=round(wait_s, 3),
        )

    def _start_run(self, arrival: Arrival) -> bool:
        """Run a request, unless it is in quarantine; return if it runs."""
        deps = self.deps
        now = deps.tools.clock()
        identity = arrival.identity
        match deps.tools.crashes.admit(identity, now):
            case Refuse(retry_after_s):
                self._refuse(
                    arrival.req,
                    arrival.responder,
                    503,
                    'quarantined',
                    arrival.asked,
                    retry_after_s,
                    fingerprint=identity.fingerprint,
                    for_s=round(retry_after_s, 3),
                )
                arrival.on_end(End.OTHER)
                return False
            case admission:
                arrival.on_trial = isinstance(admission, Canary)
        run = self._make_run(arrival)
        deps.runs.add(run)
        run.start(now)
        return True

    def _refuse_overloaded(
        self, arrival: Arrival, retry_after_s: float
    ) -> None:
        waited_s = self.deps.tools.clock() - arrival.req.arrived_at
        self._refuse(
            arrival.req,
            arrival.responder,
            503,
            'overloaded',
            arrival.asked,
            max(retry_after_s, RETRY_AFTER_S),
            organisation=arrival.organisation,
            priority=arrival.priority,
            waited_ms=round(waited_s * 1_000, 2),
            for_s=round(retry_after_s, 3),
        )

    def _may_be_outdated(self, now: float) -> bool:
        """Return True if a newer configuration may be in force elsewhere."""
        is_old = self._configuration.age_s(now) > MAX_ROUTES_AGE_S
        return is_old or self._configuration.may_lack_routes(now)

    def _refuse_key(
        self,
        req: Request,
        responder: Responder,
        refusal: KeyRefusal,
        asked: RequestHeaders,
        route_table: RouteTable,
        now: float,
    ) -> None:
        # A wrong 401 is final for the caller, so it is sent only if no newer
        # configuration can have the key.
        is_final = refusal is KeyRefusal.UNKNOWN and not self._may_be_outdated(
            now
        )
        self._refuse(
            req,
            responder,
            401 if is_final else 503,
            refusal.value,
            asked,
            version=route_table.version,
        )

    def _make_run(self, arrival: Arrival) -> Run:
        service = arrival.service or self._pick_service(arrival.route)
        if service is None:
            return GatherRun(self.deps, arrival)
        return RelayRun(self.deps, arrival, service)

    def _pick_service(self, route: Route) -> ServiceName | None:
        """Return the service for a request; None if it goes to shards."""
        match route.destination:
            case Shards():
                return None
            case Split() as split:
                return self.deps.splits.pick(route.name, split)
            case OneService(service):
                return service

    def _refuse(
        self,
        req: Request,
        responder: Responder,
        status: int,
        reason: str,
        asked: RequestHeaders | None = None,
        retry_after_s: float | None = None,
        **fields: object,
    ) -> None:
        logs.log_event(
            'refused',
            request=asked.request_id if asked else None,
            path=req.path,
            status=status,
            reason=reason,
            routes_age_s=round(
                self._configuration.age_s(self.deps.tools.clock()), 3
            ),
            **fields,
        )
        self._send_refusal(responder, status, reason, retry_after_s)

    def _send_refusal(
        self,
        responder: Responder,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        self.deps.tools.metrics.count('refused', reason)
        answer = Answer(status)
        if status in (429, 503):
            add_retry_after(self.deps, answer, retry_after_s)
        responder.send(answer)
