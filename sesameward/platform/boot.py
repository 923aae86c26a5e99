"""Read the settings that the platform writes for a process."""

from __future__ import annotations

import os
import pathlib
import typing

import msgspec

from ..exceptions import SettingsError
from ..serving.settings import Bounds
from ..serving.settings import NodeSettings
from ..settings import Endpoint
from ..settings import MembershipSettings
from ..types import NodeId
from ..types import ZoneName

PATH_VARIABLE = 'SESAMEWARD_NODE_FILE'
DEFAULT_PATH = '/etc/sesameward/boot.json'

Natural = typing.Annotated[int, msgspec.Meta(ge=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: Natural = 300


class _Bounds(msgspec.Struct):
    retry_budget_ratio: float
    retry_budget_slack: float
    budget_window_s: Positive
    config_ms: Positive
    drain_ms: Positive
    grace_s: Positive
    ttl_max_s: Positive


class _Boot(msgspec.Struct):
    """Hold the fields that are used; others are ignored.

    zones maps each zone to its region. internal_ports are the first and the
    last port for the nodes' own traffic. seeds are addresses of the control
    role, of which only the host says where another node is.
    """

    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[Natural, Natural]
    platform: _Platform
    bounds: _Bounds
    seeds: tuple[str, ...] = ()
    limits: _Limits = _Limits()


def path() -> str:
    """Return where the settings file is."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(name: str) -> NodeSettings:
    """Read the settings file; raise SettingsError."""
    try:
        data = pathlib.Path(name).read_bytes()
    except OSError as exc:
        raise SettingsError(
            name,
            '-',
            exc.strerror or str(exc),
            f'let {PATH_VARIABLE} name a readable file',
        ) from exc
    return parse(name, data)


def parse(name: str, data: bytes) -> NodeSettings:
    """Check the settings; raise SettingsError."""
    try:
        boot = msgspec.json.decode(data, type=_Boot)
    except msgspec.ValidationError as exc:
        problem, _, where = str(exc).partition(' - at ')
        field = where.strip('`').removeprefix('$.') or '$'
        raise SettingsError(
            name, field, problem, 'correct this field'
        ) from exc
    except msgspec.DecodeError as exc:
        raise SettingsError(name, '-', str(exc), 'write valid JSON') from exc
    return _translate(name, boot)


def _translate(name: str, boot: _Boot) -> NodeSettings:
    port = boot.internal_ports[0]
    bounds = boot.bounds
    return NodeSettings(
        node=NodeId(boot.node),
        zone=ZoneName(boot.zone),
        callers=_endpoint(name, 'listen.front', boot.listen.front),
        readiness=_endpoint(name, 'listen.ready', boot.listen.ready),
        directory=_endpoint(name, 'listen.directory', boot.listen.directory),
        gossip=Endpoint(boot.ip, port),
        peer_port=port + 1,
        metrics_port=boot.internal_ports[1],
        store=_endpoint(name, 'platform.address', boot.platform.address),
        # The platform hands out no secret; this keeps deployments apart.
        membership=MembershipSettings(
            keys=(','.join(sorted(boot.zones)),),
            probes_per_period=2,
        ),
        seeds=tuple(
            Endpoint(_endpoint(name, 'seeds', seed).host, port)
            for seed in boot.seeds
        ),
        bounds=Bounds(
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            retry_window_s=bounds.budget_window_s,
            in_force_s=min(bounds.config_ms, bounds.drain_ms) / 1_000,
            grace_s=bounds.grace_s,
            address_ttl_s=bounds.ttl_max_s,
        ),
        memory_bytes=boot.limits.memory_mb * 1_000_000,
    )


def _endpoint(name: str, field: str, text: str) -> Endpoint:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > 65_535:
        raise SettingsError(
            name, field, f'is {text!r}', 'write an address as HOST:PORT'
        )
    return Endpoint(host, int(port))


class SettingsFile:
    """Read the settings again when the file has changed."""

    def __init__(self, name: str):
        self._name = name
        self._stamp = self._look()

    def read(self) -> NodeSettings:
        """Read the settings; raise SettingsError."""
        self._stamp = self._look()
        return load(self._name)

    def changed(self) -> bool:
        """Tell whether the file differs from the one last read."""
        return self._look() != self._stamp

    def _look(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._name)
        except FileNotFoundError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
