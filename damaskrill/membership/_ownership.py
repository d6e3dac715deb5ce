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
        For example an idempotency key.
    members : sequence of Member
        Members that are thought to be alive; at least one.

    Returns
    -------
    Member
        The one with the highest weight for the key.
    """
    return max(
        members, key=lambda each: (rendezvous_score(key, each.address), each.address)
    )


def owner_of_server(server: BackendServerSpec, members: Sequence[Member]) -> Member:
    """Return the member that owns a backend server, nearest data centre first.

    Parameters
    ----------
    server : BackendServerSpec
        The backend server.
    members : sequence of Member
        Members that are thought to be alive; at least one.

    Returns
    -------
    Member
        The owner, in the server's own data centre if any member is there.
    """
    near = [each for each in members if each.data_centre == server.data_centre]
    return owner_of_key(f"server:{server.name}", near or members)
