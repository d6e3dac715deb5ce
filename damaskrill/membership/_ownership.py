"""Ownership of backend servers and keys by rendezvous hashing over members."""

from collections.abc import Sequence

from damaskrill.configuration._model import BackendServerSpec
from damaskrill.messages import Member
from damaskrill.utils import rendezvous_score

__all__ = ["owner_of_key", "owner_of_server"]


def owner_of_key(key: str, members: Sequence[Member]) -> Member:
    """Return the member that owns a key.

    Parameters
    ----------
    key : str
        Key, such as an idempotency key.
    members : sequence of Member
        Members that are considered alive; at least one.

    Returns
    -------
    Member
        Member with the highest rendezvous score for the key.
    """
    return max(
        members, key=lambda each: (rendezvous_score(key, each.address), each.address)
    )


def owner_of_server(server: BackendServerSpec, members: Sequence[Member]) -> Member:
    """Return the member that owns a backend server, preferring its data centre.

    Parameters
    ----------
    server : BackendServerSpec
        The backend server.
    members : sequence of Member
        Members that are considered alive; at least one.

    Returns
    -------
    Member
        Owner; in the server's data centre if it has any member.
    """
    local_members = [each for each in members if each.data_centre == server.data_centre]
    return owner_of_key(f"server:{server.name}", local_members or members)
