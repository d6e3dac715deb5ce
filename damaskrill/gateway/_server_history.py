"""Servers that the store listed before this router read it."""

from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from damaskrill.catalog import BackendServer, CatalogItem, ServerItem
from damaskrill.feed import Change

__all__ = ["ServerHistory", "build_server_history"]

# Difference between the clocks of two hosts.
CLOCK_TOLERANCE_MS = 3_000


@frozen(kw_only=True)
class ServerHistory:
    """Servers that were listed within some time.

    Parameters
    ----------
    servers : mapping of str to tuple of BackendServer
        All of them, by service.
    duration_ms : float
        For how long they are known, in milliseconds.
    """

    servers: Mapping[str, tuple[BackendServer, ...]]
    duration_ms: float

    @property
    def n_servers(self) -> dict[str, int]:
        """Number of entries by service."""
        return {service: len(group) for service, group in self.servers.items()}


UNKNOWN_HISTORY = ServerHistory(servers={}, duration_ms=0.0)


def build_server_history(
    changes: Iterable[Change],
    items: Iterable[Change],
    *,
    decode: Callable[[str, bytes], CatalogItem],
    duration_ms: float,
    now_ms: float,
) -> ServerHistory:
    """Return which servers were listed, for no time if this is not known of all.

    Parameters
    ----------
    changes : iterable of Change
        Changes of servers' entries, oldest first.
    items : iterable of Change
        Items that are listed now.
    decode : callable
        Decodes an item from its key and value.
    duration_ms : float
        Time that the changes cover, in milliseconds.
    now_ms : float
        Unix time in milliseconds.

    Notes
    -----
    The removal of an entry that was not written within this time does not tell which
    software version the server had. A server that has started within this time, but
    whose entry is not among the changes, shows that the store has discarded some.
    """
    written = [*items, *changes]
    known = {each.key for each in written if each.value is not None}
    if any(each.value is None and each.key not in known for each in written):
        return UNKNOWN_HISTORY
    changed = {each.key for each in changes}
    earliest_ms = now_ms - duration_ms + CLOCK_TOLERANCE_MS
    servers: dict[str, list[BackendServer]] = {}
    for change in written:
        match decode(change.key, change.value or b""):
            case ServerItem(server=BackendServer() as server):
                if server.started_at_ms > earliest_ms and change.key not in changed:
                    return UNKNOWN_HISTORY
                servers.setdefault(server.service, []).append(server)
            case _:
                pass
    return ServerHistory(
        servers={service: tuple(group) for service, group in servers.items()},
        duration_ms=duration_ms,
    )
