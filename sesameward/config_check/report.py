"""Hold the result of a check and show it to an operator."""

from __future__ import annotations

import enum
import typing

import msgspec

from .differences import Difference


class Severity(enum.Enum):
    """Tell whether a node or the store would refuse the configuration."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(msgspec.Struct, frozen=True):
    """Describe a problem of a configuration.

    place is the path of the field.
    """

    severity: Severity
    place: str
    problem: str
    remedy: str


class Report(msgspec.Struct, frozen=True):
    """Hold the result of a check.

    version_in_force is None if it is not known.
    """

    version: int | None
    version_in_force: int | None
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(one.severity is severity for one in self.findings)

    @property
    def attentions(self) -> int:
        """Return the number of differences that need attention."""
        return sum(bool(one.attention) for one in self.differences)


def lines(report: Report) -> typing.Iterator[str]:
    """Return the lines that show a report to an operator."""
    for one in report.findings:
        yield f'{one.severity.value}: {one.place}: {one.problem}; {one.remedy}'
    for one in report.differences:
        line = f'{one.change.value}: {one.part}'
        line += f': {one.detail}' if one.detail else ''
        yield line + (f'; attention: {one.attention}' if one.attention else '')
    if report.version_in_force is None:
        comparison = 'not compared'
    else:
        comparison = f'compared with version {report.version_in_force}'
    version = 'unknown' if report.version is None else report.version
    yield (
        f'version {version}, {comparison}: '
        f'{report.count(Severity.ERROR)} errors, '
        f'{report.count(Severity.WARNING)} warnings, '
        f'{len(report.differences)} differences, '
        f'{report.attentions} of them need attention'
    )
