"""Joins text, members and host list into one immutable view."""

from collections.abc import Sequence

import attrs

from damaskrill.base import BaseDecider
from damaskrill.configuration._model import BackendServerSpec, FleetText
from damaskrill.messages import (
    FleetView,
    FleetViewChanged,
    HostListRead,
    Member,
    MembersChanged,
    Message,
    TextAccepted,
)

__all__ = ["FleetViewDecider"]


class FleetViewDecider(BaseDecider):
    """Keeps the ``FleetView`` of one kernel.

    Parameters
    ----------
    own : Member
        This process.
    """

    handles = (HostListRead, MembersChanged, TextAccepted)

    def __init__(self, *, own: Member) -> None:
        self._view = FleetView(text=FleetText(), own=own, members=(own,))

    @property
    def view(self) -> FleetView:
        """The view as it stands."""
        return self._view

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Update the view and pass it on if it has changed."""
        previous = self._view
        match message:
            case TextAccepted(text=text):
                self._view = attrs.evolve(previous, text=text)
                self._select_servers()
            case HostListRead(hosts=hosts):
                leaving = frozenset(host.address for host in hosts if host.leaving)
                if leaving != previous.leaving_addresses:
                    self._view = attrs.evolve(previous, leaving_addresses=leaving)
                    self._select_servers()
            case MembersChanged():
                self._view = attrs.evolve(
                    previous,
                    members=message.members,
                    n_listed=message.n_listed,
                    n_reachable=message.n_reachable,
                    trusted=message.trusted,
                )
        if self._view is previous:
            return ()
        return (FleetViewChanged(view=self._view),)

    def _select_servers(self) -> None:
        view = self._view
        by_service: dict[str, list[BackendServerSpec]] = {}
        for server in view.text.backend_servers.values():
            if self._takes_new_work(server):
                by_service.setdefault(server.service, []).append(server)
        servers = {name: tuple(specs) for name, specs in by_service.items()}
        self._view = attrs.evolve(view, servers_by_service=servers)

    def _takes_new_work(self, server: BackendServerSpec) -> bool:
        data_centre = self._view.text.data_centres.get(server.data_centre)
        if data_centre is not None and not data_centre.in_service:
            return False
        if server.leaving:
            return False
        return server.address not in self._view.leaving_addresses
