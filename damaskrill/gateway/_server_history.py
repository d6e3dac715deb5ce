"""Servers that the store listed before this router read it."""

import time
from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from damaskrill.catalog import BackendServer, CatalogItem, ServerItem
from damaskrill.eventlog import DecisionLog
from damaskrill.exceptions import DamaskrillError
from damaskrill.feed import (
    Change,
    FeedReplica,
    HistoryExpiredError,
    ServerChanges,
    read_history,
)
from damaskrill.gateway._binding import PlatformBinding

__all__ = ["ServerHistory", "build_server_history", "read_server_history"]

MS_PER_S = 1_000

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


async def read_server_history(
    *,
    binding: PlatformBinding,
    replica: FeedReplica,
    history_ms: float,
    log: DecisionLog,
) -> ServerHistory | None:
    """Read from the store which servers were listed before; None if it does not answer.

    Parameters
    ----------
    binding : PlatformBinding
        Adapter to the platform.
    replica : FeedReplica
        What the store lists now.
    history_ms : float
        Time that a whole history is taken to cover, in milliseconds.
    log : DecisionLog
        Log of decisions.
    """
    try:
        found = await read_history(binding.store, replica.position)
    except HistoryExpiredError:
        found = ServerChanges(changes=(), is_whole=False)
    except DamaskrillError as error:
        log.warn("server_history_unknown", sentence=error.sentence)
        return None
    history = build_server_history(
        found.changes,
        [each for each in replica.items if not binding.is_operator_item(each.key)],
        decode=binding.decode_item,
        duration_ms=history_ms if found.is_whole else 0.0,
        now_ms=time.time() * MS_PER_S,
    )
    log.write(
        "server_history_read",
        n_changes=len(found.changes),
        is_whole=found.is_whole,
        duration_ms=history.duration_ms,
        n_servers=history.n_servers,
    )
    return history
