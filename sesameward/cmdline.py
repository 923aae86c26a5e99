"""Implement sesamewardctl, the operators' command line."""

from __future__ import annotations

import asyncio
import collections.abc
import difflib
import enum
import os
import pathlib
import random
import sys
import typing

import defopt
import msgspec
from returns.result import Failure
from returns.result import Result
import yaml

from .clients.fleet import Fleet
from .clients.fleet import Lag
from .clients.fleet import NodeView
from .configuration import declared
from .configuration import operations
from .configuration.platform_client import PlatformClient
from .controllers import rollup
from .exceptions import AgentRefusalError
from .exceptions import ConflictError
from .exceptions import DeclarationError
from .exceptions import NotFoundError
from .exceptions import PeerUnavailableError
from .exceptions import PlatformError
from .exceptions import ReferencedError
from .exceptions import SesamewardError
from .interface import request_log
from .messages import StoredObject
from .metrics import Metrics
from .serving.http_caller import HttpCaller
from .settings import PlatformSettings
from .types import TargetId

DEFAULT_PLATFORM = os.environ.get('SESAMEWARD_PLATFORM', '')
DEFAULT_AGENT = os.environ.get('SESAMEWARD_AGENT', '')
CALLS_PER_S = 200.0
# A node normally answers GET /status within milliseconds.
NODE_TIMEOUT_S = 3.0
READABLE_KINDS = [*declared.KINDS, rollup.LEASE_KIND]

Output = typing.Literal['table', 'json']
Row = dict[str, object]


