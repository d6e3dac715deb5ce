"""Checks of a whole run: repeats, deadlines, streams and interruptions."""

from collections.abc import Sequence

from damaskrill.soak._budget import RouteHistory, check_deadlines, check_repeats
from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import ServerRecord, Violation
from damaskrill.soak._excuses import Excuses
from damaskrill.soak._injection import EVACUATED_DATA_CENTRE, FaultInjector
from damaskrill.soak._interruptions import (
    check_closed_connections,
    check_interruptions,
)
from damaskrill.soak._repeats import RepeatBudget
from damaskrill.soak._resumptions import check_resumptions
from damaskrill.soak._servers import N_EVENTS
from damaskrill.soak._streams import check_streams

__all__ = ["check_fleet_rules"]


def check_fleet_rules(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    injector: FaultInjector,
    excuses: Excuses,
) -> list[Violation]:
    """Return the violations of guarantees about the fleet.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    injector : FaultInjector
        What was injected.
    excuses : Excuses
        Times of faults and of planned work.
    """
    routes = RouteHistory(versions=injector.route_services)

    def is_sound(server: ServerRecord, begin: float, end: float) -> bool:
        is_out = server.data_centre == EVACUATED_DATA_CENTRE and any(
            a <= end and b >= begin for a, b in injector.evacuations
        )
        is_limited = any(
            period.server_id == server.server_id
            and period.begin <= end
            and period.end >= begin
            for period in injector.servers.limit_periods
        )
        is_disrupted = excuses.is_server_disrupted([server.server_id], begin, end)
        serves = server.serving[0] <= begin and server.serving[1] >= end
        return serves and not (is_out or is_limited or is_disrupted)

    return [
        *check_repeats(exchanges, servers, routes, RepeatBudget()),
        *check_deadlines(exchanges, servers, excuses),
        *check_streams(exchanges, servers, N_EVENTS),
        *check_resumptions(exchanges, servers, routes, excuses, is_sound),
        *check_closed_connections(exchanges, servers, excuses),
        *check_interruptions(exchanges, servers, excuses),
    ]
