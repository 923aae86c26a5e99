"""Run an entry, which serves callers' queries and bookings over HTTP."""

from __future__ import annotations

import asyncio
import collections
import gc
import os
import random
import signal
import sys
import time

import defopt
from grpclib.server import Server
import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from . import logs
from . import settings
from .bookings.bookings import BookingSettings
from .bookings.bookings import Claimer
from .clients.target_client import TargetClient
from .codec import MsgpackCodec
from .configuration import feed
from .configuration.platform_client import PlatformClient
from .controllers.agent_link import AgentLink
from .controllers.catalog import Catalog
from .controllers.freshness import Freshness
from .controllers.gate import Gate
from .controllers.homes import FingerprintHomes
from .controllers.leaving import Leaving
from .controllers.nodes import Nodes
from .controllers.routing import LEAVING_S
from .controllers.routing import Routing
from .controllers.suspects import Suspects
from .exceptions import SettingsError
from .filters.admitting import LimitConcurrency
from .filters.answering import AnswerComponents
from .filters.answering import AnswerQuery
from .filters.booking import BookingComponents
from .filters.booking import RunBooking
from .filters.chain import chain_filters
from .filters.chain import Filter
from .filters.parsing import ParseBooking
from .filters.parsing import ParseQuery
from .filters.pinning import PinSnapshot
from .filters.quarantining import CheckQuarantine
from .filters.readiness import CheckReady
from .interface import handlers
from .messages import Address
from .messages import Rumor
from .messages import Urgency
from .metrics import Metrics
from .quarantine.quarantine import Quarantine
from .quarantine.trials import TrialClient
from .quarantine.trials import TrialHandler
from .routing.admission import Admission
from .routing.budget import RetryBudgets
from .routing.entry_weight import EntryWeight
from .routing.hedging import HedgePolicy
from .routing.latency import LatencyTracker
from .routing.replicas import ReplicaChooser
from .settings import EntrySettings
from .types import TargetId

EXIT_USAGE = 2
EXIT_ABORTED = 4
_MAX_HEADER_BYTES = 16_384
# The handlers answer a body over max_body_bytes with a refusal of their own,
# so tornado's limit is higher.
_TORNADO_BODY_LIMIT_FACTOR = 16
_GC_THRESHOLD_ALLOCATIONS = 20_000


