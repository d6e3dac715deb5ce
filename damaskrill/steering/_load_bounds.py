"""How unevenly engines may be loaded, by how well their loads are known."""

from attrs import frozen

__all__ = ["DIRECT_BOUNDS", "RELAYED_BOUNDS", "LoadBounds"]


@frozen(kw_only=True)
class LoadBounds:
    """Bounds of one engine's load.

    Parameters
    ----------
    multiple : float
        An engine takes a request for its prompt cache up to this multiple of the mean
        load of the engines that may get work.
    service_multiple : float
        The same for the mean over all engines of the service, of which those in a data
        centre that is out get nothing; the rule that limits uneven loads counts them.
    addend : float
        Requests above the multiples that are always borne, so that few requests do
        not scatter.
    key_fraction, key_addend : float
        Part of the mean load, and requests, that one key may add to an engine.
    """

    multiple: float
    service_multiple: float
    addend: float
    key_fraction: float
    key_addend: float


# The rule allows twice the mean plus 3. Few routers hear from each server often.
DIRECT_BOUNDS = LoadBounds(
    multiple=1.8, service_multiple=2.0, addend=2.8, key_fraction=0.6, key_addend=2.5
)
# Many routers hear of most requests from each other, some hundred milliseconds late;
# the margin covers what arrives meanwhile.
RELAYED_BOUNDS = LoadBounds(
    multiple=1.6, service_multiple=2.0, addend=1.5, key_fraction=0.4, key_addend=1.0
)
