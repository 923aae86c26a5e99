"""Keep a VM's membership, configuration and target state."""

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
from .configuration.spread import Spread
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
from .types import TargetId

EXIT_USAGE = 2
EXIT_KILLED = 4
NODES_PERIOD_S = 0.5
NODES_REFRESH_S = 30.0
# Bounds what the updates to the entries of a large fleet cost.
NODES_GAP_PER_MEMBER_S = 0.0002
SETTLE_S = 5.0
MAX_UNSETTLED = 1_000
OTHER_AGENTS = 3
# An entry which is stopped at the same time reports it within this time.
STOP_GRACE_S = 0.5
STOP_LIMIT_S = 60.0
HOLDERS_TOPIC = 'holders'
HOLDERS_TTL_S = 60.0
HOLDERS_REPEAT_S = 20.0
DRAIN_TOPIC = 'drain'
DRAIN_TTL_S = 86_400.0


class Agent:
    """Wire one agent's controllers together."""

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
            self._me(),
            self.metrics,
            self._rng,
            transport=self._sync_client,
        )
        self.configuration = Configuration(
            cfg.node,
            Spread(cfg.node, cfg.zone, cfg.watchers_per_zone, self._rng),
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
            self._first,
            self.clock,
        )
        self._grpc = Server(
            [
                self.hub,
                PeerHandler(self.gossip.answer_sync),
                PullHandler(self.configuration.answer),
            ],
            codec=MsgpackCodec(),
        )
        self._http = tornado.httpserver.HTTPServer(make_app(self))
        self._tasks: list[asyncio.Task] = []
        self._told_holders: HoldersRumorBody | None = None
        self._told_at = 0.0
        self._limits: frozenset[int] = frozenset()
        self._reported: tuple[tuple[Address, ...], ...] = ()
        self._nodes_stale = True
        self._nodes_at = 0.0
        self._home_buckets: frozenset[int] = frozenset()
        self._homes_settle_at = 0.0
        self._unsettled = False
        self._holders_stale = True
        self._homes_stale = True

    async def start(self) -> None:
        """Bring everything up; the store need not answer."""
        self._home_buckets = self.homes.own()
        self.targets.on_statuses = self._on_statuses
        self.vms.on_vms = self._on_vms
        self.hub.on_report = self._on_report
        self.configuration.on_change(self._on_config)
        self.gossip.on_change(self._on_member)
        self.gossip.subscribe('config', self.configuration.hear)
        for topic in feed.ENTRY_TOPICS:
            self.gossip.subscribe(topic, self._on_entry_rumor)
        self.gossip.subscribe(HOLDERS_TOPIC, self._on_holders)
        self.gossip.subscribe(DRAIN_TOPIC, self._on_drain)
        self._homes_settle_at = self.clock() + SETTLE_S
        await self.gossip.start()
        await self._grpc.start(sock=self._grpc_sockets[0])
        self._http.add_sockets(self._http_sockets)
        self.configuration.start()
        self.targets.start()
        self.vms.start()
        self._tasks += [
            asyncio.ensure_future(self._tell_nodes()),
            asyncio.ensure_future(self.rollup.run()),
        ]
        for task in self._tasks:
            logs.watch(task)
        logs.change('agent_started', http=self.http_port, grpc=self.grpc_port)

    async def stop(self) -> None:
        """Leave the membership and free everything.

        Others may use this VM's part of the connections once it has left,
        so it leaves only when no entry of the VM is running any more.
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
        await asyncio.sleep(STOP_GRACE_S)
        until = self.clock() + STOP_LIMIT_S
        while self.clock() < until:
            if not any(report.leaving for report in self.hub.reports()):
                return
            await asyncio.sleep(STOP_GRACE_S)

    def status(self) -> NodeStatus:
        """Return what this node has in force."""
        return NodeStatus(
            node=self.cfg.node,
            revision=self.configuration.revision,
            entries=tuple(_entry_status(r) for r in self.hub.reports()),
            rejected=self.configuration.book.rejected(),
            watching=self.configuration.watching,
            local_health=self.gossip.local_health,
            holders=len(self.holders.holders),
        )

    def ready(self) -> bool:
        """Tell whether this node has a configuration."""
        return self.configuration.ready.is_set()

    def known_members(self) -> list[Member]:
        """Return all members, also those which failed or left."""
        return self.gossip.known()

    def target_statuses(self) -> tuple[TargetStatus, ...]:
        """Return what is known of all targets."""
        return self.targets.statuses()

    def drain(self, request: DrainRequest) -> None:
        """Drain a target on all nodes, or this node; raise AdminError."""
        if request.target is not None:
            self._drain_target(request.target, request.drain)
        elif request.node == self.cfg.node and request.drain:
            self.hub.send(feed.LeaveUpdate())
        else:
            raise AdminError(
                f'this agent can not drain {request.node}; '
                'ask the agent of that node'
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

    def _me(self) -> Member:
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

    # What entries are told.

    def _first(self) -> list[feed.Update]:
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
        book = self.configuration.book
        found = book.in_force()
        return feed.ConfigUpdate(
            book.revision, tuple(found[key] for key in sorted(found))
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
            self._shares(),
            tuple(live.values()),
            self._other_agents(members),
        )

    def _other_agents(
        self, members: typing.Iterable[Member]
    ) -> tuple[Endpoint, ...]:
        others = [
            Endpoint(m.host, m.grpc_port)
            for m in members
            if m.node != self.cfg.node and m.state is MemberState.ALIVE
        ]
        wanted = pick(self.cfg.node, [str(e) for e in others], OTHER_AGENTS)
        return tuple(e for e in others if str(e) in wanted)

    def _shares(self) -> dict[int, int]:
        entries = max(1, len(self.hub.reports()))
        return {
            limit: self.holders.share(
                limit, entries, self.cfg.connection_reserve
            )
            for limit in self._limits
        }

    async def _tell_nodes(self) -> None:
        last: feed.NodesUpdate | None = None
        while True:
            self.gossip.update(entries=self.hub.addresses())
            self._tell_holders()
            if self._nodes_changed():
                update = self._nodes_update()
                if update != last:
                    self.hub.send(update)
                    last = update
            if self._homes_stale:
                self._check_homes()
            await asyncio.sleep(NODES_PERIOD_S)

    def _nodes_changed(self) -> bool:
        now = self.clock()
        all_own = tuple(r.address for r in self.hub.reports())
        reported = (all_own, self.hub.addresses())
        changed = self._nodes_stale or reported != self._reported
        gap_s = len(self.homes) * NODES_GAP_PER_MEMBER_S
        if now < self._nodes_at - (NODES_REFRESH_S - gap_s if changed else 0):
            return False
        self._nodes_stale = False
        self._nodes_at = now + NODES_REFRESH_S
        self._reported = reported
        return True

    def _check_homes(self) -> None:
        self._homes_stale = False
        buckets = self.homes.own()
        if buckets != self._home_buckets or self._unsettled:
            self._home_buckets = buckets
            self._unsettled = False
            self._declare_targets()

    def _declare_targets(self) -> None:
        """Probe the targets to which this node is home."""
        own, limits = [], set()
        # One pool at a time is decoded, since all together take much memory.
        for pool in self.configuration.book.all_pools():
            for target in pool.targets:
                limits.add(target.connections)
                if bucket_of(target.id) in self._home_buckets:
                    own.append(target)
        self._limits = frozenset(limits)
        if len(own) <= MAX_UNSETTLED or self._is_settled():
            self.targets.declare(own)
        else:
            self._unsettled = self._homes_stale = True

    def _is_settled(self) -> bool:
        """Tell whether the members have been known for a while.

        An agent that has just started takes itself for home to all.
        """
        return self.clock() >= self._homes_settle_at

    def _tell_holders(self) -> None:
        now = self.clock()
        if not self._holders_stale and now < self._told_at:
            return
        self._holders_stale = False
        note = HoldersRumorBody(
            tuple(sorted(self.holders.holders)), self.holders.full
        )
        if note == self._told_holders and now < self._told_at:
            return
        self._told_holders = note
        self._told_at = now + HOLDERS_REPEAT_S
        self._publish(
            Rumor(
                HOLDERS_TOPIC,
                self.cfg.node,
                time.time_ns(),
                msgspec.msgpack.encode(note),
                HOLDERS_TTL_S,
            )
        )

    # What changes.

    def _on_config(self, changed: typing.Sequence[StoredObject]) -> None:
        update = self._config_update()
        self._declare_targets()
        self.hub.send(update)
        self.hub.send(self._nodes_update())

    def _on_statuses(self, statuses: tuple[TargetStatus, ...]) -> None:
        self.hub.send(feed.TargetsUpdate(statuses))

    def _on_member(self, member: Member) -> None:
        if member.state is MemberState.LEFT:
            self.holders.left(member.node)
        else:
            self.holders.seen(member.node)
        if is_live(member):
            self.homes.add(member.node, member.zone)
        else:
            self.homes.remove(member.node)
        self._nodes_stale = True
        self._holders_stale = True
        self._homes_stale = True

    def _on_vms(self, vms: tuple[Vm, ...]) -> None:
        nodes = [NodeId(vm.name) for vm in vms if vm.role == 'entry']
        alive = [m.node for m in self.gossip.members()]
        before = (self.holders.holders, self.holders.full)
        self.holders.listed(nodes, alive, self.clock())
        if before != (self.holders.holders, self.holders.full):
            self._nodes_stale = True
            self._holders_stale = True
        self.gossip.set_hints(
            Endpoint(vm.host, self.cfg.gossip.port)
            for vm in vms
            if vm.role == 'entry' and vm.name != self.cfg.node
        )
        leaving = {TargetId(vm.name) for vm in vms if vm.leaving}
        for target_id in self.targets.leaving('vm_list') - leaving:
            self.targets.set_leaving(target_id, 'vm_list', False)
        for target_id in leaving:
            self.targets.set_leaving(target_id, 'vm_list', True)

    def _on_report(self, report: feed.Report) -> None:
        for rumor in report.rumors:
            self._publish(rumor)

    def _on_entry_rumor(self, rumor: Rumor) -> None:
        self.hub.send(feed.RumorsUpdate((rumor,)))

    def _on_holders(self, rumor: Rumor) -> None:
        try:
            note = msgspec.msgpack.decode(rumor.body, type=HoldersRumorBody)
        except msgspec.DecodeError:
            self.metrics.count('rumors_refused', 'malformed')
            return
        self.holders.told(NodeId(rumor.key), note.holders, note.full)
        self._nodes_stale = True
        self._holders_stale = True

    def _on_drain(self, rumor: Rumor) -> None:
        try:
            note = msgspec.msgpack.decode(rumor.body, type=DrainRumorBody)
        except msgspec.DecodeError:
            self.metrics.count('rumors_refused', 'malformed')
            return
        target_id = TargetId(rumor.key)
        self.targets.set_leaving(target_id, 'operator', note.drain)


def _entry_status(report: feed.Report) -> EntryStatus:
    return EntryStatus(
        f'{report.address.host}:{report.address.port}',
        report.revision,
        report.ready,
        report.leaving,
        report.in_flight,
    )


async def run(cfg: AgentSettings) -> int:
    """Serve until a signal; return the exit code."""
    agent = Agent(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        if stop.is_set():
            logs.change('agent_killed', entries=len(agent.hub.reports()))
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
    """Start the program: sesameward-agent SETTINGS_FILE."""
    if len(sys.argv) != 2 or sys.argv[1] in ('-h', '--help'):
        print('usage: sesameward-agent SETTINGS_FILE', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        cfg = settings.load(sys.argv[1], AgentSettings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    logs.start('agent', cfg.node)
    sys.exit(asyncio.run(run(cfg)))


if __name__ == '__main__':
    main()
