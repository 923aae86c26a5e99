"""Find out the state of the targets by asking them for their load."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import typing

import msgspec

from .. import logs
from ..clients.transfers import Lane
from ..clients.transfers import Response
from ..clients.transfers import Transfers
from ..configuration.declared import Target
from ..messages import LoadReport
from ..messages import TargetStatus
from ..metrics import Metrics
from ..types import TargetId

FAILURES_UNTIL_DEAD = 3
TICKS = 5
NOT_DUE = math.inf
STATUS_OK = 200

OnStatuses = typing.Callable[[tuple[TargetStatus, ...]], None]


@dataclasses.dataclass(slots=True)
class _Probed:
    target: Target
    lane: Lane
    status: TargetStatus
    failures: int = 0
    due_at: float = NOT_DUE
    running: bool = False


class TargetStates:
    """Probe each target once in a period and tell what changed."""

    def __init__(
        self,
        period_s: float,
        probes_per_s: float,
        metrics: Metrics,
        rng: random.Random,
        clock: typing.Callable[[], float],
    ):
        self._min_period_s = period_s
        self._probes_per_s = probes_per_s
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._transfers = Transfers()
        self._probed: dict[TargetId, _Probed] = {}
        self._leaving: dict[TargetId, set[str]] = {}
        self._reports = msgspec.json.Decoder(LoadReport)
        self._changed: dict[TargetId, TargetStatus] = {}
        self._task: asyncio.Task | None = None
        self.on_statuses: OnStatuses = lambda _: None

    @property
    def _period_s(self) -> float:
        """Return the period, longer where the targets are very many."""
        needed_s = len(self._probed) / self._probes_per_s
        return max(self._min_period_s, needed_s)

    def start(self) -> None:
        """Begin to probe."""
        self._task = asyncio.ensure_future(self._run())
        logs.watch(self._task)

    async def stop(self) -> None:
        """End probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._transfers.close()

    def declare(self, targets: typing.Iterable[Target]) -> None:
        """Replace the targets to probe."""
        wanted = {target.id: target for target in targets}
        for target_id in self._probed.keys() - wanted.keys():
            self._transfers.forget(self._probed.pop(target_id).lane)
        for target in wanted.values():
            known = self._probed.get(target.id)
            if known is None or known.target != target:
                self._add(target, known)
        self._spread_probes()

    def statuses(self) -> tuple[TargetStatus, ...]:
        """Return the state of all targets."""
        return tuple(p.status for p in self._probed.values())

    def set_leaving(
        self, target_id: TargetId, signal: str, leaving: bool
    ) -> None:
        """Take over one signal that a target leaves, or its end."""
        signals = self._leaving.setdefault(target_id, set())
        if leaving:
            signals.add(signal)
        else:
            signals.discard(signal)
        probed = self._probed.get(target_id)
        if probed is not None and probed.status.leaving != bool(signals):
            logs.change(
                'target_leaving',
                target=target_id,
                signal=signal,
                leaving=bool(signals),
            )
            self._set(probed, leaving=bool(signals))
            self._flush()

    def leaving(self, signal: str) -> set[TargetId]:
        """Return the targets which leave by this signal."""
        return {t for t, found in self._leaving.items() if signal in found}

    def _add(self, target: Target, known: _Probed | None) -> None:
        status = TargetStatus(
            target.id, leaving=bool(self._leaving.get(target.id))
        )
        if known is not None:
            self._transfers.forget(known.lane)
            status = known.status
        url = f'http://{target.host}:{target.port}/v1/load'
        self._probed[target.id] = _Probed(
            target, Lane(url, [], reads=True), status
        )

    def _spread_probes(self) -> None:
        """Let new targets not come in a burst, nor old ones too late."""
        now = self._clock()
        needed_s = len(self._probed) / self._probes_per_s
        first_s = max(self._min_period_s / 2, needed_s)
        for probed in self._probed.values():
            if probed.due_at == NOT_DUE:
                probed.due_at = now + self._rng.random() * first_s
            probed.due_at = min(probed.due_at, now + self._period_s)

    async def _run(self) -> None:
        # Few ticks cost few wakeups of the process.
        tick_s = self._min_period_s / TICKS
        while True:
            now = self._clock()
            for probed in tuple(self._probed.values()):
                if probed.due_at <= now and not probed.running:
                    self._probe(probed, now)
            self._flush()
            await asyncio.sleep(tick_s)

    def _probe(self, probed: _Probed, now: float) -> None:
        probed.running = True
        probed.due_at = now + self._period_s * self._rng.uniform(0.9, 1.1)
        self._transfers.submit(
            probed.lane,
            b'',
            lambda response: self._on_response(probed, response),
            int(self._min_period_s * 1000),
        )

    def _on_response(self, probed: _Probed, response: Response) -> None:
        probed.running = False
        report = self._decode(response)
        if report is None:
            probed.failures += 1
            if probed.failures == FAILURES_UNTIL_DEAD:
                self._set_live(probed, False)
            return
        probed.failures = 0
        if not probed.status.live:
            self._set_live(probed, True)
        self._set(probed, report=report)

    def _decode(self, response: Response) -> LoadReport | None:
        if response.failure is not None:
            self._metrics.count('probes_failed', response.failure.value)
            return None
        if response.status != STATUS_OK:
            self._metrics.count('probes_failed', 'status')
            return None
        try:
            return self._reports.decode(response.body)
        except msgspec.DecodeError:
            self._metrics.count('probes_failed', 'undecodable')
            return None

    def _set_live(self, probed: _Probed, live: bool) -> None:
        logs.change('target_live', target=probed.target.id, live=live)
        self._set(probed, live=live)

    def _set(self, probed: _Probed, **fields: object) -> None:
        status = msgspec.structs.replace(probed.status, **fields)
        if status != probed.status:
            probed.status = status
            if probed.target.id in self._probed:
                self._changed[probed.target.id] = status

    def _flush(self) -> None:
        if self._changed:
            changed, self._changed = self._changed, {}
            self.on_statuses(tuple(changed.values()))
