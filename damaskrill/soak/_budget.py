"""Checks of the repeats that services get, and of the time that servers are given."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Mapping, Sequence

from attrs import frozen

from damaskrill.soak._callers import DEADLINE_MS, Exchange
from damaskrill.soak._checks import STREAM_PREFIXES, ServerRecord, Violation
from damaskrill.soak._excuses import Excuses
from damaskrill.soak._repeats import RepeatBudget, find_worst_window

__all__ = ["RouteHistory", "check_deadlines", "check_repeats"]

SLACK_S = 0.5
MAX_LONG_DEADLINES = 20
MAX_LONG_FRACTION = 0.2


@frozen(kw_only=True)
class RouteHistory:
    """Services of the routes over time.

    Parameters
    ----------
    versions : sequence of (float, mapping of str to str)
        Times at which a version was written, on the monotonic clock in seconds and in
        order, and the service of each prefix in it.
    """

    versions: Sequence[tuple[float, Mapping[str, str]]]

    def services_of(self, path: str, begin: float, end: float) -> set[str]:
        """Return the services of a path's route in the versions of a period."""
        first = bisect_right([at for at, _ in self.versions], begin)
        recent = self.versions[max(0, first - 1) : first]
        newer = [each for each in self.versions[first:] if each[0] <= end]
        return {
            service
            for _, routes in (*recent, *newer)
            for prefix, service in routes.items()
            if path.startswith(prefix)
        }


def check_repeats(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    routes: RouteHistory,
    budget: RepeatBudget,
) -> list[Violation]:
    """Return the services that got more repeats than the budget allows.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests. One that arrived counts for the services at whose servers it did,
        any other one for the service of its route at that time.
    servers : sequence of ServerRecord
        Records of all servers.
    routes : RouteHistory
        Services of the routes.
    budget : RepeatBudget
        What a service may get from all routers.
    """
    arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
    services_of: dict[str, set[str]] = defaultdict(set)
    for server in servers:
        arrivals[server.service] += server.arrivals
        for _, request_id in server.arrivals:
            services_of[request_id].add(server.service)
    sent_at: dict[str, list[float]] = defaultdict(list)
    for each in exchanges:
        if not each.is_sent:
            continue
        services = services_of.get(each.request_id)
        for service in services or routes.services_of(
            each.path, each.sent_at, each.sent_at
        ):
            sent_at[service].append(each.sent_at)
    violations = []
    for service, times in sorted(arrivals.items()):
        worst = find_worst_window(sent_at[service], times, budget)
        if worst is not None and worst.n_excess > 0:
            detail = (
                f"{service} got {worst.n_repeats} repeats in the {budget.window_s:g} s "
                f"to {worst.ends_at:.2f}, {worst.n_allowed:.1f} allowed"
            )
            violations.append(
                Violation(promise="repeats", request_id="", detail=detail)
            )
    return violations


def check_deadlines(
    exchanges: Sequence[Exchange], servers: Sequence[ServerRecord], excuses: Excuses
) -> list[Violation]:
    """Return whether servers were given more time than was left, too often.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests; streams don't count.
    servers : sequence of ServerRecord
        Records of all servers.
    excuses : Excuses
        Whether routers were in touch.
    """
    arrivals: dict[str, list[tuple[float, int | None]]] = defaultdict(list)
    for server in servers:
        for at, request_id, deadline_ms in server.deadlines:
            arrivals[request_id].append((at, deadline_ms))
    n_long = n_late = 0
    example = ""
    for each in exchanges:
        times = sorted(arrivals.get(each.request_id, ()), key=lambda pair: pair[0])
        is_stream = each.path.startswith(STREAM_PREFIXES)
        if is_stream or not times:
            continue
        if not excuses.is_in_touch(each.router, each.sent_at, times[-1][0]):
            continue
        for at, deadline_ms in times:
            is_late = at > times[0][0] + SLACK_S
            is_long = _is_too_long(each, times[0], (at, deadline_ms), is_late=is_late)
            n_long += is_long
            n_late += is_late and not is_long
            if is_long and not example:
                example = f"{each.request_id} with {deadline_ms} ms"
    if n_long <= max(MAX_LONG_DEADLINES, MAX_LONG_FRACTION * (n_long + n_late)):
        return []
    detail = f"{n_long} arrivals, the first {example}, beside {n_late} late ones"
    return [Violation(promise="deadline", request_id="", detail=detail)]


def _is_too_long(
    exchange: Exchange,
    first: tuple[float, int | None],
    arrival: tuple[float, int | None],
    *,
    is_late: bool,
) -> bool:
    at, deadline_ms = arrival
    if deadline_ms is None or deadline_ms > DEADLINE_MS + SLACK_S * 1_000:
        return True
    first_ends_at = first[0] + (first[1] or 0) / 1_000
    caller_ends_at = exchange.sent_at + DEADLINE_MS / 1_000
    return is_late and at + deadline_ms / 1_000 > SLACK_S + max(
        first_ends_at, caller_ends_at
    )
