"""The backend servers that this router owns under the present view."""

from collections.abc import Iterator

from damaskrill.admission._means import LoadSum
from damaskrill.admission._server import OwnedServer
from damaskrill.configuration import BackendServerSpec
from damaskrill.membership._owner_cache import OwnerCache
from damaskrill.messages import FleetView, Member

__all__ = ["OwnedServers"]

# How long a server that is gained counts as one of a data centre that has come back.
RETURN_WINDOW_MS = 60_000


class OwnedServers:
    """Gains and loses servers with the view.

    Parameters
    ----------
    own : Member
        This process.

    Notes
    -----
    A server that was lost is kept until its last attempt has ended, so that its
    answers still reach their entries.
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
        """Owned servers, and lost ones that still have attempts."""
        return [*self._owned.values(), *self._draining.values()]

    @property
    def by_service(self) -> dict[str, list[OwnedServer]]:
        """Owned servers in service, by their service."""
        return self._by_service

    def find(self, name: str) -> OwnedServer | None:
        """Return an owned server; None if this router does not own it."""
        return self._owned.get(name)

    def load_sum_of(self, service: str, now_ms: int) -> LoadSum:
        """Return the sum of the loads of the owned servers of a service.

        Notes
        -----
        A server that is being rested after failures counts as out of service: its
        load of nothing would lower the bound on all others just when they have to
        carry its share.
        """
        servers = [
            each for each in self._by_service.get(service, ()) if each.circuit.is_closed
        ]
        return LoadSum(
            load_sum=sum(each.load_for_mean(now_ms) for each in servers),
            n_servers=len(servers),
        )

    def apply_view(self, view: FleetView, now_ms: int) -> list[OwnedServer]:
        """Gain and lose servers as the view says.

        Returns
        -------
        list of OwnedServer
            Servers that were lost.
        """
        self._owners.apply_view(view)
        self._by_service = {}
        kept: dict[str, OwnedServer] = {}
        for service, specs in view.servers_by_service.items():
            for spec in specs:
                if self._owners.owner_of(spec).address != self._own.address:
                    continue
                server = self._update_or_add(spec, view, now_ms)
                kept[spec.name] = server
                self._by_service.setdefault(service, []).append(server)
        lost = [each for name, each in self._owned.items() if name not in kept]
        self._owned = kept
        for server in lost:
            self._draining[server.spec.name] = server
        self.remove_drained()
        return lost

    def remove_drained(self) -> None:
        """Drop lost servers without attempts."""
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
        back = self._draining.pop(spec.name, None)
        if back is not None and back.spec.address == spec.address:
            back.update(spec, limits)
            back.acquired_at_ms = now_ms
            back.awaits_report = True
            if has_returned:
                back.ramp.discard_history()
            return back
        gained = OwnedServer(
            spec=spec,
            service=view.text.services[spec.service],
            max_queue_length=limits.max_queue_length,
            acquired_at_ms=now_ms,
            awaits_report=view.n_listed > 1 or len(view.members) > 1,
        )
        gained.update(spec, limits)
        # After its data centre's return a server starts at its cold load, so that not
        # all chats come back at once.
        if has_returned:
            gained.ramp.discard_history()
        return gained
