"""Bounds on the load of an engine relative to the mean load."""

from attrs import frozen

__all__ = ["DIRECT_BOUNDS", "MAX_DIRECT_ROUTERS", "RELAYED_BOUNDS", "LoadBounds"]

# With more routers, most reports of a load come from other routers.
MAX_DIRECT_ROUTERS = 12


@frozen(kw_only=True)
class LoadBounds:
    """Bounds on the load of one engine.

    Parameters
    ----------
    multiple : float
        An engine gets requests by cache affinity up to this multiple of the mean load
        of the engines that may get requests.
    service_multiple : float
        The same multiple of the mean load of all engines of the service. Those in a
        data centre out of service get no requests, but the rule that limits uneven
        loads counts them.
    addend : float
        Requests that are always allowed above the multiples, so that a small number of
        requests is not scattered.
    key_fraction, key_addend : float
        Fraction of the mean load, and number of requests, that one key may add to an
        engine.
    """

    multiple: float
    service_multiple: float
    addend: float
    key_fraction: float
    key_addend: float


# The rule allows twice the mean plus 3. With few routers, each receives load reports of
# every server often, directly in its answers.
DIRECT_BOUNDS = LoadBounds(
    multiple=1.8, service_multiple=2.0, addend=2.8, key_fraction=0.6, key_addend=2.5
)
# With many routers, most load reports are relayed by other routers and arrive some
# hundred milliseconds late. The margin covers the requests that arrive in between.
RELAYED_BOUNDS = LoadBounds(
    multiple=1.6, service_multiple=2.0, addend=1.5, key_fraction=0.4, key_addend=1.0
)
