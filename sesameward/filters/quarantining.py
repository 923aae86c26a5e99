"""Refuse a request which is known to crash targets."""

from __future__ import annotations

from ..controllers.suspects import Suspects
from ..exceptions import RefusalError
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import fingerprint
from ..quarantine.quarantine import Lead
from ..quarantine.quarantine import Refuse
from ..types import RefusalKind
from .chain import Proceed
from .exchange import Exchange


class CheckQuarantine:
    """Decide by its fingerprint how a query or a booking may be sent.

    A booking is one sub-request, so its trial holds nothing back; but an
    equal one waits until it is known what became of this one.
    """

    def __init__(self, suspects: Suspects):
        self._suspects = suspects

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Fill in the fingerprint and the trial; end the trial after it."""
        if not self._suspects.enabled:
            return await proceed(exchange)
        exchange.fingerprint = fingerprint(
            exchange.service.service, exchange.query or exchange.booking
        )
        exchange.trial = await self._suspects.admit(
            exchange.fingerprint, exchange.deadline_at
        )
        _check(exchange)
        try:
            await proceed(exchange)
        finally:
            _end_trial(exchange, self._suspects)


def _end_trial(exchange: Exchange, suspects: Suspects) -> None:
    if isinstance(exchange.trial, Lead | Canary):
        suspects.trial_ended(exchange.fingerprint)


def _check(exchange: Exchange) -> None:
    match exchange.trial:
        case Refuse(retry_after_s, True):
            raise RefusalError(
                RefusalKind.QUARANTINED,
                'an equal request is still being tried on one target',
                'come back after the given time',
                retry_after_s=retry_after_s,
            )
        case Refuse(retry_after_s):
            raise RefusalError(
                RefusalKind.QUARANTINED,
                'this request broke the targets that ran it',
                'change the request or come back later',
                retry_after_s=retry_after_s,
            )