class Entry:
    """Connect the filters, controllers and servers of one entry."""

    def __init__(self, cfg: EntrySettings):
        self.cfg = cfg
        self.clock = time.monotonic
        self.metrics = Metrics('entry')
        self._rng = random.Random(cfg.seed)
        self._sockets = tornado.netutil.bind_sockets(
            cfg.listen.port, cfg.listen.host
        )
        self._grpc_sockets = tornado.netutil.bind_sockets(
            cfg.grpc_port, cfg.listen.host
        )
        self.address = Address(
            node=cfg.node,
            host=cfg.listen.host,
            port=self._sockets[0].getsockname()[1],
            zone=cfg.zone,
            weight=1.0,
            incarnation=time.time_ns(),
            grpc_port=self._grpc_sockets[0].getsockname()[1],
        )
        self.catalog = Catalog()
        self.routing = Routing(
            self.catalog, ReplicaChooser(cfg.zone, self._rng), self.clock
        )
        self.nodes = Nodes(self.address, self._rng)
        self.leaving = Leaving()
        self.freshness = Freshness(self.catalog, self.metrics, self.clock)
        self.client = TargetClient(self.metrics, self.clock)
        self.platform = PlatformClient(cfg.platform, self.metrics, self._rng)
        self.gate = Gate(
            lambda: Admission(cfg.limits, self._rng),
            self.metrics,
            self.clock,
        )
        self.homes = FingerprintHomes(
            self.address, TrialClient(), self.metrics, self.clock
        )
        self._entry_weight = EntryWeight()
        self.suspects = Suspects(
            Quarantine(
                f'{cfg.node}/{self.address.incarnation}',
                cfg.quarantine,
                self._rng,
            ),
            self.homes,
            self.metrics,
            self.clock,
            cfg.quarantine.enabled,
        )
        self.suspects.publish = self._publish
        self.routing.on_leaving = self._announce_leaving_target
        self._grpc = Server(
            [TrialHandler(self.suspects)], codec=MsgpackCodec()
        )
        self._unsent_rumors: collections.deque[Rumor] = collections.deque(
            maxlen=256
        )
        self.agent_link = AgentLink(
            cfg.agent, self.address, self.metrics, self._rng
        )
        self.agent_link.on_update = self._apply_update
        self.routing.agent_connected = lambda: self.agent_link.connected
        self.agent_link.make_report = self._make_report
        self.agent_link.requeue = self._requeue_rumors
        self.agent_link.on_ack = lambda ack: self.freshness.confirm_revision(
            ack.revision
        )
        self.stop_requested = asyncio.Event()
        self._server: tornado.httpserver.HTTPServer | None = None
        self.metrics.gauge('in_flight', lambda: self.gate.in_flight)
        self.metrics.gauge('revision', lambda: self.catalog.revision)

    async def start(self) -> None:
        """Start to serve callers, to follow the agent and to report to it."""
        await self._grpc.start(sock=self._grpc_sockets[0])
        limits = self.cfg.limits
        self._server = tornado.httpserver.HTTPServer(
            self._make_app(),
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=limits.max_body_bytes * _TORNADO_BODY_LIMIT_FACTOR,
            idle_connection_timeout=limits.idle_timeout_s,
        )
        self._server.add_sockets(self._sockets)
        self.agent_link.start()
        self.freshness.start()
        logs.log_event(
            'entry_started', host=self.address.host, port=self.address.port
        )

    async def leave(self) -> int:
        """Drain and close; return how many requests and bookings were cut off.

        Callers are served while addresses they hold may still name this entry;
        then requests in flight get drain_timeout_s to end.
        """
        ttl_s = self.nodes.addresses(None).ttl_s
        cut_off = await self.leaving.run(
            ttl_s, self.cfg.limits.drain_timeout_s, self.agent_link.report_now
        )
        self._server.stop()
        await self.close()
        return cut_off

    async def close(self) -> None:
        """Stop all tasks and servers and close all connections."""
        await self.freshness.stop()
        await self.agent_link.stop()
        self._server.stop()
        await self._server.close_all_connections()
        self.homes.close()
        self._grpc.close()
        await self._grpc.wait_closed()
        self.client.close()
        self.platform.close()

    def _make_app(self) -> tornado.web.Application:
        front = handlers.HandlerContext(
            queries=chain_filters(self._query_filters()),
            bookings=chain_filters(self._booking_filters()),
            leaving=self.leaving,
            nodes=self.nodes,
            limits=self.cfg.limits,
            metrics=self.metrics,
            clock=self.clock,
        )
        shared = {'front': front}
        return tornado.web.Application(
            [
                (
                    '/v1/services/([^/]+)/query',
                    handlers.QueryHandler,
                    shared,
                ),
                (
                    '/v1/services/([^/]+)/bookings',
                    handlers.BookingHandler,
                    shared,
                ),
                ('/v1/addresses', handlers.AddressesHandler, shared),
                (
                    '/metrics',
                    handlers.MetricsHandler,
                    {'metrics': self.metrics},
                ),
                (
                    '/healthz',
                    handlers.HealthHandler,
                    {'ready': lambda: True},
                ),
                ('/readyz', handlers.HealthHandler, {'ready': self._is_ready}),
            ],
            log_function=lambda _: None,
        )

    def _query_filters(self) -> list[Filter]:
        latencies = LatencyTracker()
        ratio = self.cfg.limits.retry_budget
        parts = AnswerComponents(
            client=self.client,
            routing=self.routing,
            suspects=self.suspects,
            budgets=RetryBudgets(ratio),
            hedges=HedgePolicy(latencies, ratio),
            latencies=latencies,
            metrics=self.metrics,
            clock=self.clock,
        )
        return [
            CheckReady(self.catalog, self.nodes, self.freshness),
            ParseQuery(self.catalog),
            CheckQuarantine(self.suspects),
            LimitConcurrency(self.gate, self.clock),
            PinSnapshot(self.routing),
            AnswerQuery(parts),
        ]

    def _booking_filters(self) -> list[Filter]:
        parts = BookingComponents(
            client=self.client,
            platform=self.platform,
            routing=self.routing,
            suspects=self.suspects,
            nodes=self.nodes,
            leaving=self.leaving,
            claimer=Claimer(self.cfg.node, self.address.incarnation),
            cfg=BookingSettings(),
            metrics=self.metrics,
            clock=self.clock,
            rng=self._rng,
        )
        return [
            CheckReady(self.catalog, self.nodes, self.freshness),
            ParseBooking(self.catalog),
            CheckQuarantine(self.suspects),
            LimitConcurrency(self.gate, self.clock),
            RunBooking(parts),
        ]

    def _is_ready(self) -> bool:
        return (
            self.catalog.ready
            and self.nodes.has_connection_share
            and handlers.accepts_new_callers(self.leaving)
        )

    def _apply_update(self, update: feed.Update) -> None:
        match update:
            case feed.ConfigUpdate():
                if self.catalog.apply(update):
                    self._apply_catalog()
                    self.agent_link.report_now()
            case feed.Keepalive(revision):
                if self.catalog.confirm(revision):
                    self.agent_link.report_now()
            case feed.TargetsUpdate(statuses):
                for status in statuses:
                    self.routing.apply_status(status)
            case feed.NodesUpdate():
                self.nodes.apply(update, self.agent_link.uses_fallback_agent)
                self.homes.set_live_entries(update.addresses.addresses)
                self._set_connection_shares()
                if not self.agent_link.uses_fallback_agent:
                    self.agent_link.set_fallback_agents(update.agents)
            case feed.RumorsUpdate(rumors):
                for rumor in rumors:
                    self._handle_rumor(rumor)
            case feed.LeaveUpdate():
                self.stop_requested.set()

    def _apply_catalog(self) -> None:
        _, removed = self.routing.declare()
        for target_id in removed:
            self.client.forget(target_id)
        self._set_connection_shares()

    def _set_connection_shares(self) -> None:
        for target in self.catalog.targets.values():
            self.client.declare(
                target, self.nodes.connection_share(target.connections)
            )

    def _handle_rumor(self, rumor: Rumor) -> None:
        if rumor.topic == feed.LEAVING_TOPIC:
            self.routing.mark_leaving_elsewhere(
                TargetId(rumor.key), rumor.ttl_s
            )
        else:
            self.suspects.apply_rumor(rumor)

    def _announce_leaving_target(self, target_id: TargetId) -> None:
        version = time.time_ns() // 1_000_000
        self._publish(
            Rumor(
                feed.LEAVING_TOPIC,
                target_id,
                version,
                ttl_s=LEAVING_S,
                urgency=Urgency.DECISION,
            )
        )

    def _publish(self, rumor: Rumor) -> None:
        self._unsent_rumors.append(rumor)
        self.agent_link.report_now()

    def _make_report(self) -> feed.Report:
        rumors = tuple(self._unsent_rumors)
        self._unsent_rumors.clear()
        return feed.Report(
            node=self.cfg.node,
            address=self._weighted_address(),
            revision=self.catalog.revision,
            ready=self._is_ready(),
            leaving=not handlers.accepts_new_callers(self.leaving),
            in_flight=self.gate.in_flight,
            rumors=rumors,
        )

    def _weighted_address(self) -> Address:
        weight = self._entry_weight.update(self.gate.load, self.clock())
        return msgspec.structs.replace(self.address, weight=weight)

    def _requeue_rumors(self, report: feed.Report) -> None:
        self._unsent_rumors.extendleft(reversed(report.rumors))


async def run(cfg: EntrySettings) -> int:
    """Run an entry until a signal or a LeaveUpdate; return the exit code.

    A second signal ends the process at once.
    """
    entry = Entry(cfg)
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        if entry.stop_requested.is_set():
            logs.log_event('entry_killed', in_flight=entry.leaving.in_flight)
            os._exit(EXIT_ABORTED)
        entry.stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await entry.start()
    _tune_garbage_collection()
    print(f'{{"port": {entry.address.port}}}', flush=True)
    await entry.stop_requested.wait()
    return EXIT_ABORTED if await entry.leave() else 0


def _tune_garbage_collection() -> None:
    """Reduce the time that garbage collection takes.

    The objects that exist now are excluded, because most of them stay in use
    until the process ends. The others are examined less often.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_ALLOCATIONS, 10, 10)


def serve(settings_file: str) -> int:
    """Run one entry until SIGTERM or SIGINT.

    :param settings_file: YAML file with the settings of the entry
    """
    try:
        cfg = settings.load(settings_file, EntrySettings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    logs.write_to_stderr('entry', cfg.node)
    return asyncio.run(run(cfg))


def main() -> None:
    """Run the command sesameward-entry."""
    sys.exit(defopt.run(serve))


if __name__ == '__main__':
    main()
