"""Test answers, bookings and configuration while real processes fail.

Processes are killed or stopped by signals, and the platform has outages.
"""

from __future__ import annotations

import collections
import concurrent.futures
import json
import signal
import threading
import time

import pytest

from sesameward.standin.processes import call
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until

NODES = 5
MAX_DETECTION_S = 3.0


@pytest.fixture(scope='module')
def tier():
    shape = Shape(nodes=NODES, deadline_ms=1_000, max_deadline_ms=5_000)
    with Tier(shape) as started:
        yield started


def listed_ports(tier, entry):
    reply = call(entry.ports['port'], '/v1/addresses').json()
    return {address['port'] for address in reply['addresses']}


def entry_ports(tier):
    return {entry.ports['port'] for entry in tier.entries}


def wait_until_whole(tier):
    """Wait until every entry lists all entries and answers completely."""
    expected = entry_ports(tier)
    for entry in tier.entries:
        wait_until(
            lambda checked=entry: listed_ports(tier, checked) == expected,
            'all addresses',
        )
        wait_until(lambda checked=entry: tier.is_whole(checked), entry.name)


def effect_count(tier, key):
    return sum(
        tier.calls(target)['bookings'].get(key, 0) for target in tier.targets
    )


class Callers:
    """Query entries in the background; keep end frames and errors."""

    def __init__(self, tier, entries):
        self.ends = []
        self.errors = []
        self._tier = tier
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in entries
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry):
        while not self._stop.is_set():
            try:
                reply = self._tier.query(entry)
            except OSError as exc:
                self.errors.append(exc)
                time.sleep(0.1)
                continue
            frames = reply.frames()
            self.ends.append(frames[-1])


def test_configuration_is_in_force_on_all_within_two_seconds(tier):
    documents = tier.documents()
    documents[0]['deadlines']['default_ms'] = 1_234
    began_at = time.monotonic()
    tier.declare(*documents)
    expected = call(
        tier.platform.ports['port'], '/v1/objects/service/trip-desk'
    ).json()['revision']
    for agent in tier.agents:
        wait_until(
            lambda checked=agent: revision_in_force(checked) >= expected,
            'the revision',
            5.0,
        )
    # The time includes the start of the command-line tool.
    assert time.monotonic() - began_at < MAX_DETECTION_S


def test_callers_spread_over_all_entries(tier):
    wait_until_whole(tier)
    first_addresses = collections.Counter()
    for index in range(200):
        entry = tier.entries[index * 7 % NODES]
        zone = tier.zone(index)
        path = f'/v1/addresses?zone={zone}'
        found = call(entry.ports['port'], path).json()['addresses']
        first_addresses[found[0]['port']] += 1
    assert max(first_addresses.values()) <= 1.25 * 200 / NODES


def revision_in_force(agent):
    status = call(agent.ports['http'], '/v1/status').json()
    return min(
        [
            status['revision'],
            *(entry['revision'] for entry in status['entries']),
        ]
    )


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_lost_entry_leaves_the_addresses(tier, signal_number):
    wait_until_whole(tier)
    lost = tier.entries[-1]
    port = lost.ports['port']
    others = tier.entries[:-1]
    with Callers(tier, others) as callers:
        time.sleep(0.3)
        lost.send(signal_number)
        took_s = wait_until(
            lambda: all(
                port not in listed_ports(tier, entry) for entry in others
            ),
            'the addresses without the lost entry',
            10.0,
        )
        time.sleep(0.5)
    assert took_s <= MAX_DETECTION_S
    assert not callers.errors
    assert all(end['complete'] for end in callers.ends)
    for target in tier.targets:
        calls = tier.calls(target)
        assert calls['peak_connections'] <= tier.shape.connections
    if signal_number == signal.SIGSTOP:
        lost.send(signal.SIGCONT)
    else:
        lost.wait()
        tier.entries[-1] = tier.start_entry(NODES - 1)
    wait_until_whole(tier)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_entry_goes_on_without_its_agent(tier, signal_number):
    wait_until_whole(tier)
    agent = tier.agents[0]
    agent.send(signal_number)
    target = 't1-0'
    tier.set_faults(target, drain=True)
    with Callers(tier, tier.entries[:1]) as callers:
        time.sleep(MAX_DETECTION_S)
        before = tier.calls(target)['queries']
        time.sleep(1.0)
        after = tier.calls(target)['queries']
    tier.set_faults(target)
    assert before == after
    assert callers.ends
    assert all(end['complete'] for end in callers.ends)
    if signal_number == signal.SIGSTOP:
        agent.send(signal.SIGCONT)
    else:
        restart_node(tier, 0)
    wait_until_whole(tier)


