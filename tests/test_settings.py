"""Test the reading and checking of settings files."""

from __future__ import annotations

import pytest

from sesameward.exceptions import SettingsError
from sesameward import settings

VALID_SETTINGS = """
node: e1
zone: a
listen: {host: 127.0.0.1, port: 8080}
agent: {host: 127.0.0.1, port: 8081}
platform: {url: 'http://127.0.0.1:8082'}
"""


@pytest.fixture
def load(tmp_path):
    def load_text(text):
        path = tmp_path / 'entry.yaml'
        path.write_text(text)
        return settings.load(str(path), settings.EntrySettings)

    return load_text


def test_good_settings(load):
    cfg = load(VALID_SETTINGS)
    assert cfg.node == 'e1'
    assert cfg.limits.retry_budget == 0.05


@pytest.mark.parametrize(
    'extra_yaml, field',
    [
        ('colour: red', 'colour'),
        ('limits: {max_queue: 0}', 'limits.max_queue'),
        ('limits: {max_queue: many}', 'limits.max_queue'),
        ('limits: {retry_budget: 2.0}', 'limits.retry_budget'),
    ],
)
def test_bad_field_is_named(load, extra_yaml, field):
    with pytest.raises(SettingsError) as caught:
        load(VALID_SETTINGS + extra_yaml)
    assert field in str(caught.value)
    assert 'entry.yaml' in str(caught.value)


def test_missing_file_is_named():
    with pytest.raises(SettingsError, match='/no/such'):
        settings.load('/no/such', settings.EntrySettings)
