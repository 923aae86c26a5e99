"""Assemble and run one node, until it stops after SIGTERM or SIGINT.

A node serves callers' requests, a directory of nodes, readiness probes, and
status and metrics for operators.
"""

from __future__ import annotations

import asyncio
import functools
import math
import os
import random
import signal
import socket
import sys
import time
import typing

import uvloop

from .. import logs
from ..background import call_all
from ..background import restart_logger
from ..background import Supervisor
from . import evacuations
from ..exceptions import SettingsError
from . import kept_routes
from . import leaving_targets
from . import limit_exchange
from ..messages import Rumor
from ..metrics import Metrics
from . import mirror
from . import node_status
from ..organisations.identity import Identity
from ..organisations.quotas import ORGANISATION_LIMITS
from ..organisations.quotas import OrganisationLimits
from ..placement.relays import Relays
from ..quarantine.quarantine import TOPIC as QUARANTINE_TOPIC
from ..settings import Endpoint
from . import silent_targets
from ..types import NodeId
from ..types import Revision
from ..types import TargetId
from ..types import ZoneName
from .admission_gate import AdmissionGate
from .attempts import AttemptPolicy
from .budget_window import BudgetWindow
from .byte_limits import MESSAGE_MEMORY_FRACTION
from .byte_limits import MessageMemory
from .cold_targets import ColdTargets
from .crashes import Crashes
from .delegate_client import DelegateClient
from .delegate_server import DelegateHandler
from .delegation import Delegation
from .delegation import TargetNotice
from .delivery import OnUpdate
from .deps import Deps
from .directory import Directory
from .endpoints import EndpointAdapter
from .endpoints import Endpoints
from .entry_offer import EntryOffer
from .evacuations import Evacuations
from .evacuations import ZoneChange
from .exchange import ExchangeDeps
from .front import Front
from .http_server import HttpServer
from .http_server import Request
from .http_server import Responder
from .kept_routes import KeptRoutes
from .leaving_targets import Departures
from .lifecycle import Action
from .lifecycle import Lifecycle
from .lifecycle import Part
from .limit_exchange import LimitExchange
from .limit_exchange import LimitHandler
from .limit_exchange import PermitExchange
from .lines import LineWriter
from .link_watch import LinkWatch
from .mirror import Mirror
from .mirror import Store
from .peers import Peers
from .pools import ConnectCheck
from .pools import Pools
from .pools import WARM_PERIOD_S
from .process_memory import return_large_blocks
from .registration import Registration
from .registration import Registry
from .replica_choice import ReplicaSelector
from .restored_targets import RestoredTargets
from .routes import RouteTable
from .routing_state import Decoder
from .routing_state import RoutingState
from .settings import NodeSettings
from .splits import Splits
from .takeover import Takeover
from .target_limits import FULL_SHARE_AFTER_S
from .target_limits import TargetLimits
from .target_links import TargetLinks
from .targets import DepartureSource
from .targets import Target
from .targets import TargetTable
from .wire import Wire

# Interval of the periodic upkeep, which publishes silent targets and suspected
# requests, opens spare connections to targets, drops expired targets, and
# checks whether the process was suspended or its settings were changed.
UPKEEP_INTERVAL_S = WARM_PERIOD_S
# Interval at which a new process counts the other nodes. Until it knows them,
# requests of organisations are refused for lack of permits.
FIRST_COUNTS_INTERVAL_S = 0.05
# If an upkeep round comes this much later than planned, the process was
# suspended or blocked. Routes and targets may be outdated, so they are read
# again.
SUSPENDED_AFTER_S = 1.0
# Interval at which the settings file is checked for changes.
SETTINGS_CHECK_INTERVAL_S = 1.0
# A node accepts connections for this long after SIGTERM: callers still
# connect to the addresses that they have cached.
KEEP_LISTENING_S = 2.5
# A leaving node stops waiting for requests in flight this long before it would
# get SIGKILL, so that it has time to exit by itself.
EXIT_RESERVE_S = 0.5
# Nodes that start at the same time read the store this long after each other,
# so that later nodes can pull what the first node has read.
START_STAGGER_S = 0.25
# A starting node accepts callers' connections once it has read routes and
# targets, which takes some 20 ms, or once FIRST_READING_TIMEOUT_S has passed.
# In the latter case it refuses requests until it has read routes and targets.
FIRST_READING_TIMEOUT_S = 0.25
FIRST_READING_POLL_S = 0.005

