"""Test that an object that can't be applied is passed on again."""

import pytest

from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.delivery import Delivery
from sesameward.serving.delivery import RETRY_INTERVAL_S
from sesameward.serving.store_copy import Changed


class Consumer:
    """Collect the objects that it gets; those named in failing fail."""

    def __init__(self):
        self.failing = set()
        self.names = []

    def __call__(self, update):
        for stored in update.objects:
            if stored.name in self.failing:
                raise MemoryError
        self.names += [stored.name for stored in update.objects]


@pytest.fixture
def consumer():
    return Consumer()


@pytest.fixture
def delivery(consumer):
    return Delivery('servers', consumer, Metrics('t'))


def changed(*names):
    return Changed([StoredObject('servers', name, 1, b'') for name in names])


# Guards against routes or targets that are missing for good after a failure of
# the moment.
def test_object_that_failed_is_passed_on_again(delivery, consumer):
    consumer.failing = {'b'}
    delivery.deliver(changed('a', 'b'))
    delivery.retry(10.0)
    assert consumer.names == ['a']
    consumer.failing = set()
    delivery.retry(10.1)
    assert consumer.names == ['a']
    delivery.retry(10.0 + RETRY_INTERVAL_S)
    delivery.retry(10.0 + 2 * RETRY_INTERVAL_S)
    assert consumer.names == ['a', 'b']


# An object that failed must not replace a newer one.
def test_object_that_changed_is_not_passed_on_again(delivery, consumer):
    consumer.failing = {'b'}
    delivery.deliver(changed('b'))
    consumer.failing = set()
    delivery.deliver(changed('b'))
    delivery.retry(10.0)
    assert consumer.names == ['b']
