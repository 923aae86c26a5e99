"""Define every error which sesameward raises on purpose."""

from __future__ import annotations

from .types import RefusalKind
from .types import Revision
from .types import RunState


class SesamewardError(Exception):
    """Serve as the base of all errors of this package."""


class SettingsError(SesamewardError):
    """Report a settings file that can't be used."""

    def __init__(self, path: str, field: str, problem: str, remedy: str):
        super().__init__(f'{path}: {field}: {problem}; {remedy}')
        self.path = path
        self.field = field
        self.remedy = remedy


class DeclarationError(SesamewardError):
    """Report a declared object that can't be accepted."""

    def __init__(self, field: str, problem: str, remedy: str):
        super().__init__(f'{field}: {problem}; {remedy}')
        self.field = field
        self.problem = problem
        self.remedy = remedy


class ReferencedError(DeclarationError):
    """Report a change which contradicts other objects in the store."""


class RefusalError(SesamewardError):
    """Refuse a request; retry_after_s is None where retrying is useless."""

    def __init__(
        self,
        kind: RefusalKind,
        problem: str,
        remedy: str,
        run: RunState = RunState.NO,
        retry_after_s: float | None = None,
    ):
        super().__init__(f'{problem}; {remedy}')
        self.kind = kind
        self.problem = problem
        self.remedy = remedy
        self.run = run
        self.retry_after_s = retry_after_s


class CallerGoneError(SesamewardError):
    """Report that nobody waits for the answer any more."""


class PlatformError(SesamewardError):
    """Serve as the base of the platform client's errors."""


class PlatformUnavailableError(PlatformError):
    """Report that the platform did not answer within the deadline."""


class UnsureWriteError(PlatformUnavailableError):
    """Report a write of which it is unknown whether it took effect."""


class PlatformThrottledError(PlatformError):
    """Report that the platform or the local budget refused the call."""

    def __init__(self, problem: str, retry_after_s: float):
        super().__init__(
            f'{problem}; call again in {retry_after_s:.1f} seconds'
        )
        self.retry_after_s = retry_after_s


class BudgetSpentError(PlatformThrottledError):
    """Report that this process's own budget kept a call from being sent."""


class NotFoundError(PlatformError):
    """Report that the object does not exist."""


class ConflictError(PlatformError):
    """Report that another write came first; current is its revision."""

    def __init__(self, name: str, current: Revision, change: str = ''):
        by = f' by change {change}' if change else ''
        super().__init__(
            f'{name} was changed{by} to revision {current}; '
            'read it again, repeat the edit and apply that'
        )
        self.current = current
        self.change = change


class CompactedError(PlatformError):
    """Report that a watch asked for events no longer kept."""


class AdminError(SesamewardError):
    """Report an operator's request that can't be carried out."""


class PeerUnavailableError(SesamewardError):
    """Report that another sesameward process did not answer."""


class AgentRefusalError(SesamewardError):
    """Report that an agent refused what an operator asked."""


class IntegrityError(SesamewardError):
    """Report a datagram which is not authentic, fresh or well formed."""

    def __init__(self, reason: str, remedy: str):
        super().__init__(f'datagram refused as {reason}; {remedy}')
        self.reason = reason


class RumorTooLargeError(SesamewardError):
    """Report a rumor which does not fit a datagram."""

    def __init__(self, size_bytes: int, limit_bytes: int):
        super().__init__(
            f'the rumor takes {size_bytes} bytes of {limit_bytes}; '
            'publish a reference and fetch the rest from a peer'
        )
