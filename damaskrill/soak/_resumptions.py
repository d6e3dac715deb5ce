"""Check that streams which callers take up go on about as often as new ones begin."""

from collections import defaultdict
from collections.abc import Callable, Sequence

from damaskrill.soak._budget import RouteHistory
from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import STREAM_PREFIXES, ServerRecord, Violation
from damaskrill.soak._disruptions import RECONNECT_S
from damaskrill.soak._excuses import Excuses
from damaskrill.soak._streams import read_events

__all__ = ["check_resumptions"]

STATUS_OK = 200
MIN_RESUMED = 12
MIN_SERVERS = 2
MIN_FRACTION = 0.5
# Time in which routers learn of a server, in seconds.
LEARNING_S = 1.0


def check_resumptions(
    exchanges: Sequence[Exchange],
    servers: Sequence[ServerRecord],
    routes: RouteHistory,
    excuses: Excuses,
    is_sound: Callable[[ServerRecord, float, float], bool],
) -> list[Violation]:
    """Return whether too few of the streams that callers took up went on.

    Parameters
    ----------
    exchanges : sequence of Exchange
        All requests.
    servers : sequence of ServerRecord
        Records of all servers.
    routes : RouteHistory
        Services of the routes.
    excuses : Excuses
        Whether routers were in touch.
    is_sound : callable
        Returns whether a server served all the while, without any fault.
    """
    writers = {each.server_id: each for each in servers}
    author_of: dict[str, ServerRecord] = {}
    tries: dict[str, list[Exchange]] = defaultdict(list)
    new = []
    for each in exchanges:
        if not each.path.startswith(STREAM_PREFIXES) or not each.ended_at:
            continue
        if each.is_fatal or not excuses.is_in_touch(
            each.router, each.sent_at, each.ended_at
        ):
            continue
        if each.resumes:
            tries[each.resumes].append(each)
        elif each.is_sent:
            new.append(each)
    for each in exchanges:
        events = read_events(each.body) if each.request_id in tries else None
        if events and events[0].author in writers:
            author_of[each.request_id] = writers[events[0].author]

    def is_servable(each: Exchange) -> bool:
        author = author_of.get(each.resumes)
        begin, end = each.sent_at - RECONNECT_S, each.ended_at
        if author is None or routes.services_of(each.path, begin, end) != {
            author.service
        }:
            return False
        able = [
            server
            for server in servers
            if (server.service, server.version) == (author.service, author.version)
            and is_sound(server, each.sent_at - LEARNING_S, end)
        ]
        return len(able) >= MIN_SERVERS

    resumed = []
    for group in tries.values():
        group = [each for each in group if is_servable(each)]
        if group:
            resumed.append(any(_goes_on(each) for each in group))
    if len(resumed) < MIN_RESUMED or not new:
        return []
    new_fraction = sum(_goes_on(each) for each in new) / len(new)
    fraction = sum(resumed) / len(resumed)
    if fraction >= MIN_FRACTION * new_fraction:
        return []
    detail = (
        f"{fraction:.2f} of {len(resumed)} go on, {new_fraction:.2f} new ones begin"
    )
    return [Violation(promise="resumptions", request_id="", detail=detail)]


def _goes_on(exchange: Exchange) -> bool:
    return exchange.status == STATUS_OK and exchange.n_events > 0
