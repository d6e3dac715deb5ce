"""Creation time embedded in an idempotency key."""

import re

__all__ = ["read_key_time"]

UUID_VERSION_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", re.ASCII
)
TIME_PREFIX = re.compile(r"t([0-9]{1,15})-", re.ASCII)


def read_key_time(key: str) -> int | None:
    """Return the creation time embedded in a key.

    Parameters
    ----------
    key : str
        A version 7 UUID, or a string that starts with ``t``, the milliseconds since
        the Unix epoch, and ``-``.

    Returns
    -------
    int or None
        Milliseconds since the Unix epoch; None if the key contains no time.
    """
    if UUID_VERSION_7.fullmatch(key.lower()):
        return int(key[:8] + key[9:13], 16)
    match = TIME_PREFIX.match(key)
    return int(match.group(1)) if match else None
