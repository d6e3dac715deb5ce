"""What routers' news have in common: short hashes of names, and where they go."""

from functools import lru_cache

from damaskrill.utils import hash_to_int

__all__ = ["is_for_link", "short_id", "short_server_id"]

# Among some ten thousand names two may share 32 bits now and then; a wrong hint costs
# one request a little, a longer hash costs each message.
ID_MASK = 0xFFFF_FFFF
# Several times the servers, or the parts in use, of a large fleet; each choice of an
# engine asks for the same ones once an engine.
MAX_CACHED_IDS = 16_384


@lru_cache(maxsize=MAX_CACHED_IDS)
def short_id(name: str) -> int:
    """Return the short hash of a name.

    Parameters
    ----------
    name : str
        Any text.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1.
    """
    return hash_to_int(name) & ID_MASK


@lru_cache(maxsize=MAX_CACHED_IDS)
def short_server_id(key: tuple[str, int]) -> int:
    """Return the short hash of a server's incarnation.

    Parameters
    ----------
    key : tuple of (str, int)
        Identity and start of the incarnation.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1.
    """
    return short_id(f"{key[0]} {key[1]}")


def is_for_link(source: str, *, not_to: str, with_heard: bool) -> bool:
    """Return whether news go over a link.

    Parameters
    ----------
    source : str
        Link that they came from; empty if they are this router's own.
    not_to : str
        The link.
    with_heard : bool
        Whether news that came from other routers are told too.
    """
    return not source or (with_heard and source != not_to)
