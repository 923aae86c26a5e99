"""Define the errors that sesameward raises."""

from __future__ import annotations

from .types import RefusalKind
from .types import Revision
from .types import RunState


class SesamewardError(Exception):
    """Serve as the base class of all errors of this package."""


class SettingsError(SesamewardError):
    """Report an unreadable settings file or an invalid field in it."""

    def __init__(self, path: str, field: str, problem: str, remedy: str):
        super().__init__(f'{path}: {field}: {problem}; {remedy}')
        self.path = path
        self.field = field
        self.remedy = remedy


class StartError(SesamewardError):
    """Report that a process can't start because an address can't be bound."""

    def __init__(self, address: str, cause: OSError):
        super().__init__(
            f'{address} can not be bound: {cause.strerror or cause}; '
            'end the process that uses it, or correct it in the settings'
        )
        self.address = address


class DeclarationError(SesamewardError):
    """Report an invalid declared object or an invalid argument."""

    def __init__(self, field: str, problem: str, remedy: str):
        super().__init__(f'{field}: {problem}; {remedy}')
        self.field = field
        self.problem = problem
        self.remedy = remedy


class ReferencedError(DeclarationError):
    """Report a change that would break references between stored objects."""


class RefusalError(SesamewardError):
    """Refuse a request of a caller.

    run says whether the request took effect; retry_after_s is None where a
    retry can't succeed.
    """

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
    """Report that the caller disconnected before it got an answer."""


class PlatformError(SesamewardError):
    """Serve as the base class of the errors of calls to the platform."""


class PlatformUnavailableError(PlatformError):
    """Report that the platform was unreachable or gave no usable answer."""


class UnsureWriteError(PlatformUnavailableError):
    """Report a write that may or may not have taken effect."""


class PlatformThrottledError(PlatformError):
    """Report a call over the rate limit of the platform or this process."""

    def __init__(self, problem: str, retry_after_s: float):
        super().__init__(
            f'{problem}; call again in {retry_after_s:.1f} seconds'
        )
        self.retry_after_s = retry_after_s


class BudgetSpentError(PlatformThrottledError):
    """Report a platform call not sent: this process is at its rate limit."""


class NotFoundError(PlatformError):
    """Report that a stored object does not exist."""


class ConflictError(PlatformError):
    """Report a write whose expected revision is not the current one.

    current is the revision found, change the id of the write that made it.
    """

    def __init__(self, name: str, current: Revision, change: str = ''):
        by = f' by change {change}' if change else ''
        super().__init__(
            f'{name} was changed{by} to revision {current}; '
            'read it again, repeat the edit and apply that'
        )
        self.current = current
        self.change = change


class CompactedError(PlatformError):
    """Report a watch from a revision whose events are no longer kept."""


class AdminError(SesamewardError):
    """Report an operator's request that this agent can't carry out."""


class PeerUnavailableError(SesamewardError):
    """Report that another sesameward process gave no usable answer."""


class AgentRefusalError(SesamewardError):
    """Report that an agent refused an operator's request."""


class IntegrityError(SesamewardError):
    """Report a datagram that is forged, stale, replayed or malformed."""

    def __init__(self, reason: str, remedy: str):
        super().__init__(f'datagram refused as {reason}; {remedy}')
        self.reason = reason


class RumorTooLargeError(SesamewardError):
    """Report a rumor that is too large for one datagram."""

    def __init__(self, size_bytes: int, limit_bytes: int):
        super().__init__(
            f'the rumor has {size_bytes} bytes, the limit is {limit_bytes}; '
            'publish a reference and fetch the rest from a peer'
        )
