"""Run the soak with organisations, cold targets and evacuated zones."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time

from sesameward.exceptions import PlatformUnavailableError
from sesameward.standin.fleet import ZONES
from sesameward.standin.shard_target import ShardTarget
from tests.soak import hard_load_checks as checks
from tests.soak.hard_load_checks import KeyedRequest
from tests.soak.hard_load_checks import Limit
from tests.soak.hard_load_checks import Span
from tests.soak.hard_load_faults import HARD_LOAD_KINDS
from tests.soak.hard_load_faults import HardLoadInjector
from tests.soak.world import EXCUSED_S
from tests.soak.world import SoakFleet
from tests.soak.world import World

KEY_HEADER = 'X-Api-Key'
# All keys contain it, so that none can get into a log line unnoticed.
SECRET = 'secret-'
# The callers of World belong to this organisation, which has no limit.
BASE_KEY = f'{SECRET}base'
KEYED_CALLER_COUNT = 2
KEYED_THINK_TIME_S = 0.05
KEYED_KINDS = ('q', 'once', 'safe', 'safe', 'safe', 'public')
# Nodes that all start anew while the store is away, or was restored, may know
# less than before for this time.
FORGOTTEN_S = 8.0


@dataclasses.dataclass
class Organisation:
    """Organisation as the configuration has it, with former keys."""

    name: str
    keys: list[str]
    rate_per_s: float = 0.0
    priority: int | None = None
    former_keys: list[str] = dataclasses.field(default_factory=list)

    def fields(self) -> dict:
        """Return the organisation as stored."""
        return {
            'name': self.name,
            'api_keys': list(self.keys),
            'rate_per_s': self.rate_per_s,
            'burst': self.rate_per_s,
            **({} if self.priority is None else {'priority': self.priority}),
        }


class HardLoadFleet(SoakFleet):
    """Run a fleet with organisations.

    Targets register the time of their start, by which nodes tell an older
    registration of the same process.
    """

    def put_config(
        self, *args: object, extra_routes: tuple[str, ...] = (), **fields
    ) -> int:
        """Write a configuration that has the organisations."""
        began_at = time.monotonic()
        version = super().put_config(
            *args,
            extra_routes=(*extra_routes, '/public/'),
            tenants=self.world.tenants(),
            **fields,
        )
        self.world.record_tenants(began_at)
        return version

    async def begin_target(self, target: ShardTarget) -> None:
        """Start a target that tells when it was started."""
        target.born = int(time.time() * 1_000)
        await super().begin_target(target)


class HardLoadWorld(World):
    """Run one seed with organisations, cold targets and evacuations."""

    fleet_class = HardLoadFleet
    fleet_options = {
        'bounds': {
            'evac_ms': int(checks.EVAC_S * 1_000),
            'warmup_overshoot': checks.WARMUP_OVERSHOOT,
            'warmup_slack': checks.WARMUP_SLACK,
            'quota_window_s': checks.QUOTA_WINDOW_S,
            'quota_overshoot': checks.QUOTA_OVERSHOOT,
            'quota_slack': checks.QUOTA_SLACK,
        },
        'service_fields': {
            'warmup_s': 20,
            'warmup_per_s': checks.WARMUP_PER_S,
        },
    }
    injector_class = HardLoadInjector
    kinds = HARD_LOAD_KINDS
    repeated_kinds = ('servers', 'config', 'evacuations')
    request_headers = ((KEY_HEADER, BASE_KEY),)

    def __init__(self, seed: int, nodes: int):
        super().__init__(seed, nodes)
        self._organisations = {
            one.name: one
            for one in (
                Organisation('base', [BASE_KEY]),
                Organisation('large', self._make_keys('large', 2), 12.0),
                Organisation('small', self._make_keys('small', 1), 3.0),
                Organisation('free', self._make_keys('free', 2), priority=0),
            )
        }
        self._key_numbers = 0
        self._held: dict[str, list[Span]] = collections.defaultdict(list)
        self._owners: dict[str, str] = {}
        # For each organisation: when each limit was written.
        self._limits_written: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._keyed: list[KeyedRequest] = []
        self._evacuated: dict[str, list[Span]] = collections.defaultdict(list)
        self._evacuation_counts: collections.Counter[str] = (
            collections.Counter()
        )
        self._cold: dict[str, list[Span]] = collections.defaultdict(list)
        self.most: collections.Counter[str] = collections.Counter()

    def _make_keys(self, name: str, count: int) -> list[str]:
        return [f'{SECRET}{name}-{number}' for number in range(count)]

    # Interface for the fault injector.

    def tenants(self) -> list[dict]:
        """Return the present organisations as stored."""
        return [one.fields() for one in self._organisations.values()]

    def record_tenants(self, began_at: float) -> None:
        """Record that the store holds the present organisations.

        They were written at some time since began_at.
        """
        confirmed_at = time.monotonic()
        organisations = self._organisations.values()
        keys = {key: one.name for one in organisations for key in one.keys}
        for key, name in keys.items():
            self._owners[key] = name
            spans = self._held[key]
            if not spans or spans[-1].until < began_at:
                spans.append(Span(began_at))
        for key, spans in self._held.items():
            if key not in keys:
                spans[-1].until = min(spans[-1].until, confirmed_at)
        for one in organisations:
            written = self._limits_written[one.name]
            if not written or written[-1][1] != one.rate_per_s:
                written.append((began_at, one.rate_per_s))

    def _organisation(self, fraction: float) -> Organisation:
        """Select an organisation other than that of the base callers."""
        others = list(self._organisations.values())[1:]
        return others[int(fraction * len(others))]

    def limited_organisation(self, fraction: float) -> str:
        """Return the name of one of the organisations that have a limit."""
        return ('large', 'small')[int(fraction * 2)]

    def add_key(self, fraction: float) -> None:
        """Add a key to an organisation, a new one or one withdrawn before."""
        one = self._organisation(fraction)
        if one.former_keys and int(fraction * 100) % 2:
            one.keys.append(one.former_keys.pop(0))
        else:
            self._key_numbers += 1
            one.keys.append(f'{SECRET}{one.name}-new-{self._key_numbers}')
        self.change_config()

    def withdraw_key(self, fraction: float) -> None:
        """Withdraw the oldest key of an organisation, if it has one."""
        one = self._organisation(fraction)
        if one.keys:
            one.former_keys.append(one.keys.pop(0))
            self.change_config()

    def set_limit(self, fraction: float, rate_per_s: float) -> None:
        """Change the limit of an organisation."""
        name = self.limited_organisation(fraction)
        self._organisations[name].rate_per_s = rate_per_s
        self.change_config()

    def targets_in(self, zone: str) -> list[ShardTarget]:
        """Return the targets of a zone that still serve."""
        return [
            self.fleet.targets[target_id]
            for target_id in self.fleet.targets_in(zone)
            if target_id not in self.withdrawn_target_ids
        ]

    def begin_evacuation(self, zone: str) -> None:
        """Evacuate a zone, unless another fault already does."""
        self._evacuation_counts[zone] += 1
        if self._evacuation_counts[zone] == 1:
            self.fleet.evacuate(zone)
            self._evacuated[zone].append(Span(time.monotonic()))

    def end_evacuation(self, zone: str) -> None:
        """Take a zone back, unless another fault keeps it evacuated."""
        self._evacuation_counts[zone] -= 1
        if self._evacuation_counts[zone] == 0:
            self._evacuated[zone][-1].until = time.monotonic()
            self.fleet.end_evacuation(zone)

    def begin_cold(
        self, target: ShardTarget, cold_s: float, tells: bool
    ) -> None:
        """Make a target cold; if tells is True, its answers tell so."""
        target.cold_until = time.monotonic() + cold_s
        target.faults.tells_cold = tells

    def register_cold(self, target: ShardTarget) -> None:
        """Register a cold target as such, if it still serves."""
        now = time.monotonic()
        left_ms = int((target.cold_until - now) * 1_000)
        if target.id in self.withdrawn_target_ids or left_ms <= 0:
            return
        if ('servers', target.id) not in self.fleet.store.objects:
            return
        self.fleet.make_cold(target.id, left_ms)
        self._cold[target.id].append(Span(now, target.cold_until))

    def register_warm(self, target: ShardTarget) -> None:
        """Register a target as warm, unless it is cold or no longer serves."""
        if (
            target.id not in self.withdrawn_target_ids
            and ('servers', target.id) in self.fleet.store.objects
            and time.monotonic() >= target.cold_until
        ):
            self.fleet.make_cold(target.id, 0)

    def drain(self, target: ShardTarget) -> None:
        """Mark a target as draining; it then no longer counts as cold."""
        now = time.monotonic()
        super().drain(target)
        for span in self._cold[target.id]:
            span.until = min(span.until, now)

    # Callers.

    def start_further_callers(self) -> list[asyncio.Task]:
        """Start the callers that send all kinds of keys."""
        return [
            asyncio.create_task(self._run_keyed_caller(random.Random(number)))
            for number in range(100, 100 + KEYED_CALLER_COUNT)
        ]

    async def _run_keyed_caller(self, rng: random.Random) -> None:
        while not self.is_over:
            match rng.random():
                case draw if draw < 0.05:
                    key = f'{SECRET}forged-{rng.randrange(1_000)}'
                case draw if draw < 0.4:
                    former = [
                        key
                        for one in self._organisations.values()
                        for key in one.former_keys
                    ]
                    key = rng.choice(former or [f'{SECRET}forged'])
                case _:
                    held = [
                        key
                        for one in self._organisations.values()
                        for key in one.keys
                    ]
                    key = rng.choice(held)
            await self._send_keyed(key, rng)
            await asyncio.sleep(rng.uniform(0.0, 2 * KEYED_THINK_TIME_S))

    async def send_as(self, name: str, kind: str | None = None) -> None:
        """Send a request of an organisation, if it has a key."""
        keys = self._organisations[name].keys
        if keys:
            await self._send_keyed(self.rng.choice(keys), self.rng, kind)

    async def _send_keyed(
        self, key: str, rng: random.Random, kind: str | None = None
    ) -> None:
        """Send one request with a key, and sometimes a forged organisation."""
        node = rng.choice(self.fleet.nodes)
        kind = kind or rng.choice(KEYED_KINDS)
        request_id = self.fleet.request_id()
        method, body = ('POST', b'x') if kind == 'once' else ('GET', b'')
        headers = [(KEY_HEADER, key)]
        if rng.random() < 0.2:
            headers.append(('sesameward-TENANT', 'base'))
        process, sent_at = node.process.pid, time.monotonic()
        try:
            reply = await self.fleet.ask(
                node,
                f'/{kind}/{rng.randrange(50)}',
                request_id,
                method,
                body,
                headers=tuple(headers),
            )
            status = reply.status
        except PlatformUnavailableError:
            status = 0
        self.outcomes[f'keyed {kind} {status or "none"}'] += 1
        if kind != 'public':
            self._keyed.append(
                KeyedRequest(
                    request_id,
                    node.name,
                    process,
                    key,
                    sent_at,
                    time.monotonic(),
                    status,
                )
            )

    # Checks.

    def check_after_run(self) -> None:
        """Check the promises to organisations, cold targets and zones too."""
        super().check_after_run()
        runs = [r for t in self.fleet.targets.values() for r in t.runs]
        ran_at: dict[str, list[float]] = collections.defaultdict(list)
        for run in runs:
            ran_at[run.request_id].append(run.at)
        names = {
            asked.request_id: self._owners[asked.key]
            for asked in self._keyed
            if asked.key in self._owners
        }
        for check in (
            lambda: checks.check_identity(
                runs, names, self._organisations, SECRET
            ),
            lambda: checks.check_keys(
                self._keyed, ran_at, self._held, self._may_lack_config
            ),
            lambda: checks.check_keys_never_back(
                self._keyed, ran_at, self._held
            ),
            lambda: checks.check_valid_keys(
                self._keyed,
                self._held,
                lambda asked: self._may_have_forgotten(asked.sent_at),
            ),
            lambda: checks.check_refusals(self._keyed, ran_at),
        ):
            self._collect(check)
        self._check_logs()
        self._check_quotas(runs)
        for target_id in self.fleet.targets:
            self._collect(lambda: self._check_target(target_id), target_id)

    def _collect(self, check, what: str = '') -> None:
        try:
            check()
        except AssertionError as exc:
            self.add_violation(f'{what}: {exc}' if what else str(exc))

    def _may_lack_config(self, asked: KeyedRequest) -> bool:
        return self.is_excused(
            asked.node, asked.sent_at - EXCUSED_S, asked.ended_at
        )

    def _may_have_forgotten(self, at: float) -> bool:
        """Return whether all nodes and the store were disturbed before."""
        since = at - FORGOTTEN_S
        return self.is_store_disturbed(since, at) and all(
            self.is_node_disturbed(node.name, since, at)
            for node in self.fleet.nodes
        )

    def _check_logs(self) -> None:
        for node in self.fleet.nodes:
            if SECRET in node.log.read_text(errors='replace'):
                self.add_violation(f'{node.name} has logged a key')

    def _check_quotas(self, runs) -> None:
        """Check each organisation's requests by the name that targets got."""
        disturbances = self.disturbance_times()
        first_at: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for run in runs:
            for header, value in run.headers:
                if header.lower() == b'sesameward-tenant':
                    times = first_at[value.decode()]
                    times[run.request_id] = min(
                        run.at, times.get(run.request_id, run.at)
                    )
        for name, written in self._limits_written.items():
            limits = []
            ends = [at for at, _ in written[1:]]
            for number, (since, rate_per_s) in enumerate(written):
                limit = Limit(rate_per_s, rate_per_s, since)
                if number < len(ends):
                    # A limit may be in force until one window after all nodes
                    # have read the next one.
                    until = checks.QUOTA_WINDOW_S + checks.settled_at(
                        ends[number], checks.CONFIG_S, disturbances
                    )
                    limit = dataclasses.replace(limit, until=until)
                limits.append(limit)
            self._collect(
                lambda: self._record_most(
                    'quota',
                    checks.check_quota(first_at[name].values(), limits),
                ),
                name,
            )

    def _record_most(self, what: str, count: int) -> None:
        self.most[what] = max(self.most[what], count)

    def _check_target(self, target_id: str) -> None:
        disturbances = self.disturbance_times()
        sent_at = self.sent_times() | {
            asked.request_id: asked.sent_at for asked in self._keyed
        }
        arrivals = checks.without_delayed(
            self.fleet.targets[target_id].arrivals, sent_at
        )
        zone = next(
            zone for zone in ZONES if target_id in self.fleet.targets_in(zone)
        )
        evacuated = []
        cold = []
        for span in self._evacuated[zone]:
            since = checks.settled_at(span.since, checks.EVAC_S, disturbances)
            if since < span.until:
                evacuated.append(Span(since, span.until))
                self.most['evacuations checked'] += 1
        for span in self._cold[target_id]:
            since = checks.settled_at(
                span.since, checks.COLD_KNOWN_AFTER_S, disturbances
            )
            if since < span.until:
                cold.append(Span(since, span.until))
                self.most['cold targets checked'] += 1
        checks.check_evacuated(arrivals, evacuated, self._may_have_forgotten)
        times = [arrival.at for arrival in arrivals]
        self._record_most(
            'cold',
            checks.check_cold(times, cold, self._may_have_forgotten),
        )
