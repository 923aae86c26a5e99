"""Refuse a request which is known to crash targets."""

from __future__ import annotations

import asyncio

from ..controllers.suspects import Suspects
from ..exceptions import RefusalError
from ..quarantine import Canary
from ..quarantine import fingerprint
from ..quarantine import Lead
from ..quarantine import Refuse
from ..types import RefusalKind
from .chain import Proceed
from .exchange import Exchange


class CheckQuarantine:
    """Decide by its fingerprint how a query may be sent."""

    def __init__(self, suspects: Suspects, clock):
        self._suspects = suspects
        self._clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Fill in the fingerprint and the trial; end the trial after it."""
        exchange.fingerprint = fingerprint(
            exchange.service.service, exchange.query
        )
        exchange.trial = await self._admit(exchange)
        try:
            await proceed(exchange)
        finally:
            if isinstance(exchange.trial, Lead | Canary):
                self._suspects.trial_ended(exchange.fingerprint)

    async def _admit(self, exchange: Exchange):
        while True:
            verdict = self._suspects.admit(exchange.fingerprint)
            if not isinstance(verdict, Refuse):
                return verdict
            if not verdict.on_trial:
                raise RefusalError(
                    RefusalKind.QUARANTINED,
                    'this request broke the targets that ran it',
                    'change the request or come back later',
                    retry_after_s=verdict.retry_after_s,
                )
            wait_until = self._clock() + verdict.retry_after_s
            if wait_until >= exchange.deadline_at:
                raise RefusalError(
                    RefusalKind.QUARANTINED,
                    'an equal request is still being tried on one target',
                    'come back after the given time',
                    retry_after_s=verdict.retry_after_s,
                )
            await asyncio.sleep(verdict.retry_after_s)
