"""Find limits of a configuration that contradict each other."""

from __future__ import annotations

import math
import typing

from ..serving.routes import Route
from ..serving.routes import Shards
from .problems import Configuration
from .problems import Kind
from .problems import Place
from .problems import Problem
from .problems import Section

# The default of the retry budget in the settings of nodes.
DEFAULT_RETRY_RATIO = 0.2
# Greater ratios allow more attempts than any route needs, and can't be told
# from each other below.
MAX_RETRY_RATIO = 100.0
# An attempt that fewer requests than this share can reach without exceeding
# the retry budget is considered useless.
USEFUL_ATTEMPT_SHARE = 0.01
# Covers rounding errors of a share of shards.
COVERAGE_TOLERANCE = 1e-9


def max_useful_attempts(retry_ratio: float) -> int:
    """Return the number of attempts that the retry budget can pay for.

    Where each attempt fails with probability p and is repeated without limit,
    a request has p / (1 - p) repeats on average. These equal retry_ratio at
    p = retry_ratio / (1 + retry_ratio). At this p, the share of requests that
    reach attempt n is p ** (n - 1).
    """
    if not retry_ratio > 0.0:
        return 1
    retry_ratio = min(retry_ratio, MAX_RETRY_RATIO)
    failing = retry_ratio / (1.0 + retry_ratio)
    return 1 + int(math.log(USEFUL_ATTEMPT_SHARE) / math.log(failing))


def in_route(
    index: int, route: Route, retry_ratio: float
) -> typing.Iterator[Problem]:
    """Return the problems of a route's time limits and attempts."""
    place = Place(Section.ROUTES, index)
    if route.timeout_s == 0:
        yield Problem(place._replace(field='timeout_s'), Kind.NO_TIME)
    elif route.timeout_s < route.objective_s:
        yield Problem(
            place._replace(field='timeout_s'),
            Kind.TIMEOUT_BELOW_OBJECTIVE,
            {
                'timeout_ms': 1_000 * route.timeout_s,
                'objective_ms': 1_000 * route.objective_s,
            },
        )
    useful = max_useful_attempts(retry_ratio)
    if route.max_attempts > useful:
        yield Problem(
            place._replace(field='max_attempts'),
            Kind.TOO_MANY_ATTEMPTS,
            {
                'attempts': route.max_attempts,
                'ratio': retry_ratio,
                'useful': useful,
            },
        )


def in_shards(index: int, shards: Shards) -> typing.Iterator[Problem]:
    """Return the problems of what a query needs for an answer."""
    place = Place(Section.ROUTES, index, 'min_coverage')
    coverage = shards.min_coverage
    different = len(set(shards.services))
    needed = math.ceil(coverage * len(shards.services) - COVERAGE_TOLERANCE)
    if coverage > 1:
        yield Problem(place, Kind.COVERAGE_ABOVE_1, {'coverage': coverage})
    elif coverage < 0:
        yield Problem(place, Kind.COVERAGE_BELOW_0, {'coverage': coverage})
    elif needed > different:
        yield Problem(
            place,
            Kind.COVERAGE_NOT_MET,
            {
                'coverage': coverage,
                'shards': len(shards.services),
                'different': different,
            },
        )
    if shards.top_k == 0:
        yield Problem(place._replace(field='top_k'), Kind.NO_RECORDS)


def in_organisation_limit(
    index: int, rate_per_s: float, burst: float
) -> typing.Iterator[Problem]:
    """Return the problem of an organisation's limit, if it has one."""
    place = Place(Section.ORGANISATIONS, index, 'burst')
    if burst and not rate_per_s:
        yield Problem(place, Kind.BURST_WITHOUT_RATE)
    elif burst < rate_per_s:
        yield Problem(
            place, Kind.BURST_BELOW_RATE, {'burst': burst, 'rate': rate_per_s}
        )


def in_caller_limits(config: Configuration) -> typing.Iterator[Problem]:
    """Return the time limits that cut off all callers."""
    for field in ('header_timeout_s', 'idle_timeout_s'):
        if config.limits is not None and getattr(config.limits, field) == 0:
            place = Place(Section.LIMITS, field=field)
            yield Problem(place, Kind.CALLERS_CUT_OFF)
