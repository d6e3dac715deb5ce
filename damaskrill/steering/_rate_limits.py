"""Limits on the rate of requests that a server gets from the whole fleet."""

from attrs import frozen

from damaskrill.catalog import ServiceSpec

__all__ = ["RateLimit", "cold_start_limit", "stated_limit"]

# Requests have different network delays: those that arrive within a window may have
# been sent over a slightly longer time.
DELAY_MARGIN_MS = 100.0
# The limit of a cold server holds for any second.
COLD_WINDOW_MS = 1_000.0
# Fraction of the cold-start limit that is used: as network delays differ, one second at
# a server may include requests that the routers sent over more than a second.
COLD_SAFETY_FACTOR = 0.8
# Window in which a stated limit is divided among the routers. A longer one lets more
# routers have a share, but allows longer bursts.
STATED_WINDOW_MS = 4_000.0
# A server that states a lower limit, such as 0, still gets a request now and then: only
# its answers show that the limit has ended.
MIN_STATED_PER_S = 1 / 30
MS_PER_S = 1_000


@frozen(kw_only=True)
class RateLimit:
    """Number of requests that the fleet may send to a server in a sliding window.

    Parameters
    ----------
    n_requests : int
        Requests of all routers together; at least 1.
    window_ms : float
        Length of the window, in milliseconds.
    holds_across_restarts : bool, default=False
        Whether the requests of a router's former process count as well.
    """

    n_requests: int
    window_ms: float
    holds_across_restarts: bool = False


def cold_start_limit(spec: ServiceSpec, *, factor: float, slack: float) -> RateLimit:
    """Return the limit of a cold server.

    Parameters
    ----------
    spec : ServiceSpec
        Its service.
    factor, slack : float
        A cold server can handle ``rate * factor + slack`` requests in any second.
    """
    n_requests = COLD_SAFETY_FACTOR * (spec.cold_requests_per_s * factor + slack)
    return RateLimit(
        n_requests=max(1, int(n_requests)),
        window_ms=COLD_WINDOW_MS + DELAY_MARGIN_MS,
        holds_across_restarts=True,
    )


def stated_limit(per_s: float) -> RateLimit:
    """Return the limit of a server that states how many requests a second it takes."""
    bounded_per_s = max(per_s, MIN_STATED_PER_S)
    window_ms = max(STATED_WINDOW_MS, MS_PER_S / bounded_per_s)
    n_requests = int(bounded_per_s * window_ms / MS_PER_S)
    return RateLimit(
        n_requests=max(1, n_requests), window_ms=window_ms + DELAY_MARGIN_MS
    )
