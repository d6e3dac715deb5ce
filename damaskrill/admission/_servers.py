"""Backend servers that this router owns under the current view."""

from collections.abc import Iterator

from damaskrill.admission._means import LoadSum
from damaskrill.admission._server import OwnedServer
from damaskrill.configuration import BackendServerSpec
from damaskrill.membership._owner_cache import OwnerCache
from damaskrill.messages import FleetView, Member

__all__ = ["OwnedServers"]

# Time after the return of a data centre in which its acquired servers start cold.
RETURN_WINDOW_MS = 60_000


class OwnedServers:
    """Track the owned servers across view changes.

    Parameters
    ----------
    own : Member
        This process.

    Notes
    -----
    A lost server is retained as draining until its last attempt has ended, so that
    its answers still reach their entries.
    """

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._owners = OwnerCache()
        self._owned: dict[str, OwnedServer] = {}
        self._draining: dict[str, OwnedServer] = {}
        self._by_service: dict[str, list[OwnedServer]] = {}

    def __iter__(self) -> Iterator[OwnedServer]:
        return iter(self._owned.values())

    def __len__(self) -> int:
        return len(self._owned)

    @property
    def owned_and_draining(self) -> list[OwnedServer]:
        """Owned servers, and lost servers with running attempts."""
        return [*self._owned.values(), *self._draining.values()]

    @property
    def by_service(self) -> dict[str, list[OwnedServer]]:
        """Owned servers that are in service, by service name."""
        return self._by_service

    def find(self, name: str) -> OwnedServer | None:
        """Return an owned server, or None if this router does not own it."""
        return self._owned.get(name)

    def load_sum_of(self, service: str, now_ms: int) -> LoadSum:
        """Return the sum of the loads of the owned servers of a service.

        Notes
        -----
        A server whose circuit is not closed counts as out of service. Its load of zero
        would lower the bound of all other servers while they have to serve its share.
        """
        servers = [
            each for each in self._by_service.get(service, ()) if each.circuit.is_closed
        ]
        return LoadSum(
            load_sum=sum(each.load_for_mean(now_ms) for each in servers),
            n_servers=len(servers),
        )

    def apply_view(self, view: FleetView, now_ms: int) -> list[OwnedServer]:
        """Add and remove owned servers according to a view.

        Returns
        -------
        list of OwnedServer
            Servers that this router no longer owns.
        """
        self._owners.apply_view(view)
        self._by_service = {}
        owned: dict[str, OwnedServer] = {}
        for service, specs in view.servers_by_service.items():
            for spec in specs:
                if self._owners.owner_of(spec).address != self._own.address:
                    continue
                server = self._update_or_add(spec, view, now_ms)
                owned[spec.name] = server
                self._by_service.setdefault(service, []).append(server)
        lost = [each for name, each in self._owned.items() if name not in owned]
        self._owned = owned
        for server in lost:
            self._draining[server.spec.name] = server
        self.remove_drained()
        return lost

    def remove_drained(self) -> None:
        """Remove draining servers without running attempts."""
        for name in [name for name, each in self._draining.items() if not each.running]:
            del self._draining[name]

    def _update_or_add(
        self, spec: BackendServerSpec, view: FleetView, now_ms: int
    ) -> OwnedServer:
        limits = view.text.limits
        server = self._owned.get(spec.name)
        if server is not None and server.spec.address == spec.address:
            server.update(spec, limits)
            return server
        returned_at_ms = view.returned_at_ms.get(spec.data_centre)
        has_returned = (
            returned_at_ms is not None and now_ms - returned_at_ms < RETURN_WINDOW_MS
        )
        draining = self._draining.pop(spec.name, None)
        if draining is not None and draining.spec.address == spec.address:
            draining.update(spec, limits)
            draining.acquired_at_ms = now_ms
            draining.awaits_report = True
            if has_returned:
                draining.ramp.discard_history()
            return draining
        added = OwnedServer(
            spec=spec,
            service=view.text.services[spec.service],
            max_queue_length=limits.max_queue_length,
            acquired_at_ms=now_ms,
            awaits_report=view.n_listed > 1 or len(view.members) > 1,
        )
        added.update(spec, limits)
        # After the return of its data centre a server starts at its cold load, so that
        # not all chats move back at the same time.
        if has_returned:
            added.ramp.discard_history()
        return added
