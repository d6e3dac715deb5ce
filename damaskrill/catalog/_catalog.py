"""Active configuration and backend servers, derived from the store's items."""

from collections import Counter
from collections.abc import Callable

from attrs import define

from damaskrill.catalog._items import (
    CatalogItem,
    ConfigurationItem,
    DataCentreOutItem,
    IgnoredItem,
    ServerItem,
)
from damaskrill.catalog._model import BackendServer, Configuration, ServiceSpec

__all__ = ["Catalog"]

Report = Callable[..., None]
# Entries that expired during an outage of the store are registered again within this
# time after its recovery: about two seconds by the users' specification, plus the time
# in which a change propagates between routers.
RECOVERY_GRACE_MS = 2_300
# Fraction of a service's engines whose loss brings the others close to the bound on
# uneven loads, which is relative to all engines.
MAJOR_LOSS_FRACTION = 0.25


@define(kw_only=True)
class _ServerEntry:
    """A backend server and the times of its entry."""

    server: BackendServer
    registered_since_ms: int
    cold_until_ms: int
    expired_at_ms: int = -1


class Catalog:
    """Active configuration, backend servers and data centres out of service.

    Parameters
    ----------
    report : callable
        Called with an event name and its fields for each change.

    Notes
    -----
    The configuration never returns to a lower version within one process. A removed
    entry stays usable only until ``RECOVERY_GRACE_MS`` have passed since the recovery
    of the store, because entries expire while servers cannot reach the store.
    """

    def __init__(self, *, report: Report) -> None:
        self._report = report
        self._configuration: Configuration | None = None
        self._servers: dict[str, _ServerEntry] = {}
        self._data_centres_out: set[str] = set()
        self._restored_at_ms: dict[str, int] = {}
        self._recovered_at_ms = -1_000_000
        self._has_servers = False
        self._by_service: dict[str, tuple[BackendServer, ...]] | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Active configuration; None before the first one."""
        return self._configuration

    @property
    def data_centres_out(self) -> frozenset[str]:
        """Data centres out of service, which get no requests."""
        return frozenset(self._data_centres_out)

    @property
    def n_servers(self) -> int:
        """Number of registered backend servers, including leaving ones."""
        return len(self._servers)

    @property
    def has_major_capacity_loss(self) -> bool:
        """Whether a large fraction of some service's engines must get no requests."""
        configuration = self._configuration
        if configuration is None:
            return False
        return any(
            len(self.find_servers(name))
            <= (1 - MAJOR_LOSS_FRACTION) * len(self.find_all_servers(name))
            for name, spec in configuration.services.items()
            if spec.is_engine and self.find_all_servers(name)
        )

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and the list of servers have been read."""
        return self._configuration is not None and self._has_servers

    def mark_listed(self) -> None:
        """Record that a complete list of items has been read."""
        if self._has_servers:
            return
        self._has_servers = True
        counts = Counter(entry.server.service for entry in self._servers.values())
        self._report("servers_listed", n_servers=len(self._servers), services=counts)

    def record_store_recovery(self, now_ms: int) -> None:
        """Record that the store has recovered from an outage."""
        self._recovered_at_ms = now_ms

    def put(self, item: CatalogItem, now_ms: int) -> None:
        """Apply a written item."""
        match item:
            case ConfigurationItem():
                self._put_configuration(item)
            case DataCentreOutItem(data_centre=name):
                if name not in self._data_centres_out:
                    self._report("data_centre_out", data_centre=name)
                self._data_centres_out.add(name)
                self._by_service = None
            case ServerItem():
                self._put_server(item, now_ms)
            case IgnoredItem():
                pass

    def remove(self, item: CatalogItem, now_ms: int) -> None:
        """Apply the removal of an item."""
        match item:
            case DataCentreOutItem(data_centre=name):
                if name in self._data_centres_out:
                    self._data_centres_out.discard(name)
                    self._restored_at_ms[name] = now_ms
                    self._report("data_centre_back", data_centre=name)
                self._by_service = None
            case ServerItem(server_id=server_id):
                entry = self._servers.get(server_id)
                if entry is not None and entry.expired_at_ms < 0:
                    entry.expired_at_ms = now_ms
                self.purge(now_ms)
            case ConfigurationItem() | IgnoredItem():
                pass

    def purge(self, now_ms: int) -> None:
        """Remove servers whose entries expired, except shortly after an outage."""
        if now_ms < self._recovered_at_ms + RECOVERY_GRACE_MS:
            return
        expired = [
            key for key, each in self._servers.items() if each.expired_at_ms >= 0
        ]
        for server_id in expired:
            del self._servers[server_id]
            self._report("server_gone", backend_server=server_id)
        if expired:
            self._by_service = None

    def find_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get requests."""
        if self._by_service is None:
            self._by_service = self._group_servers()
        return self._by_service.get(service, ())

    def find_all_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return all registered servers of a service, including leaving ones."""
        return tuple(
            entry.server
            for entry in self._servers.values()
            if entry.server.service == service
        )

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether this incarnation may get requests."""
        return any(each.key == server.key for each in self.find_servers(server.service))

    def is_cold(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a server is limited to its cold-start capacity."""
        entry = self._servers.get(server.server_id)
        spec = self._service_spec(server.service)
        if entry is None or spec is None or spec.cold_requests_per_s <= 0:
            return False
        if now_ms < entry.cold_until_ms:
            return True
        restored_at_ms = self._restored_at_ms.get(server.data_centre)
        if restored_at_ms is None:
            return False
        return now_ms < restored_at_ms + spec.cold_duration_ms

    def registered_for_ms(self, server: BackendServer, now_ms: int) -> int:
        """Return the time since an incarnation was registered, in milliseconds."""
        entry = self._servers.get(server.server_id)
        if entry is None or entry.server.key != server.key:
            return 0
        return now_ms - entry.registered_since_ms

    def _service_spec(self, service: str) -> ServiceSpec | None:
        if self._configuration is None:
            return None
        return self._configuration.services.get(service)

    def _group_servers(self) -> dict[str, tuple[BackendServer, ...]]:
        groups: dict[str, list[BackendServer]] = {}
        servers = [entry.server for entry in self._servers.values()]
        # An address belongs to the process that was last started there. Entries of
        # earlier processes, which may have crashed, expire some seconds later.
        latest_start_ms: dict[tuple[str, int], int] = {}
        for server in servers:
            latest_start_ms[server.address] = max(
                server.started_at_ms, latest_start_ms.get(server.address, 0)
            )
        for server in servers:
            is_replaced = server.started_at_ms < latest_start_ms[server.address]
            is_excluded = (
                server.is_leaving or server.data_centre in self._data_centres_out
            )
            if not is_replaced and not is_excluded:
                groups.setdefault(server.service, []).append(server)
        return {name: tuple(group) for name, group in groups.items()}

    def _put_configuration(self, item: ConfigurationItem) -> None:
        if item.configuration is None:
            self._report("configuration_refused", sentence=str(item.error))
            return
        current = self._configuration
        if current is not None and item.configuration.version <= current.version:
            return
        self._configuration = item.configuration
        self._report(
            "configuration_in_force",
            text_version=item.configuration.version,
            n_routes=len(item.configuration.routes),
        )

    def _put_server(self, item: ServerItem, now_ms: int) -> None:
        server = item.server
        if server is None:
            self._report(
                "server_entry_refused",
                backend_server=item.server_id,
                sentence=str(item.error),
            )
            if self._servers.pop(item.server_id, None) is not None:
                self._by_service = None
            return
        entry = self._servers.get(server.server_id)
        if not self._has_servers:
            # The first list is logged as a whole.
            pass
        elif entry is None or entry.server.key != server.key:
            self._report(
                "server_known",
                backend_server=server.server_id,
                service=server.service,
                data_centre=server.data_centre,
                cold_for_ms=server.cold_for_ms,
            )
        elif server.is_leaving and not entry.server.is_leaving:
            self._report("server_leaving", backend_server=server.server_id)
        is_same = entry is not None and entry.server.key == server.key
        self._servers[server.server_id] = _ServerEntry(
            server=server,
            registered_since_ms=entry.registered_since_ms
            if entry and is_same
            else now_ms,
            cold_until_ms=now_ms + server.cold_for_ms,
        )
        self._by_service = None
