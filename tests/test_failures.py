"""Test the promises while real processes are killed, frozen and cut."""

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
KNOWN_S = 3.0


@pytest.fixture(scope='module')
def tier():
    shape = Shape(nodes=NODES, deadline_ms=1_000, max_deadline_ms=5_000)
    with Tier(shape) as started:
        yield started


def addresses(tier, entry):
    reply = call(entry.ports['port'], '/v1/addresses').json()
    return {address['port'] for address in reply['addresses']}


def all_ports(tier):
    return {entry.ports['port'] for entry in tier.entries}


def settle(tier):
    """Wait until all entries are listed everywhere and answer whole."""
    wanted = all_ports(tier)
    for entry in tier.entries:
        wait_until(
            lambda e=entry: addresses(tier, e) == wanted, 'all addresses'
        )
        wait_until(lambda e=entry: tier.is_whole(e), entry.name)


def effects(tier, key):
    return sum(
        tier.calls(target)['bookings'].get(key, 0) for target in tier.targets
    )


class Callers:
    """Query some entries in the background; keep what comes back."""

    def __init__(self, tier, entries):
        self.ends = []
        self.errors = []
        self._tier = tier
        self._halt = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in entries
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self._halt.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry):
        while not self._halt.is_set():
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
    wanted = call(
        tier.platform.ports['port'], '/v1/objects/service/trip-desk'
    ).json()['revision']
    for agent in tier.agents:
        wait_until(lambda a=agent: in_force(a) >= wanted, 'the revision', 5.0)
    # Starting the command line is part of this time.
    assert time.monotonic() - began_at < KNOWN_S


def test_callers_spread_over_all_entries(tier):
    settle(tier)
    firsts = collections.Counter()
    for index in range(200):
        entry = tier.entries[index * 7 % NODES]
        zone = tier.zone(index)
        path = f'/v1/addresses?zone={zone}'
        found = call(entry.ports['port'], path).json()['addresses']
        firsts[found[0]['port']] += 1
    assert max(firsts.values()) <= 1.25 * 200 / NODES


def in_force(agent):
    status = call(agent.ports['http'], '/v1/status').json()
    return min(
        [status['revision'], *(e['revision'] for e in status['entries'])]
    )


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_lost_entry_leaves_the_addresses(tier, number):
    settle(tier)
    lost = tier.entries[-1]
    port = lost.ports['port']
    others = tier.entries[:-1]
    with Callers(tier, others) as callers:
        time.sleep(0.3)
        lost.send(number)
        took_s = wait_until(
            lambda: all(port not in addresses(tier, e) for e in others),
            'the addresses',
            10.0,
        )
        time.sleep(0.5)
    assert took_s <= KNOWN_S
    assert not callers.errors
    assert all(end['complete'] for end in callers.ends)
    for target in tier.targets:
        calls = tier.calls(target)
        assert calls['peak_connections'] <= tier.shape.connections
    if number == signal.SIGSTOP:
        lost.send(signal.SIGCONT)
    else:
        lost.wait()
        tier.entries[-1] = tier.start_entry(NODES - 1)
    settle(tier)


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_entry_goes_on_without_its_agent(tier, number):
    settle(tier)
    agent = tier.agents[0]
    agent.send(number)
    target = 't1-0'
    tier.set_faults(target, drain=True)
    with Callers(tier, tier.entries[:1]) as callers:
        time.sleep(KNOWN_S)
        before = tier.calls(target)['queries']
        time.sleep(1.0)
        after = tier.calls(target)['queries']
    tier.set_faults(target)
    assert before == after
    assert callers.ends
    assert all(end['complete'] for end in callers.ends)
    if number == signal.SIGSTOP:
        agent.send(signal.SIGCONT)
    else:
        restart_node(tier, 0)
    settle(tier)


def restart_node(tier, index):
    """Replace a VM's processes, as when its VM is replaced."""
    tier.entries[index].close()
    tier.agents[index].close()
    tier.agents[index] = tier.start_agent(index)
    tier.entries[index] = tier.start_entry(index)


def test_store_outage_leaves_queries_alone_and_refuses_bookings(tier):
    settle(tier)
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
    assert effects(tier, 'outage-key-1') == 0


def test_fresh_node_starts_from_peers_while_the_store_is_down(tier):
    settle(tier)
    port = tier.platform.ports['port']
    call(port, '/standin/faults', {'outage': True})
    try:
        restart_node(tier, 2)
        agent = tier.agents[2]
        wanted = in_force(tier.agents[0])
        wait_until(lambda: in_force(agent) >= wanted, 'the revision', 10.0)
    finally:
        call(port, '/standin/faults', {})
    settle(tier)


