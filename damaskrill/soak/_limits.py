"""Check of the requests that servers get while they state a rate limit."""

from collections.abc import Collection, Sequence

from attrs import frozen

from damaskrill.soak._checks import ServerRecord, Violation

__all__ = ["LIMIT_PER_S", "LimitPeriod", "check_limits"]

# Limit that servers state, in requests per second.
LIMIT_PER_S = 1.0
# Time after the first answer with the limit from which it binds, and length of the
# windows in which requests are counted, in seconds.
CONTACT_S = 3.0
WINDOW_S = 4.0
# The users allow this multiple of the limit in each window, and some requests more.
MAX_MULTIPLE = 1.5
MAX_ADDEND = 5


@frozen(kw_only=True)
class LimitPeriod:
    """Time for which a server stated a limit.

    Parameters
    ----------
    server_id : str
        ID of the server.
    begin, end : float
        Times on the monotonic clock, in seconds.
    """

    server_id: str
    begin: float
    end: float


def check_limits(
    period: LimitPeriod, server: ServerRecord, unaffected_ids: Collection[str]
) -> list[Violation]:
    """Return whether a server got more requests than it had stated that it takes.

    Parameters
    ----------
    period : LimitPeriod
        Time for which the server stated the limit.
    server : ServerRecord
        Record of the server.
    unaffected_ids : collection of str
        Requests whose router was neither killed nor paused since shortly before.
    """
    times = [at for at, _ in server.arrivals if period.begin <= at <= period.end]
    if not times:
        return []
    binds_from = min(times) + CONTACT_S
    counted = [
        at
        for at, request_id in server.arrivals
        if binds_from <= at <= period.end and request_id in unaffected_ids
    ]
    most = max((_n_within(counted, start) for start in counted), default=0)
    if most <= MAX_MULTIPLE * LIMIT_PER_S * WINDOW_S + MAX_ADDEND:
        return []
    detail = f"{server.server_id} got {most} requests in {WINDOW_S:.0f} s"
    return [Violation(promise="limit", request_id="", detail=detail)]


def _n_within(times: Sequence[float], start: float) -> int:
    return sum(start <= at < start + WINDOW_S for at in times)
