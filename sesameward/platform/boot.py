"""Read the settings file that the platform writes for a process."""

from __future__ import annotations

import math
import os
import pathlib
import resource
import typing

import msgspec

from . import addresses
from ..exceptions import SettingsError
from ..serving.caller_memory import DEFAULT_MAX_FDS
from ..serving.settings import Bounds
from ..serving.settings import NodeSettings
from ..settings import Endpoint
from ..settings import MembershipSettings
from ..types import NodeId
from ..types import ZoneName

SETTINGS_PATH_VARIABLE = 'SESAMEWARD_NODE_FILE'
DEFAULT_SETTINGS_PATH = '/etc/sesameward/boot.json'

# The platform removes the registration of a target after this many intervals
# without a sign of life.
HEARTBEATS_UNTIL_REMOVAL = 3
BYTES_PER_MBIT = 125_000

PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0.0)]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0.0)]


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Platform(msgspec.Struct):
    address: str


class _VmLimits(msgspec.Struct, frozen=True):
    memory_mb: PositiveInt = 300
    link_mbps: PositiveFloat = math.inf
    max_fds: PositiveInt = DEFAULT_MAX_FDS


class _Bounds(msgspec.Struct):
    retry_budget_ratio: float
    retry_budget_slack: float
    budget_window_s: PositiveFloat
    config_ms: PositiveFloat
    drain_ms: PositiveFloat
    grace_s: PositiveFloat
    ttl_max_s: PositiveFloat
    fail_closed: bool = False
    revoke_ms: PositiveFloat = 5_000.0
    warmup_overshoot: PositiveFloat | None = None
    warmup_slack: NonNegativeFloat = 5.0
    evac_ms: PositiveFloat | None = None
    quota_overshoot: NonNegativeFloat = 0.1
    quota_slack: NonNegativeFloat = 20.0
    quota_window_s: PositiveFloat = 5.0


class _Boot(msgspec.Struct):
    """Hold the fields of the settings file that a node uses.

    Other fields are ignored. zones maps each zone to its region.
    internal_ports are the first and the last port of the range reserved for
    traffic between nodes. seeds are addresses of other nodes; only their hosts
    are used, because all nodes gossip on the first internal port.
    heartbeat_ms is the interval at which targets renew their registrations.
    """

    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[PositiveInt, PositiveInt]
    platform: _Platform
    bounds: _Bounds
    seeds: tuple[str, ...] = ()
    limits: _VmLimits = _VmLimits()
    heartbeat_ms: PositiveFloat = 1_200.0


def settings_path() -> str:
    """Return the settings file's path from the environment or the default."""
    return os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)


def load(path: str) -> NodeSettings:
    """Read and check the settings file.

    Raise SettingsError if it can't be read or is not valid.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(
            path,
            '-',
            exc.strerror or str(exc),
            f'set {SETTINGS_PATH_VARIABLE} to the path of a readable file',
        ) from exc
    return parse(path, data)


def parse(path: str, data: bytes) -> NodeSettings:
    """Decode and check the settings; path is named in errors.

    Raise SettingsError if a field is missing or not valid.
    """
    try:
        boot = msgspec.json.decode(data, type=_Boot)
    except msgspec.ValidationError as exc:
        problem, _, json_path = str(exc).partition(' - at ')
        field = json_path.strip('`').removeprefix('$.') or '$'
        raise SettingsError(
            path, field, problem, 'correct this field'
        ) from exc
    except msgspec.DecodeError as exc:
        raise SettingsError(path, '-', str(exc), 'write valid JSON') from exc
    return _translate(path, boot)


def _translate(path: str, boot: _Boot) -> NodeSettings:
    port = boot.internal_ports[0]
    bounds = boot.bounds
    return NodeSettings(
        node=NodeId(boot.node),
        zone=ZoneName(boot.zone),
        callers=_parse_endpoint(path, 'listen.front', boot.listen.front),
        readiness=_parse_endpoint(path, 'listen.ready', boot.listen.ready),
        directory=_parse_endpoint(
            path, 'listen.directory', boot.listen.directory
        ),
        gossip=Endpoint(boot.ip, port),
        peer_port=port + 1,
        metrics_port=boot.internal_ports[1],
        store=_parse_endpoint(path, 'platform.address', boot.platform.address),
        # Gossip is encrypted, but the platform provides no secret for a key.
        # The list of zones is used instead: nodes of deployments with other
        # zones can't join, but whoever knows the zones can read the gossip.
        membership=MembershipSettings(
            keys=(','.join(sorted(boot.zones)),),
            probes_per_period=2,
        ),
        seeds=tuple(
            Endpoint(_parse_endpoint(path, 'seeds', seed).host, port)
            for seed in boot.seeds
        ),
        bounds=Bounds(
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            retry_window_s=bounds.budget_window_s,
            in_force_s=min(bounds.config_ms, bounds.drain_ms) / 1_000,
            grace_s=bounds.grace_s,
            address_ttl_s=bounds.ttl_max_s,
            registration_ttl_s=HEARTBEATS_UNTIL_REMOVAL
            * boot.heartbeat_ms
            / 1_000,
            refuses_stale_keys=bounds.fail_closed,
            max_keys_age_s=bounds.revoke_ms / 1_000,
            warmup_overshoot=bounds.warmup_overshoot,
            warmup_slack=bounds.warmup_slack,
            evac_s=None if bounds.evac_ms is None else bounds.evac_ms / 1_000,
            quota_overshoot=bounds.quota_overshoot,
            quota_slack=bounds.quota_slack,
            quota_window_s=bounds.quota_window_s,
        ),
        memory_bytes=boot.limits.memory_mb * 1_000_000,
        link_bytes_per_s=boot.limits.link_mbps * BYTES_PER_MBIT,
        max_fds=min(boot.limits.max_fds, _process_fds()),
    )


def _process_fds() -> int:
    """Return how many descriptors the system lets this process open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_MAX_FDS if soft == resource.RLIM_INFINITY else soft


def _parse_endpoint(path: str, field: str, text: str) -> Endpoint:
    try:
        return addresses.parse(text)
    except ValueError as exc:
        raise SettingsError(
            path, field, f'invalid address {text!r}', 'write it as IP:PORT'
        ) from exc


class SettingsFile:
    """Read the settings file and detect changes to it."""

    def __init__(self, path: str):
        self._path = path
        self._last_read = self._stat_file()

    def read(self) -> NodeSettings:
        """Read and check the settings file.

        Raise SettingsError if it can't be read or is not valid.
        """
        self._last_read = self._stat_file()
        return load(self._path)

    def changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return self._stat_file() != self._last_read

    def _stat_file(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._path)
        except FileNotFoundError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
