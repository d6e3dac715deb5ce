"""Unseeded hash functions that give the same result in every process."""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_fields", "hash_to_int", "rank_by_rendezvous", "rendezvous_score"]


def hash_to_int(text: str) -> int:
    """Return a 64-bit hash of a string.

    Parameters
    ----------
    text : str
        String to hash.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_fields(*fields: bytes) -> int:
    """Return a 64-bit hash of a sequence of byte strings.

    Parameters
    ----------
    *fields : bytes
        Fields to hash. Their lengths count, so that no two sequences of fields are the
        same after concatenation.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1.
    """
    digest = xxhash.xxh3_64()
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.intdigest()


def rendezvous_score(key: str, node: str) -> int:
    """Return the score of a node for a key in rendezvous hashing.

    Parameters
    ----------
    key : str
        Key to assign to a node.
    node : str
        Name of a candidate node.

    Returns
    -------
    int
        Value from 0 to 2**64 - 1; the node with the highest score owns the key.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank_by_rendezvous(key: str, nodes: Iterable[str]) -> list[str]:
    """Sort nodes by their rendezvous score for a key, highest first.

    Parameters
    ----------
    key : str
        Key to assign to a node.
    nodes : iterable of str
        Names of the candidate nodes.

    Returns
    -------
    list of str
        Sorted nodes; ties are broken by name.
    """
    prefix = f"{key}\x00"
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        nodes, key=lambda node: (digest((prefix + node).encode()), node), reverse=True
    )
