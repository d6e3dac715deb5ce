"""Changes that the store has made before this router read it."""

from attrs import frozen

from damaskrill.feed._errors import HistoryExpiredError
from damaskrill.feed._position import Position
from damaskrill.feed._reader import BaseStoreClient
from damaskrill.feed._replica import Change

__all__ = ["ServerChanges", "read_history"]

# Changes before the present position that are asked for first, and by how many times
# more the next probes go back.
FIRST_STEP = 64
STEP_FACTOR = 4
# Part of the history that is given up if its beginning is discarded meanwhile.
SKIPPED_PART = 32


@frozen(kw_only=True)
class ServerChanges:
    """Changes of the entries of backend servers that the store still has.

    Parameters
    ----------
    changes : tuple of Change
        The changes, oldest first.
    is_whole : bool
        Whether they begin with the first change that the store has made.
    """

    changes: tuple[Change, ...]
    is_whole: bool


async def read_history(client: BaseStoreClient, at: Position) -> ServerChanges:
    """Read the servers' changes as far back as the store still has them.

    Parameters
    ----------
    client : BaseStoreClient
        Client of the store.
    at : Position
        Present position.

    Returns
    -------
    ServerChanges
        Changes up to the present position.

    Raises
    ------
    HistoryExpiredError
        If the store has no change at all, so that nothing tells how far its history
        goes back.
    DamaskrillError
        If the store does not answer.

    Notes
    -----
    The store does not say where its history begins, so that this is found by bisection.
    It does not say either when a change was made, and may discard changes at any time:
    what it still has shows for no time that nothing else has happened, unless it has
    everything.
    """
    start = await _find_start(client, at)
    while start < at.revision:
        try:
            changes = await client.read_server_changes(after=Position(at.era, start))
            return ServerChanges(changes=changes, is_whole=start == 0)
        except HistoryExpiredError:
            # The oldest change has been discarded since it was found.
            start += max(1, (at.revision - start) // SKIPPED_PART)
    raise HistoryExpiredError(revision=start)


async def _find_start(client: BaseStoreClient, at: Position) -> int:
    async def has_history(revision: int) -> bool:
        return await client.has_history(after=Position(at.era, revision))

    if await has_history(0):
        return 0
    available, missing, step = at.revision, 0, FIRST_STEP
    while missing < available - step:
        if not await has_history(available - step):
            missing = available - step
            break
        available -= step
        step *= STEP_FACTOR
    while available - missing > 1:
        middle = (available + missing) // 2
        if await has_history(middle):
            available = middle
        else:
            missing = middle
    return available
