"""Which backend servers are left out, by what this router and the others have seen."""

from collections.abc import Sequence

from damaskrill.steering._failure_board import FailureBoard
from damaskrill.steering._health import HealthTracker, Verdict

__all__ = ["FleetHealth"]

ServerKey = tuple[str, int]
# Part of a service's servers that what other routers tell can leave out; the others
# have to bear their load.
MAX_TOLD_PART = 1 / 3


class FleetHealth:
    """Joins a router's own judgement of servers with what other routers tell.

    Parameters
    ----------
    board : FailureBoard
        What routers tell each other.

    Notes
    -----
    A server that is full is judged by this router alone: the servers of a service are
    often full together, and the load of one that is left out comes to the others.
    """

    def __init__(self, *, board: FailureBoard) -> None:
        self._board = board
        self._tracker = HealthTracker()

    def note(self, key: ServerKey, verdict: Verdict, now_ms: float) -> bool:
        """Take how a request ended at a server.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
        """
        match verdict:
            case Verdict.GOOD:
                self._board.note_good(key)
            case Verdict.FULL:
                pass
            case _:
                self._board.note_failure(
                    key, is_unreached=verdict.is_unreached, now_ms=now_ms
                )
        if not self._tracker.note(key, verdict, now_ms):
            return False
        self._board.forget(key)
        return True

    def judge_told(
        self,
        key: ServerKey,
        *,
        service: Sequence[ServerKey],
        fleet_per_s: float,
        now_ms: float,
    ) -> bool:
        """Judge a server of which other routers have told something new.

        Parameters
        ----------
        key : tuple of (str, int)
            The incarnation.
        service : sequence of tuple of (str, int)
            All servers of its service that may get requests.
        fleet_per_s : float
            Requests a second for the service from all routers.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
        """
        n_out = sum(self._tracker.is_left_out(each, now_ms) for each in service)
        if n_out + 1 > MAX_TOLD_PART * len(service):
            return False
        is_bad = self._board.speaks_against(
            key, expected_per_s=fleet_per_s / len(service), now_ms=now_ms
        )
        if not is_bad or not self._tracker.leave_out(key, now_ms):
            return False
        self._board.forget(key)
        return True

    def is_left_out(self, key: ServerKey, now_ms: float) -> bool:
        """Whether a server should get nothing if others are there."""
        return self._tracker.is_left_out(key, now_ms)

    def forget_all_but(self, keys: set[ServerKey]) -> None:
        """Forget incarnations that are gone."""
        self._tracker.forget_all_but(keys)
        self._board.forget_all_but(keys)
