"""Seed-free hashing that gives the same result in every process."""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_to_int", "rank_by_rendezvous", "rendezvous_score"]


def hash_to_int(text: str) -> int:
    """Return a 64-bit hash of a text.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_score(key: str, node: str) -> int:
    """Return the weight of a node for a key (highest random weight hashing).

    Parameters
    ----------
    key : str
        What is to be placed.
    node : str
        A place for it.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1; the node with the highest one owns the key.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank_by_rendezvous(key: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their weight for a key, the best first.

    Parameters
    ----------
    key : str
        What is to be placed.
    nodes : iterable of str
        Possible places.

    Returns
    -------
    list of str
        The nodes; the node's name breaks ties.
    """
    prefix = f"{key}\x00"
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        nodes, key=lambda node: (digest((prefix + node).encode()), node), reverse=True
    )
