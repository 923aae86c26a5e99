"""Drive sesameward from the command line."""

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
from .interface import story
from .messages import StoredObject
from .metrics import Metrics
from .serving.http_caller import HttpCaller
from .settings import PlatformSettings
from .types import TargetId

PLATFORM = os.environ.get('SESAMEWARD_PLATFORM', '')
AGENT = os.environ.get('SESAMEWARD_AGENT', '')
CALLS_PER_S = 200.0
# A node answers such a call within milliseconds.
NODE_TIMEOUT_S = 3.0
READABLE = [*declared.KINDS, rollup.KIND]

Output = typing.Literal['table', 'json']
Row = dict[str, object]


class ExitCode(enum.IntEnum):
    """Tell scripts how a command ended."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    UNAVAILABLE = 3
    LAGGING = 4


def apply(
    *files: str,
    wait: float = 0.0,
    agent: str = AGENT,
    platform: str = PLATFORM,
    output: Output = 'table',
) -> ExitCode:
    """Write the declared objects of YAML files; --wait until in force."""

    async def run() -> ExitCode:
        items = operations.read(_some(files))
        if wait > 0.0:
            _need(agent, '--agent', 'HOST:PORT of any agent')
        async with _platform(platform) as client:
            result = await operations.Operations(client).apply(items)
        code = _show_applied(result, output)
        if code is not ExitCode.OK or wait <= 0.0:
            return code
        async with _fleet(agent) as fleet:
            lags = await _lags(fleet, result.unwrap(), wait)
        return _show_lags(lags)

    return _finish(run())


def validate(
    *files: str, platform: str = PLATFORM, output: Output = 'table'
) -> ExitCode:
    """Check YAML files, and against the store too if --platform is set."""

    async def run() -> ExitCode:
        items = operations.read(_some(files))
        if platform:
            async with _platform(platform) as client:
                await operations.Operations(client).plan(items)
        rows = [{'kind': declared.kind_of(i), 'name': i.name} for i in items]
        _show(rows, output)
        return ExitCode.OK

    return _finish(run())


def diff(
    *files: str, platform: str = PLATFORM, output: Output = 'table'
) -> ExitCode:
    """Show what apply would change; exit with 1 if anything."""

    async def run() -> ExitCode:
        items = operations.read(_some(files))
        async with _platform(platform) as client:
            steps = await operations.Operations(client).plan(items)
        changed = [step for step in steps if step.changes]
        if output == 'json':
            _show([_step_row(step) for step in changed], output)
        else:
            sys.stdout.writelines(
                line for step in changed for line in _diff_lines(step)
            )
        return ExitCode.REFUSED if changed else ExitCode.OK

    return _finish(run())


def get(
    kind: str,
    name: str = '',
    *,
    platform: str = PLATFORM,
    output: Output = 'table',
) -> ExitCode:
    """Show the stored objects of a kind, or one of them as YAML."""

    async def run() -> ExitCode:
        if kind not in READABLE:
            raise DeclarationError(
                'kind', f'unknown kind {kind!r}', f'use one of {READABLE}'
            )
        async with _platform(platform) as client:
            if not name:
                _, objects = await client.list(kind)
                _show([_stored_row(o) for o in objects], output)
                return ExitCode.OK
            stored = await client.get(kind, name)
        _show_object(stored, output)
        return ExitCode.OK

    return _finish(run())


def status(*, agent: str = AGENT, output: Output = 'table') -> ExitCode:
    """Show the revision in force on each node, and who lags."""

    async def run() -> ExitCode:
        async with _fleet(agent) as fleet:
            views = await fleet.views()
        newest = max((v.status.revision for v in views if v.status), default=0)
        _show([_view_row(view, newest) for view in views], output)
        return ExitCode.OK

    return _finish(run())


def members(*, agent: str = AGENT, output: Output = 'table') -> ExitCode:
    """Show the members as one agent knows them."""

    async def run() -> ExitCode:
        async with _fleet(agent) as fleet:
            known = await fleet.members()
        _show(
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

    return _finish(run())


def targets(*, agent: str = AGENT, output: Output = 'table') -> ExitCode:
    """Show the targets as one agent sees them."""

    async def run() -> ExitCode:
        async with _fleet(agent) as fleet:
            _show(await fleet.targets(), output)
        return ExitCode.OK

    return _finish(run())


def node(
    address: str,
    *,
    show: typing.Literal['status', 'members', 'targets', 'routes'] = 'status',
    output: Output = 'table',
) -> ExitCode:
    """Show what a node of the platform path believes, and how old it is.

    :param address: HOST:PORT of the node's metrics
    """

    async def run() -> ExitCode:
        status = await _node_status(address)
        if show == 'status':
            _show(
                [
                    {
                        'node': status['node'],
                        'version': status['version'],
                        'ready': status['ready'],
                        'leaving': status['leaving'],
                        **belief,
                    }
                    for belief in status['beliefs']
                ],
                output,
            )
        else:
            _show(status[show], output)
        return ExitCode.OK

    return _finish(run())


async def _node_status(address: str) -> dict[str, typing.Any]:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise DeclarationError(
            'address', f'is {address!r}', 'give HOST:PORT of a node'
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
            f'{address} answered {reply.status}; give its metrics address'
        )
    return msgspec.json.decode(reply.body)


def explain(
    request_id: str, *files: str, output: Output = 'table'
) -> ExitCode:
    """Tell a request's story from log files of nodes, or standard input."""
    if files:
        texts: list[str] = []
        for name in files:
            try:
                text = pathlib.Path(name).read_text(errors='replace')
            except OSError as exc:
                print(f'{name}: {exc.strerror}', file=sys.stderr)
                return ExitCode.INVALID
            texts += text.splitlines()
    else:
        texts = sys.stdin.read().splitlines()
    told = story.explain(request_id, story.read(texts))
    if not told:
        print(
            f'no line tells of {request_id}; name the logs of all nodes',
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    begun = told[0]['at']
    _show([_story_row(line, begun) for line in told], output)
    return ExitCode.OK


def _story_row(line: story.Line, begun: float) -> Row:
    rest = {
        key: value
        for key, value in line.items()
        if key not in ('at', 'node', 'event')
    }
    return {
        'after_s': round(line['at'] - begun, 3),
        'node': line.get('node'),
        'event': line['event'],
        'what': ' '.join(f'{key}={value}' for key, value in rest.items()),
    }


def drain(
    what: typing.Literal['target', 'node'],
    name: str,
    *,
    undo: bool = False,
    agent: str = AGENT,
    platform: str = PLATFORM,
) -> ExitCode:
    """Stop new work on a target or a node; --undo lets it work again.

    With --platform a target's drain is declared, so that it lasts; with
    --agent the agents tell it one another, also while the store is down.
    """

    async def run() -> ExitCode:
        if agent or not platform or what == 'node':
            async with _fleet(agent) as fleet:
                await fleet.drain({what: name}, not undo)
        if platform and what == 'target':
            async with _platform(platform) as client:
                ops = operations.Operations(client)
                await ops.drain(TargetId(name), not undo)
        return ExitCode.OK

    return _finish(run())


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


class _Closing:
    """Close a client at the end of a block."""

    def __init__(self, client):
        self._client = client

    async def __aenter__(self):
        return self._client

    async def __aexit__(self, *_) -> None:
        self._client.close()


def _platform(url: str) -> _Closing:
    _need(url, '--platform', 'the URL of the platform')
    cfg = PlatformSettings(url=url, calls_per_s=CALLS_PER_S)
    metrics = Metrics('ctl')
    return _Closing(PlatformClient(cfg, metrics, random.Random()))


def _fleet(agent: str) -> _Closing:
    _need(agent, '--agent', 'HOST:PORT of any agent')
    return _Closing(Fleet(agent))


def _need(value: str, option: str, what: str) -> None:
    if not value:
        raise DeclarationError(option, 'is not set', f'give {what}')


def _some(files: tuple[str, ...]) -> tuple[str, ...]:
    if not files:
        raise DeclarationError('FILES', 'are not named', 'name YAML files')
    return files


def _finish(run: collections.abc.Coroutine) -> ExitCode:
    try:
        return asyncio.run(run)
    except SesamewardError as exc:
        return _complain(exc)


def _complain(exc: Exception) -> ExitCode:
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


def _show_applied(
    result: Result[operations.Outcome, operations.Outcome], output: Output
) -> ExitCode:
    match result:
        case Failure(outcome):
            if outcome.applied:
                _show(_applied_rows(outcome), output)
            return _complain(outcome.error)
        case _:
            _show(_applied_rows(result.unwrap()), output)
            return ExitCode.OK


def _applied_rows(outcome: operations.Outcome) -> list[Row]:
    return [msgspec.structs.asdict(done) for done in outcome.applied]


async def _lags(
    fleet: Fleet, outcome: operations.Outcome, wait_s: float
) -> list[Lag]:
    try:
        return await fleet.wait(outcome.revision, wait_s)
    except (AgentRefusalError, PeerUnavailableError) as exc:
        return [Lag('all nodes', str(exc))]


def _show_lags(lags: list[Lag]) -> ExitCode:
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


def _show(rows: list[Row], output: Output) -> None:
    if output == 'json':
        sys.stdout.write(msgspec.json.encode(rows).decode() + '\n')
        return
    if not rows:
        print('none')
        return
    titles = list(dict.fromkeys(title for row in rows for title in row))
    table = [titles] + [[_cell(row.get(t)) for t in titles] for row in rows]
    widths = [max(map(len, column)) for column in zip(*table)]
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
        print('  '.join(padded).rstrip())


def _cell(value: object) -> str:
    match value:
        case None | '' | () | []:
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case list() | tuple():
            return ','.join(map(str, value))
        case _:
            return str(value)


def _show_object(stored: StoredObject, output: Output) -> None:
    fields = msgspec.json.decode(stored.value)
    if output == 'json':
        _show([_stored_row(stored) | {'fields': fields}], output)
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


def _view_row(view: NodeView, newest: int) -> Row:
    member, seen = view.member, view.status
    row: Row = {
        'node': member.node,
        'zone': member.zone,
        'state': member.state.value,
        'leaving': member.leaving,
    }
    if seen is None:
        return row | {'revision': None, 'lag': None, 'entries': 'no answer'}
    oldest = min([seen.revision, *(e.revision for e in seen.entries)])
    return row | {
        'revision': seen.revision,
        'lag': newest - oldest,
        'entries': [f'{e.address}@{e.revision}' for e in seen.entries],
        'rejected': [f'{r.kind}/{r.name}' for r in seen.rejected],
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


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand that the arguments name."""
    code = defopt.run(COMMANDS, argv=argv, short={'output': 'o'})
    sys.exit(code)


if __name__ == '__main__':
    main()
