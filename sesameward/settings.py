"""Define the settings of entries and agents and read them from YAML."""

from __future__ import annotations

import pathlib
import typing

import msgspec

from .exceptions import SettingsError
from .quarantine.quarantine import QuarantineSettings
from .types import NodeId
from .types import ZoneName

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
Tolerance = typing.Annotated[float, msgspec.Meta(ge=1.0, le=10.0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the address of a process; host is a numeric IP address."""

    host: str
    port: Port

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Set the platform's URL and limit a process's calls to it."""

    url: str
    timeout_s: Seconds = 2.0
    calls_per_s: Seconds = 50.0
    burst: Count = 50


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit the requests that an entry accepts, queues and retries.

    retry_budget is the ratio of retries to first attempts. The limit of
    concurrent requests falls while their latency exceeds the unloaded latency
    by more than the factor latency_tolerance.
    """

    max_body_bytes: Count = 65_536
    body_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0
    max_in_flight: Count = 256
    max_queue: Count = 256
    retry_budget: Fraction = 0.05
    drain_timeout_s: Seconds = 30.0
    latency_tolerance: Tolerance = 2.5


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one entry."""

    node: NodeId
    zone: ZoneName
    listen: Endpoint
    agent: Endpoint
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    grpc_port: Port = 0
    seed: int | None = None


class MembershipSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Set the timing of the failure detector and the datagram keys.

    Datagrams are signed with keys[0] and accepted with any of the keys. A
    suspected member counts as dead after suspicion_s to suspicion_mult times
    that, the sooner, the more members suspect it.
    """

    keys: tuple[str, ...]
    period_s: Seconds = 0.5
    probe_timeout_s: Seconds = 0.2
    probes_per_period: Count = 4
    suspicion_s: Seconds = 1.8
    suspicion_mult: Count = 3
    push_pull_s: Seconds = 15.0
    datagram_bytes: Count = 1_400


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one agent.

    homes is the number of agents that probe each target, watchers_per_zone
    how many agents of a zone watch the store, and connection_reserve the part
    of each target's connections kept back for VMs that have just been added.
    """

    node: NodeId
    zone: ZoneName
    http: Endpoint
    grpc: Endpoint
    gossip: Endpoint
    platform: PlatformSettings
    membership: MembershipSettings
    seeds: tuple[Endpoint, ...] = ()
    probe_s: Seconds = 1.0
    probes_per_s: Count = 200
    homes: Count = 32
    address_ttl_s: Seconds = 5.0
    watchers_per_zone: Count = 2
    connection_reserve: Fraction = 0.2
    seed: int | None = None


Settings = typing.TypeVar('Settings', EntrySettings, AgentSettings)


def load(path: str, settings_type: type[Settings]) -> Settings:
    """Read a YAML file and check every field; raise SettingsError."""
    # Imported here, so that a process whose settings are not YAML starts
    # sooner.
    import yaml

    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(
            path, '-', exc.strerror or str(exc), 'name a readable file'
        ) from exc
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        problem = ' '.join(str(exc).split())
        raise SettingsError(path, '-', problem, 'write valid YAML') from exc
    try:
        return msgspec.convert(data, settings_type)
    except msgspec.ValidationError as exc:
        raise _settings_error(path, data, exc) from exc


def _settings_error(
    path: str, data: object, exc: msgspec.ValidationError
) -> SettingsError:
    problem, _, location = str(exc).partition(' - at ')
    field = location.strip('`').removeprefix('$.') or '$'
    value = _value_at(data, field)
    return SettingsError(
        path, field, f'{problem} (found {value!r})', 'correct this field'
    )


def _value_at(data: object, field: str) -> object:
    value = data
    for name in field.split('.'):
        if not isinstance(value, dict) or name not in value:
            return value if field == '$' else None
        value = value[name]
    return value
