"""Cache of the owners of backend servers for an unchanged set of members."""

from damaskrill.configuration import BackendServerSpec
from damaskrill.membership._ownership import owner_of_server
from damaskrill.messages import FleetView, Member

__all__ = ["OwnerCache"]


class OwnerCache:
    """Owners of backend servers, computed once for each server and set of members.

    Notes
    -----
    A change of the text keeps the entries of unchanged servers; a change of the
    members clears the cache.
    """

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._members_by_data_centre: dict[str, tuple[Member, ...]] = {}
        self._owners: dict[tuple[str, str], Member] = {}

    def apply_view(self, view: FleetView) -> None:
        """Use the members of a view; clear the cache if they have changed."""
        if view.members == self._members:
            return
        self._members = view.members
        self._owners = {}
        members_by_data_centre: dict[str, list[Member]] = {}
        for member in view.members:
            members_by_data_centre.setdefault(member.data_centre, []).append(member)
        self._members_by_data_centre = {
            name: tuple(members) for name, members in members_by_data_centre.items()
        }

    def owner_of(self, server: BackendServerSpec) -> Member:
        """Return the member that owns a backend server."""
        key = (server.name, server.data_centre)
        owner = self._owners.get(key)
        if owner is None:
            members = self._members_by_data_centre.get(
                server.data_centre, self._members
            )
            owner = self._owners[key] = owner_of_server(server, members)
        return owner
