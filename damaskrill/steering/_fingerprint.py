"""Fingerprint by which a request is recognized when it comes again."""

import xxhash

__all__ = ["fingerprint_request"]

ID_MASK = 0xFFFF_FFFF


def fingerprint_request(
    *, host: str, target: bytes, key: str | None, body: bytes
) -> int:
    """Return a short hash of what a repeated request has in common with the first.

    Parameters
    ----------
    host : str
        Host that the request names.
    target : bytes
        Path and query.
    key : str or None
        Secret that identifies the caller's team.
    body : bytes
        Complete body.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1. The request's ID is not part of it, as each attempt
        of a caller has another one.
    """
    digest = xxhash.xxh3_64()
    for field in (host.encode(), target, (key or "").encode(), body):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.intdigest() & ID_MASK
