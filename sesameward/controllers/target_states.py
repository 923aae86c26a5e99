"""Track the state of targets by probing them for their load."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import typing

import msgspec

from .. import logs
from ..clients.transfers import HandlePool
from ..clients.transfers import Response
from ..clients.transfers import Transfers
from ..configuration.declared import Target
from ..messages import LoadReport
from ..messages import TargetStatus
from ..metrics import Metrics
from ..types import TargetId

# A target counts as dead after this many failed probes in a row.
FAILURES_UNTIL_DEAD = 3
CHECKS_PER_PERIOD = 5
NOT_SCHEDULED = math.inf
STATUS_OK = 200

OnStatuses = typing.Callable[[tuple[TargetStatus, ...]], None]


@dataclasses.dataclass(slots=True)
class _ProbedTarget:
    """Hold a target's status; running says whether a probe is in flight."""

    target: Target
    handle_pool: HandlePool
    status: TargetStatus
    failures: int = 0
    next_probe_at: float = NOT_SCHEDULED
    running: bool = False


class TargetStates:
    """Probe each target once per period and report changes of its status."""

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
        self._probed: dict[TargetId, _ProbedTarget] = {}
        self._leaving_signals: dict[TargetId, set[str]] = {}
        self._report_decoder = msgspec.json.Decoder(LoadReport)
        self._pending_changes: dict[TargetId, TargetStatus] = {}
        self._task: asyncio.Task | None = None
        # Callback for the statuses that changed; the agent sets it.
        self.on_statuses: OnStatuses = lambda _: None

    @property
    def _period_s(self) -> float:
        """Return the probe period, prolonged to keep within probes_per_s."""
        needed_s = len(self._probed) / self._probes_per_s
        return max(self._min_period_s, needed_s)

    def start(self) -> None:
        """Start the probe loop."""
        self._task = asyncio.ensure_future(self._run())
        logs.log_failure(self._task)

    async def stop(self) -> None:
        """Cancel the probe loop and close all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._transfers.close()

    def declare(self, targets: typing.Iterable[Target]) -> None:
        """Set the targets to probe; known ones keep their status."""
        wanted = {target.id: target for target in targets}
        for target_id in self._probed.keys() - wanted.keys():
            self._transfers.recycle_handles(
                self._probed.pop(target_id).handle_pool
            )
        for target in wanted.values():
            known = self._probed.get(target.id)
            if known is None or known.target != target:
                self._add_target(target, known)
        self._schedule_probes()

    def statuses(self) -> tuple[TargetStatus, ...]:
        """Return the last known status of each probed target."""
        return tuple(p.status for p in self._probed.values())

    def set_leaving(
        self, target_id: TargetId, signal: str, leaving: bool
    ) -> None:
        """Set or clear one signal that a target is leaving.

        signal names the source, such as 'operator'. The target counts as
        leaving while the signal of any source is set.
        """
        signals = self._leaving_signals.setdefault(target_id, set())
        if leaving:
            signals.add(signal)
        else:
            signals.discard(signal)
        probed = self._probed.get(target_id)
        if probed is not None and probed.status.leaving != bool(signals):
            logs.log_event(
                'target_leaving',
                target=target_id,
                signal=signal,
                leaving=bool(signals),
            )
            self._update_status(probed, leaving=bool(signals))
            self._notify_changes()

    def leaving_by(self, signal: str) -> set[TargetId]:
        """Return the targets for which this leaving signal is set."""
        return {
            t
            for t, signals in self._leaving_signals.items()
            if signal in signals
        }

    def _add_target(self, target: Target, known: _ProbedTarget | None) -> None:
        status = TargetStatus(
            target.id, leaving=bool(self._leaving_signals.get(target.id))
        )
        if known is not None:
            self._transfers.recycle_handles(known.handle_pool)
            status = known.status
        url = f'http://{target.host}:{target.port}/v1/load'
        self._probed[target.id] = _ProbedTarget(
            target, HandlePool(url, [], use_get=True), status
        )

    def _schedule_probes(self) -> None:
        """Schedule the first probes of new targets at random times.

        This avoids a burst of probes. Other probes are moved to at most one
        period from now, because the period may have become shorter.
        """
        now = self._clock()
        needed_s = len(self._probed) / self._probes_per_s
        first_probes_s = max(self._min_period_s / 2, needed_s)
        for probed in self._probed.values():
            if probed.next_probe_at == NOT_SCHEDULED:
                probed.next_probe_at = (
                    now + self._rng.random() * first_probes_s
                )
            probed.next_probe_at = min(
                probed.next_probe_at, now + self._period_s
            )

    async def _run(self) -> None:
        # More checks per period would start probes closer to their due times,
        # but wake the process more often.
        check_period_s = self._min_period_s / CHECKS_PER_PERIOD
        while True:
            now = self._clock()
            for probed in tuple(self._probed.values()):
                if probed.next_probe_at <= now and not probed.running:
                    self._probe(probed, now)
            self._notify_changes()
            await asyncio.sleep(check_period_s)

    def _probe(self, probed: _ProbedTarget, now: float) -> None:
        probed.running = True
        probed.next_probe_at = now + self._period_s * self._rng.uniform(
            0.9, 1.1
        )
        self._transfers.submit(
            probed.handle_pool,
            b'',
            lambda response: self._on_response(probed, response),
            int(self._min_period_s * 1000),
        )

    def _on_response(self, probed: _ProbedTarget, response: Response) -> None:
        probed.running = False
        report = self._decode(response)
        if report is None:
            probed.failures += 1
            if probed.failures == FAILURES_UNTIL_DEAD:
                self._update_live(probed, False)
            return
        probed.failures = 0
        if not probed.status.live:
            self._update_live(probed, True)
        self._update_status(probed, report=report)

    def _decode(self, response: Response) -> LoadReport | None:
        if response.failure is not None:
            self._metrics.count('probes_failed', response.failure.value)
            return None
        if response.status != STATUS_OK:
            self._metrics.count('probes_failed', 'status')
            return None
        try:
            return self._report_decoder.decode(response.body)
        except msgspec.DecodeError:
            self._metrics.count('probes_failed', 'undecodable')
            return None

    def _update_live(self, probed: _ProbedTarget, live: bool) -> None:
        logs.log_event('target_live', target=probed.target.id, live=live)
        self._update_status(probed, live=live)

    def _update_status(self, probed: _ProbedTarget, **fields: object) -> None:
        status = msgspec.structs.replace(probed.status, **fields)
        if status != probed.status:
            probed.status = status
            if probed.target.id in self._probed:
                self._pending_changes[probed.target.id] = status

    def _notify_changes(self) -> None:
        if self._pending_changes:
            changed, self._pending_changes = self._pending_changes, {}
            self.on_statuses(tuple(changed.values()))
