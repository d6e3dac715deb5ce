"""Check of the repeats that a service gets from all routers together."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence

from attrs import frozen

__all__ = ["RepeatBudget", "RepeatWindow", "find_worst_window"]


@frozen(kw_only=True)
class RepeatBudget:
    """Repeats that a service may get from all routers in any window.

    Parameters
    ----------
    ratio : float
        Repeats per request for the service.
    slack : float
        Additional repeats per window.
    window_s : float
        Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 54
    window_s: float = 10


@frozen(kw_only=True)
class RepeatWindow:
    """Repeats of a service in one window.

    Parameters
    ----------
    ends_at : float
        Time of the last repeat in it, on the monotonic clock in seconds.
    n_repeats : int
        Arrivals beyond the first of each request, rejected ones included.
    n_allowed : float
        Repeats that are allowed in it.
    """

    ends_at: float
    n_repeats: int
    n_allowed: float

    @property
    def n_excess(self) -> float:
        """Number of repeats beyond those allowed; negative if there is room left."""
        return self.n_repeats - self.n_allowed


def find_worst_window(
    sent_at: Iterable[float],
    arrivals: Iterable[tuple[float, str]],
    budget: RepeatBudget,
) -> RepeatWindow | None:
    """Return the window in which most repeats are over the budget.

    Parameters
    ----------
    sent_at : iterable of float
        Times at which callers sent requests for the service, on the monotonic clock in
        seconds, whether these arrived at a server or not.
    arrivals : iterable of (float, str)
        Times at which its servers received requests, and request IDs.
    budget : RepeatBudget
        What is allowed.

    Returns
    -------
    RepeatWindow or None
        None if no request arrived twice.

    Notes
    -----
    The requests are counted in the window itself, in the one before it or in the one
    half a window before it, whichever has most.
    """
    requests = sorted(sent_at)
    seen: set[str] = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    windows = [
        RepeatWindow(
            ends_at=at,
            n_repeats=number + 1 - bisect_left(repeats, at - budget.window_s),
            n_allowed=budget.slack + budget.ratio * _count_most(requests, at, budget),
        )
        for number, at in enumerate(repeats)
    ]
    return max(windows, key=lambda each: each.n_excess, default=None)


def _count_most(requests: Sequence[float], ends_at: float, budget: RepeatBudget) -> int:
    window_s = budget.window_s
    ends = (ends_at, ends_at - window_s / 2, ends_at - window_s)
    return max(
        bisect_right(requests, end) - bisect_left(requests, end - window_s)
        for end in ends
    )
