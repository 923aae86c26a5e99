"""End the trial of an asker that the grant did not reach in time.

Load pattern: the home of a request is busy, so that its answer comes after
the asker has stopped to wait for it. Equal requests must not wait for the
trial that the home then believes to be out.
"""

import asyncio
import random

import pytest

from sesameward.controllers.homes import Homes
from sesameward.controllers.suspects import Suspects
from sesameward.exceptions import PeerUnavailableError
from sesameward.messages import Address
from sesameward.metrics import Metrics
from sesameward.quarantine.quarantine import Lead
from sesameward.quarantine.quarantine import Quarantine
from sesameward.quarantine.quarantine import QuarantineSettings
from sesameward.quarantine.quarantine import Refuse
from sesameward.quarantine.trials import AdmitRequest
from sesameward.quarantine.trials import Event
from sesameward.quarantine.trials import EventKind
from sesameward.types import Fingerprint

FP = Fingerprint('f' * 32)


def address(name):
    return Address(name, '127.0.0.1', 1, 'a', 1.0, grpc_port=2)


def make_suspects(name, client):
    quarantine = Quarantine(
        name, QuarantineSettings(lead_s=0.5), random.Random(1)
    )
    homes = Homes(address(name), client, Metrics('t'), lambda: 100.0)
    return Suspects(quarantine, homes, Metrics('t'), lambda: 100.0)


@pytest.fixture
def home():
    return make_suspects('home', None)


class LateHome:
    """Carry calls to a home whose grants come too late."""

    def __init__(self, home):
        self.home = home

    async def admit(self, address, req, timeout_s):
        self.home.decide(req)
        raise PeerUnavailableError('too late')

    async def report(self, address, event, timeout_s):
        return self.home.take(event)

    def keep(self, addresses):
        pass


def test_trial_whose_grant_came_too_late_is_ended(home):
    async def main():
        asker = make_suspects('asker', LateHome(home))
        asker._homes.take([address('home')])
        assert isinstance(await asker.admit(FP, 110.0), Lead)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(main())
    assert isinstance(home.decide(AdmitRequest(FP, 'other')), Lead)


def test_end_by_another_asker_leaves_a_trial(home):
    assert isinstance(home.decide(AdmitRequest(FP, 'one')), Lead)
    home.take(Event(EventKind.ENDED, FP, asker='other'))
    again = home.decide(AdmitRequest(FP, 'other'))
    assert isinstance(again, Refuse) and again.on_trial
    home.take(Event(EventKind.ENDED, FP, asker='one'))
    assert isinstance(home.decide(AdmitRequest(FP, 'other')), Lead)


def test_end_without_an_asker_is_that_of_the_trial_itself(home):
    home.decide(AdmitRequest(FP, 'one'))
    home.take(Event(EventKind.ENDED, FP))
    assert isinstance(home.decide(AdmitRequest(FP, 'other')), Lead)
