"""Refuse or try out requests that may crash targets."""

from __future__ import annotations

from ..controllers.suspects import Suspects
from ..exceptions import RefusalError
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import fingerprint
from ..quarantine.quarantine import Lead
from ..quarantine.quarantine import Refuse
from ..types import RefusalKind
from .chain import FilterChain
from .exchange import Exchange


class CheckQuarantine:
    """Decide by the fingerprint of a request how it may be sent to targets.

    A booking is a single sub-request, so its trial delays no other part of
    it; but equal bookings wait until the result of the trial is known.
    """

    def __init__(self, suspects: Suspects):
        self._suspects = suspects

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Set the fingerprint and how the request may be sent to targets.

        Raise RefusalError if the quarantine refuses it. If the request ends
        before its trial has a result, end the trial, so that an equal request
        can be tried.
        """
        if not self._suspects.enabled:
            return await proceed(exchange)
        exchange.fingerprint = fingerprint(
            exchange.service.service, exchange.query or exchange.booking
        )
        exchange.quarantine_admission = await self._suspects.admit(
            exchange.fingerprint, exchange.deadline_at
        )
        _raise_if_refused(exchange)
        try:
            await proceed(exchange)
        finally:
            _end_trial(exchange, self._suspects)


def _end_trial(exchange: Exchange, suspects: Suspects) -> None:
    if isinstance(exchange.quarantine_admission, Lead | Canary):
        suspects.trial_ended(exchange.fingerprint)


def _raise_if_refused(exchange: Exchange) -> None:
    match exchange.quarantine_admission:
        case Refuse(retry_after_s, True):
            raise RefusalError(
                RefusalKind.QUARANTINED,
                'an equal request is still on trial at one target',
                'retry after retry_after_s seconds',
                retry_after_s=retry_after_s,
            )
        case Refuse(retry_after_s):
            raise RefusalError(
                RefusalKind.QUARANTINED,
                'equal requests crashed the targets that ran them',
                'change the request or retry after retry_after_s seconds',
                retry_after_s=retry_after_s,
            )
