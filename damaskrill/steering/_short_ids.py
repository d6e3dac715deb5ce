"""Short hashes under which routers tell each other of servers and prompt parts."""

from functools import lru_cache

from damaskrill.utils import hash_to_int

__all__ = ["short_id", "short_server_id"]

# Among some ten thousand names two may share 32 bits now and then; a wrong hint costs
# one request a little, a longer hash costs each message.
ID_MASK = 0xFFFF_FFFF
# Several times the servers of a large fleet.
MAX_CACHED_IDS = 16_384


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
