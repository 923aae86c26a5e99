"""Run the agent of a VM: membership, configuration and target state."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
import typing

from grpclib.server import Server
import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from . import logs
from . import settings
from .codec import MsgpackCodec
from .configuration.config_peers import PullClient
from .configuration.config_peers import PullHandler
from .configuration import feed
from .configuration.platform_client import PlatformClient
from .configuration.spread import PullTree
from .controllers.configuration import Configuration
from .controllers.feed_hub import FeedHub
from .controllers.rollup import Rollup
from .controllers.target_states import TargetStates
from .controllers.vm_list import VmList
from .exceptions import AdminError
from .exceptions import RumorTooLargeError
from .exceptions import SettingsError
from .interface.admin import DrainRequest
from .interface.admin import make_app
from .membership.gossip import Gossip
from .membership.peers import PeerClient
from .membership.peers import PeerHandler
from .membership.roster import is_live
from .messages import Address
from .messages import Addresses
from .messages import DrainRumorBody
from .messages import EntryStatus
from .messages import HoldersRumorBody
from .messages import Member
from .messages import NodeStatus
from .messages import Rumor
from .messages import StoredObject
from .messages import TargetStatus
from .messages import Urgency
from .messages import Vm
from .metrics import Metrics
from .rendezvous import pick
from .routing.homes import bucket_of
from .routing.homes import Homes
from .routing.shares import HolderCount
from .settings import AgentSettings
from .settings import Endpoint
from .types import MemberState
from .types import NodeId
from .types import Revision
from .types import TargetId

EXIT_USAGE = 2
EXIT_KILLED = 4
NODES_CHECK_PERIOD_S = 0.5
NODES_MAX_INTERVAL_S = 30.0
# Updates to the entries are spaced out in a large fleet, to bound their cost.
NODES_MIN_INTERVAL_PER_MEMBER_S = 0.0002
# For this long after its start an agent does not probe more targets than the
# number below, since it may not know the other members yet.
MEMBERSHIP_SETTLE_S = 5.0
MAX_TARGETS_BEFORE_SETTLED = 1_000
# How many agents of other VMs an entry may follow while its own is gone.
FALLBACK_AGENTS = 3
# An entry that is stopped together with the agent reports it within this time.
ENTRY_STOP_REPORT_S = 0.5
ENTRY_STOP_TIMEOUT_S = 60.0
HOLDERS_TOPIC = 'holders'
HOLDERS_TTL_S = 60.0
HOLDERS_REPUBLISH_S = 20.0
DRAIN_TOPIC = 'drain'
DRAIN_TTL_S = 86_400.0


class Agent:
    """Connect the controllers and servers of one agent."""

    def __init__(self, cfg: AgentSettings):
        self.cfg = cfg
        self.clock = time.monotonic
        self.metrics = Metrics('agent')
        self._rng = random.Random(cfg.seed)
        self.platform = PlatformClient(cfg.platform, self.metrics, self._rng)
        self._http_sockets = tornado.netutil.bind_sockets(
            cfg.http.port, cfg.http.host
        )
        self.http_port = self._http_sockets[0].getsockname()[1]
        self._grpc_sockets = tornado.netutil.bind_sockets(
            cfg.grpc.port, cfg.grpc.host
        )
        self.grpc_port = self._grpc_sockets[0].getsockname()[1]
        self._sync_client = PeerClient()
        self._pull_client = PullClient(self.metrics)
        self.gossip = Gossip(
            cfg,
            self._own_member(),
            self.metrics,
            self._rng,
            transport=self._sync_client,
        )
        self.configuration = Configuration(
            cfg.node,
            PullTree(cfg.node, cfg.zone, cfg.watchers_per_zone, self._rng),
            self.platform,
            self._pull_client.pull,
            self.gossip.members,
            self._publish,
            self.metrics,
            self._rng,
        )
        self.homes = Homes(cfg.node, cfg.zone, cfg.homes)
        self.targets = TargetStates(
            cfg.probe_s,
            cfg.probes_per_s,
            self.metrics,
            self._rng,
            self.clock,
        )
        self.vms = VmList(
            self.platform,
            lambda: len(self.gossip.members()),
            lambda: self.configuration.watching,
            self.metrics,
            self._rng,
        )
        self.rollup = Rollup(
            cfg.node,
            self.platform,
            self.gossip.members,
            lambda: self.configuration.revision,
            self.metrics,
            self._rng,
        )
        self.holders = HolderCount(cfg.node)
        self.hub = FeedHub(
            cfg.node,
            lambda: self.configuration.revision,
            self._initial_updates,
            self.clock,
        )
        self._grpc = Server(
            [
                self.hub,
                PeerHandler(self.gossip.answer_sync),
                PullHandler(self.configuration.answer_pull),
            ],
            codec=MsgpackCodec(),
        )
        self._http = tornado.httpserver.HTTPServer(make_app(self))
        self._tasks: list[asyncio.Task] = []
        self._published_holders: HoldersRumorBody | None = None
        self._holders_due_at = 0.0
        # Whether entries may lack objects that this agent has, and the
        # revision of the last ConfigUpdate.
        self._config_stale = True
        self._sent_revision = Revision(0)
        self._connection_limits: frozenset[int] = frozenset()
        self._last_reported: tuple[tuple[Address, ...], ...] = ()
        self._nodes_stale = True
        self._nodes_due_at = 0.0
        self._home_buckets: frozenset[int] = frozenset()
        self._membership_settled_at = 0.0
        self._probes_postponed = False
        self._holders_stale = True
        self._homes_stale = True

    async def start(self) -> None:
        """Start all servers and tasks, without waiting for the store."""
        self._home_buckets = self.homes.own_buckets()
        self.targets.on_statuses = self._on_statuses
        self.vms.on_vms = self._on_vm_list
        self.hub.on_report = self._on_report
        self.configuration.on_change(self._on_config)
        self.configuration.on_same_objects = self._on_same_objects
        self.gossip.on_change(self._on_member)
        self.gossip.subscribe('config', self.configuration.handle_hint)
        for topic in feed.ENTRY_TOPICS:
            self.gossip.subscribe(topic, self._on_entry_rumor)
        self.gossip.subscribe(HOLDERS_TOPIC, self._on_holders_rumor)
        self.gossip.subscribe(DRAIN_TOPIC, self._on_drain_rumor)
        self._membership_settled_at = self.clock() + MEMBERSHIP_SETTLE_S
        await self.gossip.start()
        await self._grpc.start(sock=self._grpc_sockets[0])
        self._http.add_sockets(self._http_sockets)
        self.configuration.start()
        self.targets.start()
        self.vms.start()
        self._tasks += [
            asyncio.ensure_future(self._send_nodes_updates()),
            asyncio.ensure_future(self.rollup.run()),
        ]
        for task in self._tasks:
            logs.log_failure(task)
        logs.log_event(
            'agent_started', http=self.http_port, grpc=self.grpc_port
        )

    async def stop(self) -> None:
        """Stop all tasks, leave the membership and close all connections.

        Other VMs take over this VM's share of the connections once it has
        left, so it leaves only if no entry of the VM runs any more.
        """
        await self._wait_for_leaving_entries()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.vms.stop()
        await self.configuration.stop()
        await self.targets.stop()
        await self.gossip.stop(leave=not self.hub.reports())
        self._http.stop()
        self._grpc.close()
        await self._grpc.wait_closed()
        self._pull_client.close()
        self.platform.close()

    async def _wait_for_leaving_entries(self) -> None:
        await asyncio.sleep(ENTRY_STOP_REPORT_S)
        deadline = self.clock() + ENTRY_STOP_TIMEOUT_S
        while self.clock() < deadline:
            if not any(report.leaving for report in self.hub.reports()):
                return
            await asyncio.sleep(ENTRY_STOP_REPORT_S)

    def status(self) -> NodeStatus:
        """Return the state of this node and the revision in force on it."""
        return NodeStatus(
            node=self.cfg.node,
            revision=self.configuration.revision,
            entries=tuple(_entry_status(r) for r in self.hub.reports()),
            rejected=self.configuration.replica.rejected(),
            watching=self.configuration.watching,
            local_health=self.gossip.local_health,
            holders=len(self.holders.holders),
        )

    def ready(self) -> bool:
        """Tell whether a configuration is in force on this node."""
        return self.configuration.ready.is_set()

    def known_members(self) -> list[Member]:
        """Return all members, also those that are dead or have left."""
        return self.gossip.known()

    def target_statuses(self) -> tuple[TargetStatus, ...]:
        """Return the state of the targets that this agent probes."""
        return self.targets.statuses()

    def drain(self, request: DrainRequest) -> None:
        """Start or stop draining a target on all nodes, or drain this node.

        Raise AdminError for another node and for the end of a node's drain.
        """
        if request.target is not None:
            self._drain_target(request.target, request.drain)
        elif request.node == self.cfg.node and request.drain:
            self.hub.send(feed.LeaveUpdate())
        else:
            raise AdminError(
                f'this agent can not change the drain of node {request.node}; '
                'ask the agent of that node, and only to start a drain'
            )

    def _drain_target(self, target_id: TargetId, drain: bool) -> None:
        self._publish(
            Rumor(
                DRAIN_TOPIC,
                target_id,
                time.time_ns(),
                msgspec.msgpack.encode(DrainRumorBody(drain)),
                DRAIN_TTL_S,
                Urgency.DECISION,
            )
        )
        self.targets.set_leaving(target_id, 'operator', drain)

    def _own_member(self) -> Member:
        cfg = self.cfg
        return Member(
            node=cfg.node,
            zone=cfg.zone,
            host=cfg.gossip.host,
            gossip_port=cfg.gossip.port,
            grpc_port=self.grpc_port,
            http_port=self.http_port,
        )

    def _publish(self, rumor: Rumor) -> None:
        try:
            self.gossip.publish(rumor)
        except RumorTooLargeError:
            self.metrics.count('rumors_refused', 'too_large')

    # Updates sent to entries.

    def _initial_updates(self) -> list[feed.Update]:
        updates: list[feed.Update] = [self._nodes_update()]
        if self.configuration.ready.is_set():
            updates.append(self._config_update())
        updates.append(feed.TargetsUpdate(self.targets.statuses()))
        rumors = tuple(
            r for r in self.gossip.rumors() if r.topic in feed.ENTRY_TOPICS
        )
        updates.append(feed.RumorsUpdate(rumors))
        return updates

    def _config_update(self) -> feed.ConfigUpdate:
        book = self.configuration.replica
        in_force = book.in_force()
        return feed.ConfigUpdate(
            book.revision, tuple(in_force[key] for key in sorted(in_force))
        )

    def _nodes_update(self) -> feed.NodesUpdate:
        members = [m for m in self.gossip.members() if not m.leaving]
        usable = tuple(
            address
            for member in members
            if member.state is MemberState.ALIVE
            for address in member.entries
        )
        live = {
            (a.node, a.incarnation): a
            for a in (
                *(a for m in members for a in m.entries),
                *(r.address for r in self.hub.reports()),
            )
        }
        return feed.NodesUpdate(
            Addresses(usable, self.cfg.address_ttl_s),
            self._connection_shares(),
            tuple(live.values()),
            self._fallback_agents(members),
        )

    def _fallback_agents(
        self, members: typing.Iterable[Member]
    ) -> tuple[Endpoint, ...]:
        others = [
            Endpoint(m.host, m.grpc_port)
            for m in members
            if m.node != self.cfg.node and m.state is MemberState.ALIVE
        ]
        chosen = pick(self.cfg.node, [str(e) for e in others], FALLBACK_AGENTS)
        return tuple(e for e in others if str(e) in chosen)

    def _connection_shares(self) -> dict[int, int]:
        entries = max(1, len(self.hub.reports()))
        return {
            limit: self.holders.share(
                limit, entries, self.cfg.connection_reserve
            )
            for limit in self._connection_limits
        }

    async def _send_nodes_updates(self) -> None:
        last_update: feed.NodesUpdate | None = None
        while True:
            self.gossip.update(entries=self.hub.addresses())
            self._publish_holders()
            if self._is_nodes_update_due():
                update = self._nodes_update()
                if update != last_update:
                    self.hub.send(update)
                    last_update = update
            if self._homes_stale:
                self._update_home_buckets()
            await asyncio.sleep(NODES_CHECK_PERIOD_S)

    def _is_nodes_update_due(self) -> bool:
        """Tell whether to build a NodesUpdate now, and time the next one."""
        now = self.clock()
        own_addresses = tuple(r.address for r in self.hub.reports())
        reported = (own_addresses, self.hub.addresses())
        changed = self._nodes_stale or reported != self._last_reported
        min_interval_s = len(self.homes) * NODES_MIN_INTERVAL_PER_MEMBER_S
        if now < self._nodes_due_at - (
            NODES_MAX_INTERVAL_S - min_interval_s if changed else 0
        ):
            return False
        self._nodes_stale = False
        self._nodes_due_at = now + NODES_MAX_INTERVAL_S
        self._last_reported = reported
        return True

    def _update_home_buckets(self) -> None:
        self._homes_stale = False
        buckets = self.homes.own_buckets()
        if buckets != self._home_buckets or self._probes_postponed:
            self._home_buckets = buckets
            self._probes_postponed = False
            self._update_probed_targets()

    def _update_probed_targets(self) -> None:
        """Probe the targets of which this node is a home."""
        home_targets, limits = [], set()
        # Pools are decoded one at a time, since all of them take much memory.
        for pool in self.configuration.replica.all_pools():
            for target in pool.targets:
                limits.add(target.connections)
                if bucket_of(target.id) in self._home_buckets:
                    home_targets.append(target)
        self._connection_limits = frozenset(limits)
        if (
            len(home_targets) <= MAX_TARGETS_BEFORE_SETTLED
            or self._is_membership_settled()
        ):
            self.targets.declare(home_targets)
        else:
            self._probes_postponed = self._homes_stale = True

    def _is_membership_settled(self) -> bool:
        """Tell whether there was enough time to learn of the other members.

        An agent that has just started takes itself for a home of all targets.
        """
        return self.clock() >= self._membership_settled_at

    def _publish_holders(self) -> None:
        now = self.clock()
        if not self._holders_stale and now < self._holders_due_at:
            return
        self._holders_stale = False
        body = HoldersRumorBody(
            tuple(sorted(self.holders.holders)), self.holders.counted_by_all
        )
        if body == self._published_holders and now < self._holders_due_at:
            return
        self._published_holders = body
        self._holders_due_at = now + HOLDERS_REPUBLISH_S
        self._publish(
            Rumor(
                HOLDERS_TOPIC,
                self.cfg.node,
                time.time_ns(),
                msgspec.msgpack.encode(body),
                HOLDERS_TTL_S,
            )
        )

    # Callbacks of the controllers, the gossip and the feed.

    def _on_config(self, changed: typing.Sequence[StoredObject]) -> None:
        update = self._config_update()
        # Entries ignore an update of a revision that they already have.
        self._config_stale = update.revision == self._sent_revision
        self._sent_revision = update.revision
        self._update_probed_targets()
        self.hub.send(update)
        self.hub.send(self._nodes_update())

    def _on_same_objects(self) -> None:
        if self._config_stale:
            self._config_stale = False
            update = self._config_update()
            self._sent_revision = update.revision
            self.hub.send(update)
        else:
            self.hub.send(feed.Keepalive(self.configuration.revision))

    def _on_statuses(self, statuses: tuple[TargetStatus, ...]) -> None:
        self.hub.send(feed.TargetsUpdate(statuses))

    def _on_member(self, member: Member) -> None:
        if member.state is MemberState.LEFT:
            self.holders.remove_left(member.node)
        else:
            self.holders.add_member(member.node)
        if is_live(member):
            self.homes.add(member.node, member.zone)
        else:
            self.homes.remove(member.node)
        self._nodes_stale = True
        self._holders_stale = True
        self._homes_stale = True

    def _on_vm_list(self, vms: tuple[Vm, ...]) -> None:
        nodes = [NodeId(vm.name) for vm in vms if vm.role == 'entry']
        alive = [m.node for m in self.gossip.members()]
        before = (self.holders.holders, self.holders.counted_by_all)
        self.holders.update_vm_list(nodes, alive, self.clock())
        if before != (self.holders.holders, self.holders.counted_by_all):
            self._nodes_stale = True
            self._holders_stale = True
        self.gossip.set_join_addresses(
            Endpoint(vm.host, self.cfg.gossip.port)
            for vm in vms
            if vm.role == 'entry' and vm.name != self.cfg.node
        )
        leaving = {TargetId(vm.name) for vm in vms if vm.leaving}
        for target_id in self.targets.leaving_by('vm_list') - leaving:
            self.targets.set_leaving(target_id, 'vm_list', False)
        for target_id in leaving:
            self.targets.set_leaving(target_id, 'vm_list', True)

    def _on_report(self, report: feed.Report) -> None:
        for rumor in report.rumors:
            self._publish(rumor)

    def _on_entry_rumor(self, rumor: Rumor) -> None:
        self.hub.send(feed.RumorsUpdate((rumor,)))

    def _on_holders_rumor(self, rumor: Rumor) -> None:
        try:
            body = msgspec.msgpack.decode(rumor.body, type=HoldersRumorBody)
        except msgspec.DecodeError:
            self.metrics.count('rumors_refused', 'malformed')
            return
        self.holders.record_holders(NodeId(rumor.key), body.holders, body.full)
        self._nodes_stale = True
        self._holders_stale = True

    def _on_drain_rumor(self, rumor: Rumor) -> None:
        try:
            body = msgspec.msgpack.decode(rumor.body, type=DrainRumorBody)
        except msgspec.DecodeError:
            self.metrics.count('rumors_refused', 'malformed')
            return
        target_id = TargetId(rumor.key)
        self.targets.set_leaving(target_id, 'operator', body.drain)


def _entry_status(report: feed.Report) -> EntryStatus:
    return EntryStatus(
        f'{report.address.host}:{report.address.port}',
        report.revision,
        report.ready,
        report.leaving,
        report.in_flight,
    )


async def run(cfg: AgentSettings) -> int:
    """Run an agent until a signal; return the exit code.

    A second signal ends the process at once.
    """
    agent = Agent(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        if stop.is_set():
            logs.log_event('agent_killed', entries=len(agent.hub.reports()))
            os._exit(EXIT_KILLED)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await agent.start()
    ports = {
        'http': agent.http_port,
        'grpc': agent.grpc_port,
        'gossip': agent.gossip.me.gossip_port,
    }
    print(json.dumps(ports), flush=True)
    await stop.wait()
    await agent.stop()
    return 0


def main() -> None:
    """Run the command sesameward-agent SETTINGS_FILE."""
    if len(sys.argv) != 2 or sys.argv[1] in ('-h', '--help'):
        print('usage: sesameward-agent SETTINGS_FILE', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        cfg = settings.load(sys.argv[1], AgentSettings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    logs.write_to_stderr('agent', cfg.node)
    sys.exit(asyncio.run(run(cfg)))


if __name__ == '__main__':
    main()