# Names of the parts whose start decides what a node has to do to leave.
PEERS = 'peers'
CALLERS = 'callers'


class Adapter(typing.NamedTuple):
    """The parts of a node that depend on the deployment's protocols.

    routes_kind, targets_kind and evacuations_kind name the kinds of store
    objects that hold the configuration, the registrations of targets and the
    evacuations of zones.
    """

    wire: Wire
    decoder: Decoder
    store: Store
    registry: Registry
    queries: EndpointAdapter
    routes_kind: str
    targets_kind: str
    read_settings: typing.Callable[[], NodeSettings]
    settings_changed: typing.Callable[[], bool]
    evacuations_kind: str = 'evacuations'


class Node:
    """Create the objects that make up one node, connect and run them."""

    def __init__(
        self,
        cfg: NodeSettings,
        adapter: Adapter,
        flush_logs: typing.Callable[[], None] = lambda: None,
    ):
        self._cfg = cfg
        self._flush_logs = flush_logs
        self._adapter = adapter
        self._clock = time.monotonic
        self._rng = random.Random(cfg.seed)
        self.metrics = Metrics('node')
        now = self._clock()
        self.targets = TargetTable()
        self.selector = ReplicaSelector(cfg.zone, self._rng)
        self.budget = BudgetWindow(
            cfg.bounds.retry_ratio,
            cfg.bounds.retry_slack,
            cfg.bounds.retry_window_s,
            now,
        )
        self._message_memory = MessageMemory(
            int(cfg.memory_bytes * MESSAGE_MEMORY_FRACTION), cfg.max_fds
        )
        self.metrics.gauge(
            'caller_connections',
            lambda: float(self._message_memory.callers.connection_count),
        )
        self.metrics.gauge(
            'peer_connections',
            lambda: float(self._message_memory.nodes.connection_count),
        )
        self.metrics.gauge(
            'message_bytes', lambda: float(self._message_memory.held_bytes)
        )
        self.pools = Pools(
            self.metrics,
            self._rng,
            self._clock,
            self._on_target_unreachable,
            self._message_memory,
        )
        self.relays = Relays(cfg.node)
        self._relays_state: tuple | None = None
        self.pools.role = self.relays.role
        self.links = TargetLinks(self._rng)
        self.pools.may_connect = lambda: not self.links.is_lost
        splits = Splits()
        self.peers = Peers(
            cfg,
            self.metrics,
            self._rng,
            self._clock,
            self._message_memory,
        )
        self.routing_state = RoutingState(
            adapter.decoder,
            self.targets,
            self.selector,
            self.pools,
            splits,
            self.budget,
            KeptRoutes(adapter.routes_kind, cfg.node, self.peers.publish),
            RestoredTargets(cfg.bounds.registration_ttl_s),
            self.metrics,
            self._clock,
        )
        self._link_watch = LinkWatch(
            self.links,
            self.pools,
            self.targets,
            self.selector,
            self.peers.announce_links,
            self.metrics,
            self._clock,
        )
        self.pools.on_failure = self._link_watch.on_failure
        self.pools.on_contact = self._link_watch.on_contact
        # Rumor versions come from the wall clock (time.time), so that the
        # rumors of a restarted node override those of its former process.
        self._silences = silent_targets.Silences(
            cfg.node,
            self.peers.publish,
            self._clock,
            int(time.time() * 1_000),
        )
        self.selector.on_silent = self._silences.report
        origin = f'{cfg.node}:{time.time_ns()}'
        self._crashes = Crashes(origin, self.metrics, self._rng)
        self._crashes.publish = self.peers.publish
        self._crashes.check_reachable = self._check_reachable
        self._crashes.is_cut_off = lambda: self.links.is_lost
        self._crashes.is_leaving = self.targets.is_leaving_or_gone
        self._crashes.clock = self._clock
        self.routing_state.on_target_dropped = self._on_target_dropped
        self.routes_mirror = self._make_mirror(
            adapter.routes_kind, self.routing_state.update_routes
        )
        self.routes_mirror.kept = self.routing_state.kept_routes.objects
        self.routes_mirror.in_force = self.routing_state.kept_routes.in_force
        self.routes_mirror.on_kept = self.routing_state.apply_kept_routes
        self.targets_mirror = self._make_mirror(
            adapter.targets_kind, self.routing_state.update_targets
        )
        self.evacuations = Evacuations(is_known=cfg.bounds.evac_s is None)
        self.evacuations.on_change = self._on_zone_change
        self._evacuations_due_at = math.inf
        self.evacuations_mirror = self._make_evacuations_mirror()
        self.routing_state.routes_mirror = self.routes_mirror
        self.routing_state.targets_mirror = self.targets_mirror
        self._departures = Departures(
            self.targets, self.routing_state.mark_leaving, self.peers.publish
        )
        self.routing_state.on_target_left = self._on_target_left
        self.selector.on_backoff = self._on_target_rest
        self.limits = TargetLimits(cfg.node, origin, now)
        self.limits.on_change = self._on_limit_change
        self.limits.follows_cold = cfg.bounds.warmup_overshoot is not None
        self.cold = ColdTargets(
            cfg.bounds.warmup_overshoot, cfg.bounds.warmup_slack
        )
        self.cold.on_change = self._on_cold_change
        self.routing_state.on_routes = self._on_routes
        self.routing_state.on_target_added = self._on_target_added
        self.metrics.gauge(
            'limits_in_force', lambda: float(len(self.limits.named))
        )
        self._limit_exchange = LimitExchange(
            cfg.node,
            self.limits,
            self.peers.members,
            self.peers.publish,
            self.metrics,
            self._clock,
        )
        self.organisation_limits = OrganisationLimits(
            cfg.node,
            origin,
            cfg.bounds.quota_overshoot,
            cfg.bounds.quota_slack,
            cfg.bounds.quota_window_s,
            _since_boot_s(),
        )
        self._quotas = PermitExchange(
            cfg.node,
            self.organisation_limits,
            self.peers.members,
            self.peers.publish,
            self.metrics,
            _since_boot_s,
            ORGANISATION_LIMITS,
        )
        tools = ExchangeDeps(
            adapter.wire,
            AttemptPolicy(
                self.targets,
                self.selector,
                self.budget,
                self.limits,
                self.evacuations,
                self.cold,
            ),
            self.pools,
            self._crashes,
            self._limit_exchange,
            self.metrics,
            self._clock,
            self._departures.on_leaving_reply,
            self.links,
            self._link_watch.on_sent,
            self.relays,
        )
        self.delegation = Delegation(cfg.node, cfg.zone)
        self.delegation.on_helper_quiet = self._on_helper_quiet
        self.delegation.on_helper_heard = self._on_helper_heard
        self.selector.on_ejected = self._on_target_ejected
        self._delegates = DelegateClient(
            self.delegation, self.metrics, self._clock, self._message_memory
        )
        self._delegates.on_notice = self._on_helper_notice
        self._delegate_handler = DelegateHandler(tools, self._message_memory)
        self.peers.add_handler(self._delegate_handler)
        self.peers.add_handler(LimitHandler(self.limits, self._clock))
        self.peers.add_handler(
            LimitHandler(
                self.organisation_limits, _since_boot_s, ORGANISATION_LIMITS
            )
        )
        self.admission = AdmissionGate(
            tools.policy, self.metrics, self._clock, self._admits_in_order
        )
        self.pools.orders_waiting = self._admits_in_order
        self.front = Front(
            Deps(
                tools,
                self.delegation,
                self._delegates,
                splits,
                self._rng.random,
                cfg.link_bytes_per_s,
                message_memory=self._message_memory,
                admission=self.admission,
            ),
            self.routing_state,
            Identity(
                cfg.bounds.max_keys_age_s
                if cfg.bounds.refuses_stale_keys
                else math.inf
            ),
            self._quotas,
        )
        self.callers = self._make_server(self.front.handle)
        endpoints = Endpoints(
            adapter.queries,
            Directory(self._rng),
            self.peers.members,
            self.ready,
            self._status,
            cfg.bounds.address_ttl_s,
            self.metrics,
        )
        operators = Endpoint(cfg.gossip.host, cfg.metrics_port)
        self._internal_servers = [
            (self._make_server(endpoints.readiness), cfg.readiness),
            (self._make_server(endpoints.directory), cfg.directory),
            (self._make_server(endpoints.operators), operators),
        ]
        self._lifecycle = Lifecycle(self.metrics, self._clock)
        self._supervisor = Supervisor(self.metrics, self._rng, self._clock)
        self._settings_checked_at = now
        self._was_ready = False
        self._entry_offer = EntryOffer()
        # Kinds of objects whose reading has stopped, as last logged.
        self._stopped_kinds: list[str] = []
        self._unproven_nodes = 0

    def _make_evacuations_mirror(self) -> Mirror | None:
        """Return the copy of the evacuations; None if there are none."""
        bounds = self._cfg.bounds
        if bounds.evac_s is None:
            return None
        evacuations_mirror = self._make_mirror(
            self._adapter.evacuations_kind,
            lambda update: self.evacuations.update(update, self._clock()),
            min(bounds.in_force_s, bounds.evac_s),
        )
        evacuations_mirror.kept = self.evacuations.kept
        evacuations_mirror.on_kept = lambda objects: (
            self.evacuations.apply_kept(objects, self._clock())
        )
        return evacuations_mirror

    @property
    def _mirrors(self) -> tuple[Mirror, ...]:
        mirrors = (self.routes_mirror, self.targets_mirror)
        if self.evacuations_mirror is None:
            return mirrors
        return (*mirrors, self.evacuations_mirror)

    def _make_mirror(
        self, kind: str, on_update: OnUpdate, in_force_s: float | None = None
    ) -> Mirror:
        in_force_s = in_force_s or self._cfg.bounds.in_force_s
        store_mirror = Mirror(
            kind,
            self._cfg.node,
            self._adapter.store,
            self.peers.pull,
            self.peers.members,
            self.peers.publish,
            on_update,
            Takeover(in_force_s, self._start_delay_s()),
            self.metrics,
            self._rng,
            self._clock,
        )
        self.peers.set_pull_answerer(kind, store_mirror.answer)
        return store_mirror

    def _start_delay_s(self) -> float:
        """Return how long a starting node waits before it watches the store.

        Meanwhile it may get the objects from other nodes. The wait grows with
        this node's position among the configured seeds.
        """
        hosts = sorted({seed.host for seed in self._cfg.seeds})
        own = self._cfg.gossip.host
        rank = hosts.index(own) if own in hosts else len(hosts)
        return rank * START_STAGGER_S

    def _make_server(
        self, handle: typing.Callable[[Request, Responder], None]
    ) -> HttpServer:
        return HttpServer(
            handle, self.metrics, self._clock, self._message_memory
        )

    # Start, handling of signals, and stop.

    async def run(self, listener: socket.socket) -> None:
        """Serve callers on a listening socket until the node has stopped.

        SIGTERM or SIGINT makes the node leave: it finishes the requests in
        flight, as far as the time before SIGKILL allows, and then stops. If it
        is still starting, it starts no further part. Raises StartError if one
        of the node's addresses can't be bound.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                number, self._lifecycle.request_stop, number.name
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        logs.log_event('started', zone=self._cfg.zone, pid=os.getpid())
        self._subscribe()
        await self._lifecycle.run(
            self._parts(listener), self._leave_steps(listener)
        )
        logs.log_event('stopped')

    def _subscribe(self) -> None:
        gossip = self.peers.gossip
        gossip.subscribe(mirror.TOPIC, self._on_reading)
        gossip.subscribe(kept_routes.TOPIC, self._on_kept_routes)
        gossip.subscribe(silent_targets.TOPIC, self._on_silences)
        gossip.subscribe(leaving_targets.TOPIC, self._departures.on_rumor)
        gossip.subscribe(QUARANTINE_TOPIC, self._on_quarantine)
        gossip.subscribe(limit_exchange.TOPIC, self._limit_exchange.on_rumor)

    def _parts(self, listener: socket.socket) -> tuple[Part, ...]:
        """Return the parts of the node in the order of their start.

        A part may use those before it as soon as it is started. The internal
        servers, for example, answer with the members that gossip knows.
        """
        return (
            Part('connections to targets', stop=self.pools.close),
            Part(PEERS, self.peers.start, self.peers.stop),
            Part('calls to other nodes', stop=self._close_calls),
            Part(
                'internal servers',
                self._start_internal_servers,
                self._stop_internal_servers,
            ),
            Part('mirrors', self._start_mirrors, self._stop_mirrors),
            Part('first reading', self._wait_first_reading),
            Part(
                CALLERS,
                functools.partial(self.callers.accept, listener),
                self.callers.stop,
            ),
            Part('loops', self._start_loops, self._cancel_tasks),
        )

    def _leave_steps(self, listener: socket.socket) -> dict[str, Action]:
        """Return what a leaving node does before its parts are stopped."""
        return {
            'close to callers': functools.partial(
                self._close_to_callers, listener
            ),
            'announcement': self._announce_leaving,
            'requests in flight': self._finish_requests,
        }

    async def _start_internal_servers(self) -> None:
        for server, at in self._internal_servers:
            await server.start(at.host, at.port)

    def _stop_internal_servers(self) -> None:
        for server, _ in self._internal_servers:
            server.stop()

    def _close_calls(self) -> None:
        self._delegates.close()
        self._limit_exchange.close()
        self._quotas.close()

    def _start_mirrors(self) -> None:
        self._evacuations_due_at = self._clock() + evacuations.START_TIMEOUT_S
        for store_mirror in self._mirrors:
            store_mirror.start()

    async def _stop_mirrors(self) -> None:
        for store_mirror in self._mirrors:
            await store_mirror.stop()

    def _start_loops(self) -> None:
        try:
            self._upkeep(self._clock())
        except Exception as exc:
            # The loop repeats it; without this the node would not start.
            restart_logger(self.metrics, 'upkeep')(exc)
        registration = Registration(
            self._cfg,
            self._adapter.registry,
            self.peers.set_join_addresses,
            self.metrics,
            self._rng,
        )
        registration.on_restart = self._on_restart
        for name, run_loop in (
            ('upkeep', self._run_upkeep),
            ('registration', registration.run),
            ('limits', self._limit_exchange.run),
            ('organisation limits', self._quotas.run),
            ('admission', self.admission.run),
        ):
            self._supervisor.start_loop(name, run_loop)
        self._supervisor.start('first counts', self._run_first_counts())

    def _on_restart(self, registered_nodes: int) -> None:
        self.organisation_limits.set_registered_nodes(
            registered_nodes, _since_boot_s()
        )
        self._quotas.call_soon()

    def _cancel_tasks(self) -> None:
        self._supervisor.stop()

    async def _wait_first_reading(self) -> None:
        """Wait for routes and targets, at most FIRST_READING_TIMEOUT_S.

        The store may just have been restored from an older copy, so the node
        also waits for what other nodes know.
        """
        until = self._clock() + FIRST_READING_TIMEOUT_S
        while (
            self._clock() < until
            and not self._lifecycle.is_stop_requested
            and not (self.ready() and self.routes_mirror.has_pulled)
        ):
            await asyncio.sleep(FIRST_READING_POLL_S)
            self._check_evacuations_known()

    def _on_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        self.metrics.count('loop_faults')
        exc = context.get('exception')
        logs.log_event(
            'loop_fault',
            problem=context.get('message'),
            error=repr(exc),
            where=logs.origin_of(exc),
        )

    def _close_to_callers(self, listener: socket.socket) -> None:
        logs.log_event('leaving', in_flight=len(self.front.deps.runs))
        self.callers.leaving = True
        if not self._lifecycle.has_started(CALLERS):
            # Nothing was read from the connections that wait on the socket, so
            # their callers can send their requests to another node at once.
            listener.close()

    def _announce_leaving(self) -> None:
        if self._lifecycle.has_started(PEERS):
            self.limits.stop()
            self.organisation_limits.stop()
            self.peers.announce_leaving()

    async def _finish_requests(self) -> None:
        """Wait until all requests have ended.

        These are callers' requests and sub-requests sent for other nodes. For
        KEEP_LISTENING_S the node still accepts both; then it closes each
        connection that is idle. The wait ends EXIT_RESERVE_S before SIGKILL
        even if requests are still in flight. A node that was told to stop
        before it joined the others has accepted none and does not wait.
        """
        if not self._lifecycle.has_started(PEERS):
            return
        signal_at = self._lifecycle.stop_requested_at
        until = signal_at + self._cfg.bounds.grace_s - EXIT_RESERVE_S
        await asyncio.sleep(KEEP_LISTENING_S)
        self.callers.stop_listening()
        self._delegate_handler.close()
        while (
            self.callers.close_idle() or not self._delegate_handler.is_idle
        ) and self._clock() < until:
            await asyncio.sleep(0.05)
        logs.log_event(
            'stopping',
            in_flight=len(self.front.deps.runs),
            after_s=round(self._clock() - signal_at, 3),
        )
        # Leave time to send the last answers from the socket buffers.
        await asyncio.sleep(0.1)

    def _reload(self) -> None:
        try:
            cfg = self._adapter.read_settings()
        except SettingsError as exc:
            self.metrics.count('reloads', 'refused')
            logs.log_event('reload_refused', error=str(exc))
            return
        self.metrics.count('reloads', 'done')
        logs.log_event('reloaded', seeds=[str(seed) for seed in cfg.seeds])
        self.peers.set_join_addresses(cfg.seeds)

    # Periodic work, and callbacks for events of targets, helper nodes (which
    # send sub-requests for this node) and rumors.

    async def _run_upkeep(self) -> None:
        last_round_at = self._clock()
        since_boot_s = _since_boot_s()
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now = self._clock()
            suspended_s = (
                max(now - last_round_at, _since_boot_s() - since_boot_s)
                - UPKEEP_INTERVAL_S
            )
            last_round_at, since_boot_s = now, _since_boot_s()
            if suspended_s > SUSPENDED_AFTER_S:
                logs.log_event('stood_still', for_s=round(suspended_s, 3))
                self.limits.reset(now)
                self.links.reset()
                for store_mirror in self._mirrors:
                    store_mirror.refresh()
            steps = [functools.partial(self._upkeep, now), self._flush_logs]
            if now - self._settings_checked_at >= SETTINGS_CHECK_INTERVAL_S:
                self._settings_checked_at = now
                steps.append(self._check_settings)
            call_all(steps)

    def _check_settings(self) -> None:
        if self._adapter.settings_changed():
            self._reload()

    async def _run_first_counts(self) -> None:
        """Count the other nodes more often while this process is new.

        With each one, organisations' limits may have another coordinator.
        """
        until = self._clock() + FULL_SHARE_AFTER_S
        while self._clock() < until:
            await asyncio.sleep(FIRST_COUNTS_INTERVAL_S)
            self._count_unproven_nodes(self._clock())

    def _count_unproven_nodes(self, now: float) -> None:
        unproven_nodes = self.peers.unproven_nodes(now)
        self.organisation_limits.set_nodes(unproven_nodes, _since_boot_s())
        if unproven_nodes != self._unproven_nodes:
            self._unproven_nodes = unproven_nodes
            self._quotas.call_soon()

    def _upkeep(self, now: float) -> None:
        """Take all steps, also after one has failed; raise its exception."""
        call_all(
            (
                self._check_evacuations_known,
                lambda: self._settle_evacuations(now),
                lambda: self.cold.settle(now),
                self.routing_state.drop_expired,
                self._link_watch.check_periodically,
                lambda: self.limits.named.drop_absent(self.targets, now),
                self._publish_silences,
                lambda: self._crashes.publish_suspicions(now),
                lambda: self.delegation.set_members(self.peers.members()),
                lambda: self._share_limits(now),
                self._update_relays,
                self._warm_connections,
                self._apply_caller_limits,
                lambda: self._offer_entry(now),
            )
        )

    def _publish_silences(self) -> None:
        if self.links.is_lost:
            self._silences.drop_reported()
        elif not self.links.is_doubtful:
            self._silences.publish_reported()

    def _share_limits(self, now: float) -> None:
        sharing_nodes = self.peers.sharing_nodes(now)
        self.budget.set_nodes(sharing_nodes)
        self.limits.set_nodes(sharing_nodes, now)
        self._count_unproven_nodes(now)
        self.pools.set_limits(
            self.routing_state.max_connections,
            sharing_nodes,
            self.peers.cut_off_count(),
        )

    def _warm_connections(self) -> None:
        self.pools.warm(self.delegation.zones(), self.evacuations.zones())

    def _apply_caller_limits(self) -> None:
        table = self.routing_state.route_table
        if table is not None:
            self.callers.limits = table.limits

    def _offer_entry(self, now: float) -> None:
        """Announce this node to callers, or no longer."""
        self._log_stopped_reading(now)
        if self._lifecycle.is_stop_requested:
            return
        is_ready = self.ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            logs.log_event('ready' if is_ready else 'not_ready')
        if self._entry_offer.update(
            is_ready, self._knows_enough(), self._is_other_offered
        ):
            self.peers.offer_entry(self._entry_offer.is_offered)

    def _log_stopped_reading(self, now: float) -> None:
        kinds = [one.kind for one in self._mirrors if one.has_stopped(now)]
        if kinds == self._stopped_kinds:
            return
        for kind in set(kinds).difference(self._stopped_kinds):
            self.metrics.count('reading_stopped', kind)
        self._stopped_kinds = kinds
        logs.log_event('reading_stopped' if kinds else 'reading', kinds=kinds)

    def _is_other_offered(self) -> bool:
        return any(
            member.entries and not member.leaving
            for member in self.peers.members()
            if member.node != self._cfg.node
        )

    def _update_relays(self) -> None:
        members = self.peers.members()
        table = self.routing_state.route_table
        # Most rounds change none of what the assignment depends on.
        state = members, table, self.targets.placement_no, self.pools.nodes
        was_active = bool(self.relays)
        if state != self._relays_state or not self.relays.is_settled:
            self._relays_state = state
            # A target whose service the configuration doesn't name has no
            # connection limit that its owner chose.
            services = table.services if table is not None else {}
            self.relays.update(
                members,
                (
                    (target.id, target.zone)
                    for target in self.targets
                    if target.service in services
                    and self.pools.needs_relay(target)
                ),
            )
        if was_active != bool(self.relays):
            logs.log_event('relays', active=not was_active)
        self._delegates.connect_ahead(self.relays.nodes())

    def _check_evacuations_known(self) -> None:
        """Serve as soon as the evacuations are read, or could not be read."""
        store_mirror = self.evacuations_mirror
        if self.evacuations.is_known or store_mirror is None:
            return
        is_read = store_mirror.was_read or (
            store_mirror.has_pulled and store_mirror.replica.revision > 0
        )
        if is_read or self._clock() >= self._evacuations_due_at:
            self.evacuations.is_known = True
            if not is_read:
                self.metrics.count('evacuations_unknown')
                logs.log_event(
                    'evacuations_unknown',
                    after_s=evacuations.START_TIMEOUT_S,
                )

    def _settle_evacuations(self, now: float) -> None:
        if self.evacuations_mirror is not None:
            self.evacuations.settle(
                now - self.evacuations_mirror.age_s(now),
                self.targets_mirror.copy.complete_through or Revision(0),
                now,
            )

    def _on_zone_change(self, zone: ZoneName, change: ZoneChange) -> None:
        count = sum(target.zone == zone for target in self.targets)
        match change:
            case ZoneChange.EVACUATED:
                self.metrics.count('targets_left_out', 'evacuated', count)
                logs.log_event('zone_evacuated', zone=zone, targets=count)
            case ZoneChange.BACK:
                logs.log_event('zone_back', zone=zone, targets=count)

    def _on_routes(self, table: RouteTable) -> None:
        self.organisation_limits.configured.apply_table(table)
        rates = {
            service.name: service.warmup_per_s
            for service in table.services.values()
            if service.warmup_per_s is not None
        }
        self.cold.set_rates(rates, self._clock())

    def _on_target_added(self, target: Target) -> None:
        self.limits.named.on_target_added(target)
        self.cold.on_registered(target, self._clock())

    def _on_target_dropped(self, target_id: TargetId) -> None:
        self._crashes.forget_target(target_id)
        self.cold.forget(target_id)

    def _on_cold_change(
        self, target_id: TargetId, limit: float | None, before: float | None
    ) -> None:
        self.limits.set_cold_limit(target_id, limit)
        if limit is None:
            logs.log_event('target_warm', target=target_id)
            return
        if before is None:
            self.metrics.count('targets_left_out', 'cold')
        logs.log_event(
            'target_cold',
            target=target_id,
            limit_per_s=limit,
            before=before,
            left_s=round(self.cold.left_s(target_id, self._clock()), 3),
        )

    def _on_target_unreachable(self, target_id: TargetId) -> None:
        self._link_watch.when_settled(
            lambda: self._record_unreachable(target_id)
        )

    def _record_unreachable(self, target_id: TargetId) -> None:
        if self.links.is_lost:
            return
        now = self._clock()
        self.selector.record_unreachable(target_id, now)
        self._crashes.mark_unreachable(target_id, now)

    def _check_reachable(
        self,
        target_id: TargetId,
        on_reach: typing.Callable[[ConnectCheck], None],
    ) -> None:
        self.pools.check(
            target_id,
            lambda reach: self._link_watch.when_settled(
                lambda: on_reach(reach)
            ),
        )

    def _on_target_ejected(self, target_id: TargetId, for_s: float) -> None:
        self.metrics.count('targets_ejected')
        logs.log_event(
            'target_ejected', target=target_id, for_s=round(for_s, 3)
        )

    def _on_target_rest(self, target_id: TargetId, for_s: float) -> None:
        self.metrics.count('targets_left_out', 'rest')
        logs.log_event(
            'target_left_out',
            target=target_id,
            reason='rest',
            for_s=round(for_s, 3),
        )

    def _on_limit_change(
        self, target_id: TargetId, limit: float | None, before: float | None
    ) -> None:
        self.metrics.count(
            'target_limits', 'ended' if limit is None else 'named'
        )
        target = self.targets.get(target_id)
        now = self._clock()
        age_s = self.limits.named.named_age_s(target_id, now)
        logs.log_event(
            'target_limit',
            target=target_id,
            service=target.service if target is not None else None,
            limit_per_s=limit,
            before=before,
            age_s=None if age_s is None else round(age_s, 3),
            coordinator=self.limits.coordinator,
            own_part=round(self.limits.part(now), 3),
        )

    def _on_helper_quiet(self, node: NodeId, no_message_s: float) -> None:
        # A helper node sends sub-requests for this node. One that has sent no
        # message for too long gets no sub-requests for a time.
        self.metrics.count('helpers_quiet')
        logs.log_event(
            'helper_quiet', helper=node, no_message_s=round(no_message_s, 3)
        )
        self._delegates.probe(node)

    def _on_helper_heard(self, node: NodeId, no_message_s: float) -> None:
        logs.log_event(
            'helper_heard', helper=node, no_message_s=round(no_message_s, 3)
        )

    def _on_helper_notice(self, notice: TargetNotice) -> None:
        if notice.leaving:
            self._departures.on_leaving_reply(
                notice.target_id, DepartureSource.HELPER
            )
        if notice.rest_s > 0.0:
            self.selector.back_off(
                notice.target_id, notice.rest_s, self._clock()
            )

    def _on_reading(self, rumor: Rumor) -> None:
        for store_mirror in self._mirrors:
            if store_mirror.kind == rumor.key:
                store_mirror.on_rumor(rumor)

    def _on_kept_routes(self, rumor: Rumor) -> None:
        source = self.routing_state.kept_routes.find_source(rumor)
        if source is not None:
            self.routes_mirror.start_pull_kept(source)

    def _on_target_left(self, target_id: TargetId, started_ms: int) -> None:
        self._departures.announce(
            target_id, DepartureSource.REGISTRATION, started_ms
        )

    def _on_silences(self, rumor: Rumor) -> None:
        if rumor.key in self._unheard_nodes():
            return
        now = self._clock()
        reported = silent_targets.targets_of_rumor(rumor)
        believed = sum(
            self.selector.mark_silent(target_id, now) for target_id in reported
        )
        logs.log_event(
            'targets_reported_silent',
            by=rumor.key,
            reported=len(reported),
            believed=believed,
        )

    def _unheard_nodes(self) -> set[str]:
        """Return this node and those that reach no targets themselves."""
        cut_off = {
            member.node
            for member in self.peers.members()
            if not member.reaches_targets
        }
        return cut_off | {self._cfg.node}

    def _on_quarantine(self, rumor: Rumor) -> None:
        self._crashes.on_rumor(rumor, self._clock())

    def ready(self) -> bool:
        """Return True if this node should get requests from callers.

        It has routes and at least one target, knows which zones are evacuated,
        reads all of these from the store or other nodes unless the store
        fails, and is not leaving.
        """
        now = self._clock()
        return (
            not self._lifecycle.is_stop_requested
            and self._knows_enough()
            and not any(one.has_stopped(now) for one in self._mirrors)
        )

    def _knows_enough(self) -> bool:
        return (
            self.routing_state.route_table is not None
            and len(self.targets) > 0
            and self.evacuations.is_known
        )

    def _admits_in_order(self) -> bool:
        """Return True where requests are admitted by priority and shares."""
        table = self.routing_state.route_table
        return bool(self.relays) or (
            table is not None and table.organisations is not None
        )

    def _status(self) -> node_status.NodeStatus:
        return node_status.collect_status(
            self._cfg.node,
            self._lifecycle.is_stop_requested,
            self.ready(),
            self.routing_state,
            self.targets,
            self.selector,
            self.limits,
            self._mirrors,
            self.peers.members(),
            self.links,
            self._clock(),
            self.cold,
            self.evacuations,
            self.admission.statuses(),
        )


def _since_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def serve(cfg: NodeSettings, adapter: Adapter, callers: socket.socket) -> None:
    """Run a node in this process until it stops after SIGTERM or SIGINT.

    callers is a socket that already listens at the node's callers address.
    Raises StartError if another of the node's addresses can't be bound.
    """
    writer = LineWriter(sys.stdout.fileno(), cfg.node)
    logs.set_sink(writer.write)
    return_large_blocks()
    uvloop.run(_run(cfg, adapter, callers, writer))


async def _run(
    cfg: NodeSettings,
    adapter: Adapter,
    callers: socket.socket,
    writer: LineWriter,
) -> None:
    # Node must be created within the running event loop: the objects that it
    # creates bind to the loop that is running at that time.
    try:
        await Node(cfg, adapter, writer.flush).run(callers)
    finally:
        writer.flush()
