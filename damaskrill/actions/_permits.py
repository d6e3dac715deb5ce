"""Authenticated single-use permits, valid at the process that issued them."""

import hashlib

from attrs import frozen

__all__ = ["Permit", "PermitIssuer", "parse_permit"]

SEPARATOR = "!"
AUTH_CODE_LENGTH = 24
PERMIT_LIFETIME_MS = 600_000


@frozen(kw_only=True)
class Permit:
    """Parsed permit.

    Parameters
    ----------
    text : str
        The permit as callers send it.
    address, incarnation : str
        Process that issued it.
    issued_at_ms : int
        Time of issue, in milliseconds on that process's clock.
    serial : int
        Serial number within that process.
    auth_code : str
        Message authentication code; only that process can compute it.
    """

    text: str
    address: str
    incarnation: str
    issued_at_ms: int
    serial: int
    auth_code: str


def parse_permit(text: str) -> Permit | None:
    """Parse a permit.

    Parameters
    ----------
    text : str
        Permit as sent by a caller.

    Returns
    -------
    Permit or None
        None if the text is not a well-formed permit.
    """
    parts = text.split(SEPARATOR)
    if len(parts) != 4 or "/" not in parts[0]:
        return None
    address, _, incarnation = parts[0].partition("/")
    if not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return Permit(
        text=text,
        address=address,
        incarnation=incarnation,
        issued_at_ms=int(parts[1]),
        serial=int(parts[2]),
        auth_code=parts[3],
    )


class PermitIssuer:
    """Issuer and verifier of the permits of this process.

    Parameters
    ----------
    member_id : str
        Address and incarnation of this process.
    random_state : int
        Seed of the secret; the process draws it from the system's random generator.

    Notes
    -----
    An issued permit uses no memory until it is spent, because its authentication
    code is computed from its other parts.
    """

    def __init__(self, *, member_id: str, random_state: int) -> None:
        self._member_id = member_id
        seed = f"permits:{member_id}:{random_state}"
        self._secret = hashlib.blake2b(seed.encode(), digest_size=32).digest()
        self._n_issued = 0

    def issue(self, *, service: str, team: str, now_ms: int) -> str:
        """Return a new permit for one action of a team on a service."""
        self._n_issued += 1
        head = SEPARATOR.join([self._member_id, str(now_ms), str(self._n_issued)])
        return head + SEPARATOR + self._auth_code(head, service, team)

    def verify(self, permit: Permit, *, service: str, team: str) -> bool:
        """Return whether this process issued the permit for the service and team."""
        head, _, auth_code = permit.text.rpartition(SEPARATOR)
        return auth_code == self._auth_code(head, service, team)

    def _auth_code(self, head: str, service: str, team: str) -> str:
        content = "\x00".join([head, service, team]).encode()
        return hashlib.blake2b(content, key=self._secret).hexdigest()[:AUTH_CODE_LENGTH]
