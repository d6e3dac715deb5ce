"""Decider that ends a stopping process once its work is done."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.messages import (
    Member,
    Message,
    OpenWork,
    StopRequested,
    StopServing,
    Tick,
)

__all__ = ["GracefulStop"]

COMPONENTS = ("actions", "entry", "owner")
# Minimum time for peers to be notified of the stop, and for messages that they sent
# before to arrive.
MIN_DRAIN_MS = 2_000


@registry.register("decider", "graceful_stop")
class GracefulStop(BaseDecider):
    """Decider that ends the process once no component has open work.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Not used.
    """

    handles = (StopRequested, OpenWork, Tick)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._requested_at_ms: int | None = None
        self._n_open: dict[str, int] = {}
        self._has_stopped = False

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case StopRequested() if self._requested_at_ms is None:
                self._requested_at_ms = now_ms
            case OpenWork(part=component, n_open=n_open):
                self._n_open[component] = n_open
            case Tick():
                return self._check(now_ms)
        return ()

    def _check(self, now_ms: int) -> Sequence[Message]:
        n_open, self._n_open = self._n_open, {}
        requested_at_ms = self._requested_at_ms
        if requested_at_ms is None or self._has_stopped:
            return ()
        if now_ms - requested_at_ms < MIN_DRAIN_MS:
            return ()
        if any(n_open.get(component, 1) for component in COMPONENTS):
            return ()
        self._has_stopped = True
        return (StopServing(),)
