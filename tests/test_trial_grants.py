"""Test that a trial ends if its grant reaches the asking entry too late.

A busy home may grant a trial after the asking entry has stopped waiting for
the reply. Nobody then runs the trial, so it has to be ended, or equal
requests would wait for it until it times out.
"""

import asyncio
import random

import pytest

from sesameward.controllers.homes import FingerprintHomes
from sesameward.controllers.suspects import Suspects
from sesameward.exceptions import PeerUnavailableError
from sesameward.messages import Address
from sesameward.metrics import Metrics
from sesameward.quarantine.quarantine import Lead
from sesameward.quarantine.quarantine import Quarantine
from sesameward.quarantine.quarantine import QuarantineSettings
from sesameward.quarantine.quarantine import Refuse
from sesameward.quarantine.trials import AdmitRequest
from sesameward.quarantine.trials import EventKind
from sesameward.quarantine.trials import TrialEvent
from sesameward.types import Fingerprint

FINGERPRINT = Fingerprint('f' * 32)


def address(name):
    return Address(name, '127.0.0.1', 1, 'a', 1.0, grpc_port=2)


def make_suspects(name, client):
    quarantine = Quarantine(
        name, QuarantineSettings(lead_s=0.5), random.Random(1)
    )
    homes = FingerprintHomes(
        address(name), client, Metrics('t'), lambda: 100.0
    )
    return Suspects(quarantine, homes, Metrics('t'), lambda: 100.0)


@pytest.fixture
def home():
    return make_suspects('home', None)


class ClientWithLateGrants:
    """Let the home decide, but report a time-out to the asking entry."""

    def __init__(self, home):
        self.home = home

    async def admit(self, address, req, timeout_s):
        self.home.decide(req)
        raise PeerUnavailableError('too late')

    async def report(self, address, event, timeout_s):
        return self.home.judge(event)

    def close_others(self, addresses):
        pass


def test_trial_whose_grant_came_too_late_is_ended(home):
    async def main():
        asker = make_suspects('asker', ClientWithLateGrants(home))
        asker._homes.set_live_entries([address('home')])
        assert isinstance(await asker.admit(FINGERPRINT, 110.0), Lead)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(main())
    assert isinstance(home.decide(AdmitRequest(FINGERPRINT, 'other')), Lead)


def test_end_by_another_asker_leaves_a_trial(home):
    assert isinstance(home.decide(AdmitRequest(FINGERPRINT, 'one')), Lead)
    home.judge(TrialEvent(EventKind.ENDED, FINGERPRINT, asker='other'))
    again = home.decide(AdmitRequest(FINGERPRINT, 'other'))
    assert isinstance(again, Refuse) and again.on_trial
    home.judge(TrialEvent(EventKind.ENDED, FINGERPRINT, asker='one'))
    assert isinstance(home.decide(AdmitRequest(FINGERPRINT, 'other')), Lead)


def test_end_without_an_asker_is_that_of_the_trial_itself(home):
    home.decide(AdmitRequest(FINGERPRINT, 'one'))
    home.judge(TrialEvent(EventKind.ENDED, FINGERPRINT))
    assert isinstance(home.decide(AdmitRequest(FINGERPRINT, 'other')), Lead)
