"""Test the checks of a caller's request before it runs."""

import math
import types

import pytest

from sesameward.metrics import Metrics
from sesameward.organisations.identity import Identity
from sesameward.platform.wire import PlatformWire
from sesameward.quarantine.quarantine import Refuse
from sesameward.serving.front import Front
from sesameward.serving.http_server import Request
from sesameward.serving.http_server import Responder
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Organisation
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import RouteTable
from sesameward.serving.target_limits import Permit

NOW = 100.0
PERMIT = Permit('acme', NOW + 0.5)


class Limits:
    """Stand in for OrganisationLimits."""

    def __init__(self):
        self.given_back = []
        self.valid_at = NOW

    def is_limited(self, name):
        return True

    def is_valid(self, permit, now):
        return permit.expires_at > self.valid_at

    def give_back(self, permit, now):
        self.given_back.append(permit)

    def wait_s(self, name, priority, now):
        return 2.0


class Quotas:
    """Stand in for PermitExchange: keep what awaits a permit."""

    def __init__(self):
        self.limits = Limits()
        self.waiting = []

    def clock(self):
        return NOW

    def acquire(self, name, priority, on_permit):
        self.waiting.append((name, on_permit))


class Connection:
    """Stand in for CallerConnection: keep the answers."""

    def __init__(self):
        self.answers = []

    def write_answer(self, responder, answer):
        self.answers.append(answer)


class RecordingFront(Front):
    """A Front whose runs are recorded and not started."""

    def __init__(self, *args):
        super().__init__(*args)
        self.arrivals = []

    def _make_run(self, arrival):
        self.arrivals.append(arrival)
        return types.SimpleNamespace(start=lambda now: None, n=len(self.runs))

    @property
    def runs(self):
        return self.arrivals


class Play:
    """One request of an organisation, up to the check of its limit."""

    def __init__(self, organisation_priority=None):
        self.admission = None
        self.quotas = Quotas()
        self.conn = Connection()
        self.metrics = Metrics('t')
        route = Route(
            'r', 'h', '/', Repeat.ONCE, 1.0, 0.1, 2, 2, OneService('s')
        )
        organisations = [Organisation('acme', ('k',), organisation_priority)]
        table = RouteTable(1, [route], [], CallerLimits(), organisations)
        configuration = types.SimpleNamespace(
            route_table=table,
            age_s=lambda now: 0.0,
            may_lack_routes=lambda now: False,
        )
        tools = types.SimpleNamespace(
            wire=PlatformWire(),
            clock=lambda: NOW,
            metrics=self.metrics,
            links=types.SimpleNamespace(is_lost=False),
            crashes=types.SimpleNamespace(
                admit=lambda identity, now: self.admission
            ),
        )
        deps = types.SimpleNamespace(
            admission=None,
            tools=tools,
            runs=[],
            random=lambda: 0.5,
            delegation=None,
        )
        deps.runs = types.SimpleNamespace(add=lambda run: None)
        self.front = RecordingFront(
            deps, configuration, Identity(math.inf), self.quotas
        )
        self.responder = Responder(self.conn)
        headers = [
            (b'Sesameward-Request-Id', b'r1'),
            (b'X-Api-Key', b'k'),
        ]
        req = Request(b'GET', b'/', '/', b'', 'h', headers, b'', NOW, True)
        self.front.handle(req, self.responder)

    def answer_permit(self, permit):
        ((name, on_permit),) = self.quotas.waiting
        assert name == 'acme'
        on_permit(permit)


@pytest.mark.parametrize(('own', 'expected'), [(None, 2), (0, 0), (5, 5)])
def test_priority_of_the_organisation_overrides_the_routes(own, expected):
    play = Play(own)
    assert play.front.arrivals == []
    play.answer_permit(PERMIT)
    (arrival,) = play.front.arrivals
    assert arrival.priority == arrival.route.priority == expected
    assert arrival.organisation == 'acme'


# Guards against a request that runs although it was refused, or the reverse.
def test_request_without_a_permit_is_refused_for_the_time_it_takes():
    play = Play()
    play.answer_permit(None)
    (answer,) = play.conn.answers
    assert answer.status == 429
    # 2 s, and half of the spread of 0.4 s.
    assert dict(answer.headers)[b'Retry-After'] == b'2.20'
    assert play.front.arrivals == []


# Guards against permits that are used after this process was suspended.
def test_expired_permit_admits_nothing():
    play = Play()
    play.quotas.limits.valid_at = NOW + 1.0
    play.answer_permit(PERMIT)
    assert [answer.status for answer in play.conn.answers] == [429]
    assert play.front.arrivals == []


# Guards against requests that run for callers who have gone, and against
# permits that are lost with them.
@pytest.mark.parametrize('permit', [PERMIT, None])
def test_caller_may_disconnect_while_a_permit_is_awaited(permit):
    play = Play()
    play.responder.caller_gone()
    play.answer_permit(permit)
    assert play.front.arrivals == []
    assert play.conn.answers == []
    assert play.quotas.limits.given_back == ([PERMIT] if permit else [])


# Guards against requests in quarantine that use up an organisation's limit.
def test_permit_of_a_request_in_quarantine_is_given_back():
    play = Play()
    play.admission = Refuse(60.0)
    play.answer_permit(PERMIT)
    assert [answer.status for answer in play.conn.answers] == [503]
    assert play.quotas.limits.given_back == [PERMIT]
