"""Builders of the records that the checks of the soak test read."""

from damaskrill.soak._budget import RouteHistory
from damaskrill.soak._callers import Exchange
from damaskrill.soak._checks import ServerRecord
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._excuses import Excuses

__all__ = [
    "ROUTES",
    "WRITERS",
    "build_exchange",
    "build_excuses",
    "build_stream",
]


def build_exchange(path="/issue/1", **changes):
    """Return a request that router 0 answered between 1 and 2 s."""
    values = {
        "request_id": "q9",
        "path": path,
        "key": "key-1",
        "router": 0,
        "sent_at": 1.0,
        "ended_at": 2.0,
        "status": 200,
        "body": b"q9",
        "is_complete": True,
    }
    return Exchange(**{**values, **changes})


def build_excuses(disruptions=None, starts=()):
    """Return the excuses by some faults and starts of all routers."""
    return Excuses(
        disruptions=disruptions or Disruptions(), starts_of=lambda router: starts
    )


def build_stream(events="", path="/check/1", **changes):
    """Return a stream with events such as "a1 b2": the author and the number."""
    body = b"".join(
        b"id: %d\ndata: token-%d %b\n\n" % (number, number, author)
        for author, number in (
            (each[:1].encode(), int(each[1:])) for each in events.split()
        )
    )
    return build_exchange(path, body=body, is_sent=True, **changes)


# Servers a and b of one version and c of another, each of the service of streams.
WRITERS = [
    ServerRecord(
        server_id=server_id, runs={}, arrivals=(), service="pool", version=version
    )
    for server_id, version in (("a", "v1"), ("b", "v1"), ("c", "v2"))
]


ROUTES = RouteHistory(
    versions=((0.0, {"/check/": "pool", "/read/": "app"}), (90.0, {"/read/": "pool"}))
)
