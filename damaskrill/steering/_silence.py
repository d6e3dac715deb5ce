"""How long a server may be silent before another one is sought for its request."""

from damaskrill.catalog import Route

__all__ = ["caller_patience_ms", "early_budget_fraction", "silence_limit_ms"]

# A request that has no answer yet is also sent to another server after this many
# targets.
FIRST_ANSWER_TARGETS = 1.0
# The same where servers state how long work takes, and so may turn slow meanwhile. The
# rest of the target is for the other server, as targets are 4 to 7 times the work (the
# users' pages).
UNEVEN_ANSWER_TARGETS = 0.6
# Fraction of the retry budget that such early attempts may use, by the route's
# priority: the rest is for requests that failed, and for the more urgent.
EARLY_BUDGET_FRACTIONS = (0.75, 0.5, 0.25)
# Callers abandon a stream after the longest of: this gap, this many targets, and this
# many times the longest pause that the operators accept (the users' specification).
MIN_PATIENCE_MS = 2_000
PATIENCE_TARGETS = 4
PATIENCE_PAUSES = 8
# Sound servers are silent for about a second now and then.
MIN_STREAM_SILENCE_MS = 1_000
# Fraction of the caller's patience, and of the time that was left when the silence
# began, after which a stream is resumed elsewhere. The rest is for the other server to
# process the prompt.
PATIENCE_FRACTION = 0.65
REMAINING_FRACTION = 0.5


def caller_patience_ms(route: Route) -> float:
    """Return after which gap in a stream its caller leaves, in milliseconds."""
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_TARGETS * route.target_ms,
        PATIENCE_PAUSES * route.max_pause_ms,
    )


def early_budget_fraction(priority: int) -> float:
    """Return which fraction of the retry budget an early attempt may use.

    Parameters
    ----------
    priority : int
        Priority of the route; 0 is the highest.
    """
    last = len(EARLY_BUDGET_FRACTIONS) - 1
    return EARLY_BUDGET_FRACTIONS[min(max(0, priority), last)]


def silence_limit_ms(
    route: Route, *, has_begun: bool, remaining_ms: float, is_uneven: bool = False
) -> float:
    """Return after which silence of its server a request may go to another one.

    Parameters
    ----------
    route : Route
        The request's route.
    has_begun : bool
        Whether the caller has received a part of a stream.
    remaining_ms : float
        Time that was left for the answer when the silence began, in milliseconds.
    is_uneven : bool, default=False
        Whether it is at a plain server that states how long work takes.

    Returns
    -------
    float
        Time in milliseconds.

    Notes
    -----
    Handles servers that are silent for a while and then go on. A stream that has paused
    for so long is late in any case, so that leaving its server early gains nothing.

    Where servers are uneven, a lookup at one that turned slow (2.5 times for 0.6 s at
    112 routers) is also sent to another one while that can still answer in time.
    """
    if not has_begun and is_uneven:
        return UNEVEN_ANSWER_TARGETS * route.target_ms
    if not has_begun:
        return FIRST_ANSWER_TARGETS * route.target_ms
    limit_ms = min(
        PATIENCE_FRACTION * caller_patience_ms(route),
        REMAINING_FRACTION * remaining_ms,
    )
    return max(MIN_STREAM_SILENCE_MS, limit_ms)