class ExitCode(enum.IntEnum):
    """Define the exit codes of sesamewardctl, for scripts."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    UNAVAILABLE = 3
    LAGGING = 4


def apply(
    *files: str,
    wait: float = 0.0,
    agent: str = DEFAULT_AGENT,
    platform: str = DEFAULT_PLATFORM,
    output: Output = 'table',
) -> ExitCode:
    """Write the declared objects of YAML files to the store.

    With --wait, also wait until all nodes have them in force. If some nodes
    still lag after that time, name them and exit with 4.

    :param files: YAML files with declared objects
    :param wait: seconds to wait until the objects are in force
    :param agent: HOST:PORT of any agent's HTTP interface (SESAMEWARD_AGENT)
    :param platform: URL of the platform (SESAMEWARD_PLATFORM)
    """

    async def run() -> ExitCode:
        items = operations.read(_require_files(files))
        if wait > 0.0:
            _require_option(agent, '--agent', 'HOST:PORT of any agent')
        async with _platform_client(platform) as client:
            result = await operations.Operations(client).apply(items)
        code = _print_applied(result, output)
        if code is not ExitCode.OK or wait <= 0.0:
            return code
        async with _fleet_client(agent) as fleet:
            lags = await _wait_until_in_force(fleet, result.unwrap(), wait)
        return _print_lags(lags)

    return _run_command(run())


def validate(
    *files: str, platform: str = DEFAULT_PLATFORM, output: Output = 'table'
) -> ExitCode:
    """Check YAML files, and with --platform also against stored objects.

    :param files: YAML files with declared objects
    :param platform: URL of the platform (SESAMEWARD_PLATFORM)
    """

    async def run() -> ExitCode:
        items = operations.read(_require_files(files))
        if platform:
            async with _platform_client(platform) as client:
                await operations.Operations(client).plan(items)
        rows = [{'kind': declared.kind_of(i), 'name': i.name} for i in items]
        _print_rows(rows, output)
        return ExitCode.OK

    return _run_command(run())


def diff(
    *files: str, platform: str = DEFAULT_PLATFORM, output: Output = 'table'
) -> ExitCode:
    """Show what apply would change; exit with 1 if there is any change.

    :param files: YAML files with declared objects
    :param platform: URL of the platform (SESAMEWARD_PLATFORM)
    """

    async def run() -> ExitCode:
        items = operations.read(_require_files(files))
        async with _platform_client(platform) as client:
            steps = await operations.Operations(client).plan(items)
        changed = [step for step in steps if step.has_changes]
        if output == 'json':
            _print_rows([_step_row(step) for step in changed], output)
        else:
            sys.stdout.writelines(
                line for step in changed for line in _diff_lines(step)
            )
        return ExitCode.REFUSED if changed else ExitCode.OK

    return _run_command(run())


def get(
    kind: str,
    name: str = '',
    *,
    platform: str = DEFAULT_PLATFORM,
    output: Output = 'table',
) -> ExitCode:
    """List the stored objects of a kind, or show one of them as YAML.

    :param kind: kind of the objects, such as service or pool
    :param name: name of the object to show; without it all are listed
    :param platform: URL of the platform (SESAMEWARD_PLATFORM)
    """

    async def run() -> ExitCode:
        if kind not in READABLE_KINDS:
            raise DeclarationError(
                'kind',
                f'unknown kind {kind!r}',
                f'use one of {READABLE_KINDS}',
            )
        async with _platform_client(platform) as client:
            if not name:
                _, objects = await client.list(kind)
                _print_rows([_stored_row(o) for o in objects], output)
                return ExitCode.OK
            stored = await client.get(kind, name)
        _print_object(stored, output)
        return ExitCode.OK

    return _run_command(run())


def status(
    *, agent: str = DEFAULT_AGENT, output: Output = 'table'
) -> ExitCode:
    """Show the revision in force on each node and how far it lags.

    :param agent: HOST:PORT of any agent's HTTP interface (SESAMEWARD_AGENT)
    """

    async def run() -> ExitCode:
        async with _fleet_client(agent) as fleet:
            views = await fleet.node_views()
        newest = max((v.status.revision for v in views if v.status), default=0)
        _print_rows([_node_row(view, newest) for view in views], output)
        return ExitCode.OK

    return _run_command(run())


def members(
    *, agent: str = DEFAULT_AGENT, output: Output = 'table'
) -> ExitCode:
    """Show the members that one agent knows, and their states.

    :param agent: HOST:PORT of any agent's HTTP interface (SESAMEWARD_AGENT)
    """

    async def run() -> ExitCode:
        async with _fleet_client(agent) as fleet:
            known = await fleet.members()
        _print_rows(
            [
                {
                    'node': m.node,
                    'zone': m.zone,
                    'state': m.state.value,
                    'leaving': m.leaving,
                    'host': m.host,
                    'http_port': m.http_port,
                    'entries': [f'{e.host}:{e.port}' for e in m.entries],
                }
                for m in known
            ],
            output,
        )
        return ExitCode.OK

    return _run_command(run())


def targets(
    *, agent: str = DEFAULT_AGENT, output: Output = 'table'
) -> ExitCode:
    """Show the targets that one agent probes, and their states.

    :param agent: HOST:PORT of any agent's HTTP interface (SESAMEWARD_AGENT)
    """

    async def run() -> ExitCode:
        async with _fleet_client(agent) as fleet:
            _print_rows(await fleet.targets(), output)
        return ExitCode.OK

    return _run_command(run())


def node(
    address: str,
    *,
    show: typing.Literal['status', 'members', 'targets', 'routes'] = 'status',
    output: Output = 'table',
) -> ExitCode:
    """Show the routing state that one node has, and its age.

    :param address: HOST:PORT of the node's metrics
    :param show: what to show; status is the age of each kind of object
    """

    async def run() -> ExitCode:
        status = await _node_status(address)
        if show == 'status':
            _print_rows(
                [
                    {
                        'node': status['node'],
                        'version': status['version'],
                        'ready': status['ready'],
                        'leaving': status['leaving'],
                        'links': status['links'],
                        **belief,
                    }
                    for belief in status['beliefs']
                ],
                output,
            )
        else:
            _print_rows(status[show], output)
        return ExitCode.OK

    return _run_command(run())


async def _node_status(address: str) -> dict[str, typing.Any]:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise DeclarationError(
            'address',
            f'{address!r} is not HOST:PORT',
            "give HOST:PORT of a node's metrics",
        )
    caller = HttpCaller(host, int(port))
    try:
        reply = await caller.call(
            f'GET /status HTTP/1.1\r\nHost: {address}\r\n\r\n'.encode(),
            NODE_TIMEOUT_S,
        )
    finally:
        caller.close()
    if reply.status != 200:
        raise PlatformError(
            f'{address} answered GET /status with HTTP {reply.status}; '
            "give HOST:PORT of a node's metrics"
        )
    return msgspec.json.decode(reply.body)


def explain(
    request_id: str, *files: str, output: Output = 'table'
) -> ExitCode:
    """Show the log events that explain what happened to one request.

    :param request_id: id of the request in the logs
    :param files: log files of all nodes; without them read standard input
    """
    if files:
        log_lines: list[str] = []
        for name in files:
            try:
                text = pathlib.Path(name).read_text(errors='replace')
            except OSError as exc:
                print(f'{name}: {exc.strerror}', file=sys.stderr)
                return ExitCode.INVALID
            log_lines += text.splitlines()
    else:
        log_lines = sys.stdin.read().splitlines()
    lines = request_log.explain(request_id, request_log.parse_lines(log_lines))
    if not lines:
        print(
            f'no log line is about request {request_id}; '
            'name the log files of all nodes',
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    started_at = lines[0]['at']
    _print_rows([_story_row(line, started_at) for line in lines], output)
    return ExitCode.OK


def _story_row(line: request_log.LogLine, started_at: float) -> Row:
    rest = {
        key: value
        for key, value in line.items()
        if key not in ('at', 'node', 'event')
    }
    return {
        'after_s': round(line['at'] - started_at, 3),
        'node': line.get('node'),
        'event': line['event'],
        'what': ' '.join(f'{key}={value}' for key, value in rest.items()),
    }


def drain(
    what: typing.Literal['target', 'node'],
    name: str,
    *,
    undo: bool = False,
    agent: str = DEFAULT_AGENT,
    platform: str = DEFAULT_PLATFORM,
) -> ExitCode:
    """Stop new work on a target or a node; --undo lets a target work again.

    With --platform the drain of a target is stored, so that it lasts; with
    --agent the agents pass it on to one another, which works while the store
    is down as well. A node is always drained by its agent.

    :param what: what to drain
    :param name: id of the target, or name of the node
    :param undo: end the drain of a target
    :param agent: HOST:PORT of any agent's HTTP interface (SESAMEWARD_AGENT)
    :param platform: URL of the platform (SESAMEWARD_PLATFORM)
    """

    async def run() -> ExitCode:
        if agent or not platform or what == 'node':
            async with _fleet_client(agent) as fleet:
                await fleet.drain({what: name}, not undo)
        if platform and what == 'target':
            async with _platform_client(platform) as client:
                ops = operations.Operations(client)
                await ops.drain(TargetId(name), not undo)
        return ExitCode.OK

    return _run_command(run())


COMMANDS = {
    function.__name__: function
    for function in (
        apply,
        get,
        diff,
        validate,
        status,
        members,
        targets,
        drain,
        node,
        explain,
    )
}


class _ClientContext:
    """Close a client at the end of an async with block."""

    def __init__(self, client):
        self._client = client

    async def __aenter__(self):
        return self._client

    async def __aexit__(self, *_) -> None:
        self._client.close()


def _platform_client(url: str) -> _ClientContext:
    _require_option(url, '--platform', 'the URL of the platform')
    cfg = PlatformSettings(url=url, calls_per_s=CALLS_PER_S)
    metrics = Metrics('ctl')
    return _ClientContext(PlatformClient(cfg, metrics, random.Random()))


def _fleet_client(agent: str) -> _ClientContext:
    _require_option(agent, '--agent', 'HOST:PORT of any agent')
    return _ClientContext(Fleet(agent))


def _require_option(value: str, option: str, what: str) -> None:
    if not value:
        raise DeclarationError(option, 'is not set', f'give {what}')


def _require_files(files: tuple[str, ...]) -> tuple[str, ...]:
    if not files:
        raise DeclarationError('FILES', 'are missing', 'name YAML files')
    return files


def _run_command(run: collections.abc.Coroutine) -> ExitCode:
    try:
        return asyncio.run(run)
    except SesamewardError as exc:
        return _report_error(exc)


def _report_error(exc: Exception) -> ExitCode:
    print(f'sesamewardctl: {exc}', file=sys.stderr)
    match exc:
        case ReferencedError() | ConflictError() | NotFoundError():
            return ExitCode.REFUSED
        case AgentRefusalError():
            return ExitCode.REFUSED
        case PlatformError() | PeerUnavailableError():
            return ExitCode.UNAVAILABLE
        case _:
            return ExitCode.INVALID


def _print_applied(
    result: Result[operations.Outcome, operations.Outcome], output: Output
) -> ExitCode:
    match result:
        case Failure(outcome):
            if outcome.applied:
                _print_rows(_applied_rows(outcome), output)
            return _report_error(outcome.error)
        case _:
            _print_rows(_applied_rows(result.unwrap()), output)
            return ExitCode.OK


def _applied_rows(outcome: operations.Outcome) -> list[Row]:
    return [msgspec.structs.asdict(applied) for applied in outcome.applied]


async def _wait_until_in_force(
    fleet: Fleet, outcome: operations.Outcome, wait_s: float
) -> list[Lag]:
    try:
        return await fleet.wait_in_force(outcome.revision, wait_s)
    except (AgentRefusalError, PeerUnavailableError) as exc:
        return [Lag('all nodes', str(exc))]


def _print_lags(lags: list[Lag]) -> ExitCode:
    if not lags:
        return ExitCode.OK
    for lag in lags:
        print(f'{lag.where}: {lag.reason}', file=sys.stderr)
    print(
        'sesamewardctl: applied, but not known to be in force everywhere; '
        'run the command again or look at the nodes named above',
        file=sys.stderr,
    )
    return ExitCode.LAGGING


def _print_rows(rows: list[Row], output: Output) -> None:
    if output == 'json':
        sys.stdout.write(msgspec.json.encode(rows).decode() + '\n')
        return
    if not rows:
        print('none')
        return
    titles = list(dict.fromkeys(title for row in rows for title in row))
    table = [titles] + [
        [_format_cell(row.get(t)) for t in titles] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*table)]
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
        print('  '.join(padded).rstrip())


def _format_cell(value: object) -> str:
    match value:
        case None | '' | () | []:
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case list() | tuple():
            return ','.join(map(str, value))
        case _:
            return str(value)


def _print_object(stored: StoredObject, output: Output) -> None:
    fields = msgspec.json.decode(stored.value)
    if output == 'json':
        _print_rows([_stored_row(stored) | {'fields': fields}], output)
        return
    print(f'# revision {stored.revision}, change {stored.change}')
    print(_as_yaml(stored.kind, fields), end='')


def _stored_row(stored: StoredObject) -> Row:
    return {
        'kind': stored.kind,
        'name': stored.name,
        'revision': stored.revision,
        'change': stored.change,
        'bytes': len(stored.value),
    }


def _node_row(view: NodeView, newest: int) -> Row:
    member, node_status = view.member, view.status
    row: Row = {
        'node': member.node,
        'zone': member.zone,
        'state': member.state.value,
        'leaving': member.leaving,
    }
    if node_status is None:
        return row | {'revision': None, 'lag': None, 'entries': 'no answer'}
    oldest = min(
        [node_status.revision, *(e.revision for e in node_status.entries)]
    )
    return row | {
        'revision': node_status.revision,
        'lag': newest - oldest,
        'entries': [f'{e.address}@{e.revision}' for e in node_status.entries],
        'rejected': [f'{r.kind}/{r.name}' for r in node_status.rejected],
    }


def _step_row(step: operations.Step) -> Row:
    kind, name = step.key
    return {'kind': kind, 'name': name, 'replaces': step.expected}


def _diff_lines(step: operations.Step) -> list[str]:
    kind, name = step.key
    before = _declared_lines(step.before)
    after = _declared_lines(step.item)
    return list(
        difflib.unified_diff(
            before, after, f'stored/{kind}/{name}', f'file/{kind}/{name}'
        )
    )


def _declared_lines(item: declared.Declared | None) -> list[str]:
    if item is None:
        return []
    fields = msgspec.to_builtins(item)
    text = _as_yaml(declared.kind_of(item), fields)
    return text.splitlines(keepends=True)


def _as_yaml(kind: str, fields: dict[str, object]) -> str:
    return yaml.safe_dump({'kind': kind, **fields}, sort_keys=False)


def main(
    argv: list[str] | None = None,
    more_commands: dict[str, collections.abc.Callable] | None = None,
) -> None:
    """Run the command that the arguments name; exit with its code.

    more_commands are commands of modules that this one may not import.
    """
    commands = COMMANDS | (more_commands or {})
    sys.exit(defopt.run(commands, argv=argv, short={'output': 'o'}))


if __name__ == '__main__':
    main()
