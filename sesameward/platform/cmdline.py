"""Run sesamewardctl with the commands that know the platform's objects."""

from __future__ import annotations

import asyncio
import enum
import pathlib
import sys
import urllib.parse

import msgspec

from .. import cmdline
from . import addresses
from . import config_check
from ..config_check.report import Finding
from ..config_check.report import lines
from ..config_check.report import Report
from ..config_check.report import Severity
from ..exceptions import PlatformError
from . import objects
from ..settings import Endpoint
from . import store

# The store normally answers within milliseconds.
STORE_TIMEOUT_S = 3.0
DEFAULT_STORE_PORT = 80


class CheckExitCode(enum.IntEnum):
    """Define the exit codes of check-config, for scripts."""

    FINE = 0
    ATTENTION = 1
    ERRORS = 2


class _Address(msgspec.Struct):
    store: Endpoint


def check_config(
    file: str,
    *,
    in_force: str = '',
    retry_ratio: float = config_check.DEFAULT_RETRY_RATIO,
    output: cmdline.Output = 'table',
) -> CheckExitCode:
    """Check a platform configuration before it is sent to the store.

    Exit with 0 if it is fine, with 1 if there are warnings or differences
    that need attention, and with 2 if there are errors. Keys are shown only
    as the first digits of their SHA-256.

    :param file: JSON file with the configuration; - reads standard input
    :param in_force: file, or IP:PORT or URL of the store, with the version in
        force to compare with
    :param retry_ratio: retry_budget_ratio of the nodes' settings
    """
    try:
        text = _read_file(file)
    except OSError as exc:
        return _report_unreadable('FILE', exc, output)
    current: bytes | None = None
    if in_force:
        try:
            current = _read_in_force(in_force)
        except (OSError, PlatformError) as exc:
            return _report_unreadable(
                '--in-force',
                exc,
                output,
                config_check.check(text, None, retry_ratio),
            )
    return _print_report(
        config_check.check(text, current, retry_ratio), output
    )


def _read_file(name: str) -> bytes:
    if name == '-':
        return sys.stdin.buffer.read()
    return pathlib.Path(name).read_bytes()


def _read_in_force(source: str) -> bytes | None:
    """Return the configuration in force; None if the store has none."""
    if pathlib.Path(source).exists():
        return _read_file(source)
    url = urllib.parse.urlsplit(source if '//' in source else f'//{source}')
    try:
        port = url.port or DEFAULT_STORE_PORT
        address = addresses.parse(f'{url.hostname}:{port}')
    except ValueError as exc:
        raise FileNotFoundError(
            0, 'no such file, and not IP:PORT or URL of a store', source
        ) from exc
    return asyncio.run(_fetch(address))


async def _fetch(address: Endpoint) -> bytes | None:
    calls = store.StoreCalls(_Address(address))
    try:
        _, found = await calls.list(objects.ROUTES_KIND, STORE_TIMEOUT_S)
    finally:
        calls.close()
    for stored in found:
        if stored.name == objects.ROUTES_NAME:
            return stored.value
    return None


def _report_unreadable(
    place: str,
    exc: Exception,
    output: cmdline.Output,
    report: Report | None = None,
) -> CheckExitCode:
    match exc:
        case OSError(filename=name, strerror=problem):
            problem = f'{name}: {problem}'
            remedy = (
                'name a file that can be read'
                if place == 'FILE'
                else 'name a file, or the store as IP:PORT'
            )
        case _:
            problem = f'the store gave no configuration: {exc}'
            remedy = 'check the address, or name a file with the version'
    finding = Finding(Severity.ERROR, place, problem, remedy)
    report = report or Report(None, None, ())
    return _print_report(
        msgspec.structs.replace(report, findings=(finding, *report.findings)),
        output,
    )


def _print_report(report: Report, output: cmdline.Output) -> CheckExitCode:
    errors = report.count(Severity.ERROR)
    warnings = report.count(Severity.WARNING)
    code = CheckExitCode.FINE
    if errors:
        code = CheckExitCode.ERRORS
    elif warnings or report.attentions:
        code = CheckExitCode.ATTENTION
    if output == 'json':
        fields = msgspec.to_builtins(report) | {'exit_code': int(code)}
        print(msgspec.json.encode(fields).decode())
        return code
    for line in lines(report):
        print(line)
    return code


COMMANDS = {'check-config': check_config}


def main(argv: list[str] | None = None) -> None:
    """Run the command that the arguments name; exit with its code."""
    cmdline.main(argv, COMMANDS)


if __name__ == '__main__':
    main()