def restart_node(tier, index):
    """Restart the agent and the entry of a VM, as when it is replaced."""
    tier.entries[index].close()
    tier.agents[index].close()
    tier.agents[index] = tier.start_agent(index)
    tier.entries[index] = tier.start_entry(index)


def test_store_outage_leaves_queries_alone_and_refuses_bookings(tier):
    wait_until_whole(tier)
    port = tier.platform.ports['port']
    call(port, '/standin/faults', {'outage': True})
    try:
        with Callers(tier, tier.entries) as callers:
            time.sleep(1.0)
            began_at = time.monotonic()
            refused = tier.book(
                tier.entries[0],
                'outage-key-1',
                headers={'Sesameward-Attempt': '1'},
            )
            took_s = time.monotonic() - began_at
    finally:
        call(port, '/standin/faults', {})
    assert all(end['complete'] for end in callers.ends)
    assert refused.status == 503
    assert refused.json()['run'] == 'no'
    assert refused.json()['retry_after_s'] > 0
    assert took_s < 5.0
    assert effect_count(tier, 'outage-key-1') == 0


def test_fresh_node_starts_from_peers_while_the_store_is_down(tier):
    wait_until_whole(tier)
    port = tier.platform.ports['port']
    call(port, '/standin/faults', {'outage': True})
    try:
        restart_node(tier, 2)
        agent = tier.agents[2]
        expected = revision_in_force(tier.agents[0])
        wait_until(
            lambda: revision_in_force(agent) >= expected, 'the revision', 10.0
        )
    finally:
        call(port, '/standin/faults', {})
    wait_until_whole(tier)


# Guards against entries that stay at an old revision while their agent has a
# newer one in which no object differs: an agent that starts lists the store,
# whose revision advances with each renewal of a lease, and the other agents
# pull that revision.
def test_entries_reach_a_revision_that_changes_no_object(tier):
    wait_until_whole(tier)
    port = tier.platform.ports['port']
    before = max(revision_in_force(agent) for agent in tier.agents)

    def has_store_advanced():
        listing = call(port, '/v1/objects/service').json()
        return listing['revision'] > before

    def is_newer(agent):
        status = call(agent.ports['http'], '/v1/status').json()
        return (
            status['revision'] > before
            and status['entries']
            and all(e['revision'] > before for e in status['entries'])
        )

    wait_until(has_store_advanced, 'the renewal of a lease')
    restart_node(tier, 0)
    for agent in tier.agents:
        wait_until(lambda checked=agent: is_newer(checked), agent.name, 10.0)
    wait_until_whole(tier)


