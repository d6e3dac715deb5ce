"""Fleet view built from the text, the members and the host list."""

from collections.abc import Sequence

import attrs

from damaskrill.base import BaseDecider
from damaskrill.configuration._model import BackendServerSpec, FleetText
from damaskrill.messages import (
    EventName,
    FleetView,
    FleetViewChanged,
    HostEntry,
    HostListRead,
    LoggedEvent,
    Member,
    MembersChanged,
    Message,
    TextAccepted,
)

__all__ = ["FleetViewDecider", "find_backend_servers"]


class FleetViewDecider(BaseDecider):
    """Decider that maintains the ``FleetView`` of one kernel.

    Parameters
    ----------
    own : Member
        This process.
    """

    handles = (HostListRead, MembersChanged, TextAccepted)

    def __init__(self, *, own: Member) -> None:
        self._text = FleetText()
        self._hosts: tuple[HostEntry, ...] = ()
        self._view = FleetView(text=self._text, own=own, members=(own,))

    @property
    def view(self) -> FleetView:
        """Current fleet view."""
        return self._view

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Update the view and return ``FleetViewChanged`` if it has changed."""
        previous = self._view
        match message:
            case TextAccepted(text=text):
                return self._apply_text(text, now_ms)
            case HostListRead(hosts=hosts) if hosts != self._hosts:
                self._hosts = hosts
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

    def _apply_text(self, text: FleetText, now_ms: int) -> Sequence[Message]:
        events = _compare_data_centres(self._text, text)
        returned_at_ms = dict(self._view.returned_at_ms)
        for event in events:
            if event.name is EventName.DATA_CENTRE_BACK:
                returned_at_ms[event.data_centre] = now_ms
        self._text = text
        self._view = attrs.evolve(self._view, returned_at_ms=returned_at_ms)
        self._select_servers()
        return [FleetViewChanged(view=self._view), *events]

    def _select_servers(self) -> None:
        leaving = frozenset(host.address for host in self._hosts if host.leaving)
        text = self._text
        found = find_backend_servers(text, self._hosts)
        if found:
            servers = {**text.backend_servers, **found}
            text = attrs.evolve(text, backend_servers=servers)
        view = attrs.evolve(self._view, text=text, leaving_addresses=leaving)
        by_service: dict[str, list[BackendServerSpec]] = {}
        for server in text.backend_servers.values():
            if _accepts_new_work(server, view):
                by_service.setdefault(server.service, []).append(server)
        selected = {name: tuple(specs) for name, specs in by_service.items()}
        view = attrs.evolve(view, servers_by_service=selected)
        if view != self._view:
            self._view = view


def _accepts_new_work(server: BackendServerSpec, view: FleetView) -> bool:
    data_centre = view.text.data_centres.get(server.data_centre)
    if data_centre is not None and not data_centre.in_service:
        return False
    return not server.leaving and server.address not in view.leaving_addresses


def find_backend_servers(
    text: FleetText, hosts: Sequence[HostEntry]
) -> dict[str, BackendServerSpec]:
    """Return the backend servers that a text's searches find on the host list.

    Parameters
    ----------
    text : FleetText
        Text whose ``backend_server_searches`` name the services to search for.
    hosts : sequence of HostEntry
        Host list.

    Returns
    -------
    dict of str to BackendServerSpec
        Backend servers by name. There is one for each listed host of these services
        that no section of the text declares; its name is ``service/address``.
    """
    if not text.backend_server_searches:
        return {}
    declared = {server.address for server in text.backend_servers.values()}
    found: dict[str, BackendServerSpec] = {}
    for host in hosts:
        search = text.backend_server_searches.get(host.role)
        if search is None or host.address in declared:
            continue
        name = f"{search.service}/{host.address}"
        found[name] = BackendServerSpec(
            name=name,
            service=search.service,
            address=host.address,
            data_centre=host.data_centre,
            bearable_load=search.bearable_load,
            cold_load=search.cold_load,
            leaving=host.leaving,
        )
    return found


def _compare_data_centres(previous: FleetText, text: FleetText) -> list[LoggedEvent]:
    events = []
    for name, centre in text.data_centres.items():
        earlier = previous.data_centres.get(name)
        was_in_service = earlier is None or earlier.in_service
        if was_in_service == centre.in_service:
            continue
        is_in_service = centre.in_service
        events.append(
            LoggedEvent(
                name=EventName.DATA_CENTRE_BACK
                if is_in_service
                else EventName.DATA_CENTRE_OUT,
                data_centre=name,
                text_version=text.version,
            )
        )
    return events