def test_booking_sent_to_all_entries_at_once_runs_once(tier):
    settle(tier)
    key = 'storm-key-1'

    def send(entry):
        reply = tier.book(entry, key)
        return reply.json()

    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        replies = list(pool.map(send, tier.entries * 3))
    assert effects(tier, key) == 1
    assert {reply['run'] for reply in replies} <= {'yes', 'unknown'}
    assert any(reply['run'] == 'yes' for reply in replies)
    final = tier.book(tier.entries[0], key).json()
    assert (final['run'], final['repeated']) == ('yes', True)


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_booking_whose_entry_is_lost_never_runs_again(tier, number):
    settle(tier)
    for target in tier.targets:
        tier.set_faults(target, latency_ms=600)
    key = f'lost-entry-{int(number)}'
    lost = tier.entries[-1]

    def send():
        try:
            return tier.book(lost, key).json()
        except (OSError, json.JSONDecodeError):
            return None

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(send)
        wait_until(lambda: effects(tier, key) == 1, 'the dispatch')
        lost.send(number)
        time.sleep(KNOWN_S)
        again = [tier.book(e, key).json() for e in tier.entries[:-1]]
        if number == signal.SIGSTOP:
            lost.send(signal.SIGCONT)
        sent.result()
    for target in tier.targets:
        tier.set_faults(target)
    assert effects(tier, key) == 1
    assert all(reply['run'] in ('unknown', 'yes') for reply in again)
    if number == signal.SIGKILL:
        tier.entries[-1] = tier.start_entry(NODES - 1)
    settle(tier)


def test_crashing_request_loses_at_most_two_targets(tier):
    settle(tier)
    for target in tier.targets:
        tier.set_faults(target, crash_on='poison')
    body = {'match': {'text': 'poison'}}
    for attempt in range(10):
        tier.query(tier.entries[attempt % NODES], body)
        time.sleep(0.1)
    dead = [n for n, p in tier.targets.items() if p.exit_code is not None]
    refused = tier.query(tier.entries[0], body)
    for name in dead:
        instance, server = name.removeprefix('t').split('-')
        tier.start_target(int(instance), int(server))
    for name in tier.targets:
        wait_until(lambda n=name: tier.calls(n) is not None, name)
        tier.set_faults(name)
    assert 1 <= len(dead) <= 2
    assert refused.status == 503
    assert refused.json()['kind'] == 'quarantined'
    assert int(refused.headers['Retry-After']) >= 1
    settle(tier)


def declare_deadline(tier, deadline_ms):
    """Change the service; return the revision of the change."""
    documents = tier.documents()
    documents[0]['deadlines']['default_ms'] = deadline_ms
    done = tier.declare(*documents)
    assert done.returncode == 0, done.stderr
    return call(
        tier.platform.ports['port'], '/v1/objects/service/trip-desk'
    ).json()['revision']


def revision_at(entry):
    """Return the revision in force at an entry, by its own metrics."""
    text = call(entry.ports['port'], '/metrics').body.decode()
    line = next(
        x for x in text.splitlines() if x.startswith('sesameward_revision')
    )
    return int(float(line.rsplit(' ', 1)[1]))


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_configuration_reaches_an_entry_without_its_agent(tier, number):
    settle(tier)
    tier.agents[1].send(number)
    wanted = declare_deadline(tier, 1_100 + int(number))
    took_s = wait_until(
        lambda: revision_at(tier.entries[1]) >= wanted, 'the revision', 15.0
    )
    if number == signal.SIGSTOP:
        tier.agents[1].send(signal.SIGCONT)
    else:
        restart_node(tier, 1)
    assert took_s < 10.0
    settle(tier)


def test_paused_entry_does_not_use_an_old_configuration(tier):
    settle(tier)
    entry = tier.entries[3]
    entry.send(signal.SIGSTOP)
    wanted = declare_deadline(tier, 1_300)
    wait_until(lambda: revision_at(tier.entries[0]) >= wanted, 'the rest')
    time.sleep(2.0)

    def query():
        return tier.query(entry), revision_at(entry)

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(query)
        time.sleep(0.2)
        entry.send(signal.SIGCONT)
        reply, _ = sent.result()
    if reply.status == 200:
        assert revision_at(entry) >= wanted
    else:
        assert reply.json()['kind'] == 'not_ready'
    settle(tier)