def test_booking_sent_to_all_entries_at_once_runs_once(tier):
    wait_until_whole(tier)
    key = 'storm-key-1'

    def send(entry):
        reply = tier.book(entry, key)
        return reply.json()

    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        replies = list(pool.map(send, tier.entries * 3))
    assert effect_count(tier, key) == 1
    assert {reply['run'] for reply in replies} <= {'yes', 'unknown'}
    assert any(reply['run'] == 'yes' for reply in replies)
    final = tier.book(tier.entries[0], key).json()
    assert (final['run'], final['repeated']) == ('yes', True)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_booking_whose_entry_is_lost_never_runs_again(tier, signal_number):
    wait_until_whole(tier)
    for target in tier.targets:
        tier.set_faults(target, latency_ms=600)
    key = f'lost-entry-{int(signal_number)}'
    lost = tier.entries[-1]

    def send():
        try:
            return tier.book(lost, key).json()
        except (OSError, json.JSONDecodeError):
            return None

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(send)
        wait_until(
            lambda: effect_count(tier, key) == 1, 'the dispatch of the booking'
        )
        lost.send(signal_number)
        time.sleep(MAX_DETECTION_S)
        again = [tier.book(entry, key).json() for entry in tier.entries[:-1]]
        if signal_number == signal.SIGSTOP:
            lost.send(signal.SIGCONT)
        sent.result()
    for target in tier.targets:
        tier.set_faults(target)
    assert effect_count(tier, key) == 1
    assert all(reply['run'] in ('unknown', 'yes') for reply in again)
    if signal_number == signal.SIGKILL:
        tier.entries[-1] = tier.start_entry(NODES - 1)
    wait_until_whole(tier)


def test_crashing_request_loses_at_most_two_targets(tier):
    wait_until_whole(tier)
    for target in tier.targets:
        tier.set_faults(target, crash_on='poison')
    body = {'match': {'text': 'poison'}}
    for attempt in range(10):
        tier.query(tier.entries[attempt % NODES], body)
        time.sleep(0.1)
    dead = [
        name
        for name, process in tier.targets.items()
        if process.exit_code is not None
    ]
    refused = tier.query(tier.entries[0], body)
    for name in dead:
        instance, server = name.removeprefix('t').split('-')
        tier.start_target(int(instance), int(server))
    for name in tier.targets:
        wait_until(lambda checked=name: tier.calls(checked) is not None, name)
        tier.set_faults(name)
    assert 1 <= len(dead) <= 2
    assert refused.status == 503
    assert refused.json()['kind'] == 'quarantined'
    assert int(refused.headers['Retry-After']) >= 1
    wait_until_whole(tier)


def declare_deadline(tier, deadline_ms):
    """Change the service's default deadline; return the new revision."""
    documents = tier.documents()
    documents[0]['deadlines']['default_ms'] = deadline_ms
    done = tier.declare(*documents)
    assert done.returncode == 0, done.stderr
    return call(
        tier.platform.ports['port'], '/v1/objects/service/trip-desk'
    ).json()['revision']


def entry_revision(entry):
    """Return the revision in force at an entry, read from its metrics."""
    text = call(entry.ports['port'], '/metrics').body.decode()
    line = next(
        line
        for line in text.splitlines()
        if line.startswith('sesameward_revision')
    )
    return int(float(line.rsplit(' ', 1)[1]))


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_configuration_reaches_an_entry_without_its_agent(tier, signal_number):
    wait_until_whole(tier)
    tier.agents[1].send(signal_number)
    expected = declare_deadline(tier, 1_100 + int(signal_number))
    took_s = wait_until(
        lambda: entry_revision(tier.entries[1]) >= expected,
        'the revision',
        15.0,
    )
    if signal_number == signal.SIGSTOP:
        tier.agents[1].send(signal.SIGCONT)
    else:
        restart_node(tier, 1)
    assert took_s < 10.0
    wait_until_whole(tier)


def test_paused_entry_does_not_use_an_old_configuration(tier):
    wait_until_whole(tier)
    entry = tier.entries[3]
    entry.send(signal.SIGSTOP)
    expected = declare_deadline(tier, 1_300)
    wait_until(
        lambda: entry_revision(tier.entries[0]) >= expected,
        'the revision at the first entry',
    )
    time.sleep(2.0)

    def query():
        return tier.query(entry), entry_revision(entry)

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(query)
        time.sleep(0.2)
        entry.send(signal.SIGCONT)
        reply, _ = sent.result()
    if reply.status == 200:
        assert entry_revision(entry) >= expected
    else:
        assert reply.json()['kind'] == 'not_ready'
    wait_until_whole(tier)
