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
ServerKey = tuple[str, int]
# Entries that expired during an outage of the store are registered again within this
# time after its recovery: about two seconds by the users' specification, plus the time
# in which a change propagates between routers.
RECOVERY_GRACE_MS = 2_300
# Time within which operators and servers have written again what a store lost that was
# restored from a copy.
OPERATOR_GRACE_MS = 10_000
# Entries of servers that had left are listed again by a restored store until they
# expire there, after three intervals between heartbeats.
DEPARTED_GRACE_MS = 5_000
# A copy of the store is some seconds old, so that servers which left earlier are not in
# it.
DEPARTED_RETENTION_MS = 60_000
MAX_LEAVING = 4_096
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
    distrusted_until_ms: int = -1


@define(kw_only=True)
class _Groups:
    """Servers by service, and what follows from them."""

    usable: dict[str, tuple[BackendServer, ...]]
    usable_keys: frozenset[ServerKey]
    all: dict[str, tuple[BackendServer, ...]]
    cold_until_ms: dict[str, int]
    has_major_loss: bool


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

    A store that has been restored from a copy repeats older writes. A server that has
    announced that it leaves stays unusable for the life of its process, one that had
    left is used again only after a new write, and a data centre that was taken out
    stays out, until the operators have had the time to write again.
    """

    def __init__(self, *, report: Report) -> None:
        self._report = report
        self._configuration: Configuration | None = None
        self._servers: dict[str, _ServerEntry] = {}
        self._data_centres_out: set[str] = set()
        self._restored_at_ms: dict[str, int] = {}
        self._recovered_at_ms = -1_000_000
        self._has_servers = False
        # Incarnations that have announced that they leave, oldest first.
        self._leaving: dict[ServerKey, None] = {}
        # Incarnations that were removed, and when, oldest first.
        self._departed: dict[ServerKey, int] = {}
        # Data centres that a restored store does not list as out, and until when they
        # stay out.
        self._unconfirmed_out: dict[str, int] = {}
        self._groups: _Groups | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Active configuration; None before the first one."""
        return self._configuration

    @property
    def text_version(self) -> int:
        """Version of the active configuration; 0 before the first one."""
        return 0 if self._configuration is None else self._configuration.version

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
        return self._grouped().has_major_loss

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

    def mark_leaving(self, key: ServerKey, *, cause: str) -> bool:
        """Record that an incarnation leaves and must get no new requests.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        cause : str
            How this became known, for the log.

        Returns
        -------
        bool
            Whether this is new.
        """
        if key in self._leaving:
            return False
        self._leaving[key] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        self._groups = None
        self._report("server_leaving", backend_server=key[0], cause=cause)
        return True

    def find_forgotten_leaving(self) -> list[ServerKey]:
        """Return the leaving incarnations that the store lists as usable."""
        return [
            entry.server.key
            for entry in self._servers.values()
            if entry.server.key in self._leaving and not entry.server.is_leaving
        ]

    def put(self, item: CatalogItem, now_ms: int, *, is_restored: bool = False) -> None:
        """Apply a written item.

        Parameters
        ----------
        item : CatalogItem
            The item.
        now_ms : int
            Current time in milliseconds.
        is_restored : bool, default=False
            Whether it was listed by a store that has been restored from a copy, so that
            it may be older than what is known.
        """
        match item:
            case ConfigurationItem():
                self._put_configuration(item)
            case DataCentreOutItem(data_centre=name):
                if name not in self._data_centres_out:
                    self._report("data_centre_out", data_centre=name)
                self._data_centres_out.add(name)
                self._unconfirmed_out.pop(name, None)
                self._groups = None
            case ServerItem():
                self._put_server(item, now_ms, is_restored=is_restored)
            case IgnoredItem():
                pass

    def remove(
        self, item: CatalogItem, now_ms: int, *, is_restored: bool = False
    ) -> None:
        """Apply the removal of an item.

        Parameters
        ----------
        item : CatalogItem
            The item, which need not have a value.
        now_ms : int
            Current time in milliseconds.
        is_restored : bool, default=False
            Whether a store that has been restored from a copy merely lacks the item.
        """
        match item:
            case DataCentreOutItem(data_centre=name):
                if is_restored and name in self._data_centres_out:
                    self._unconfirmed_out[name] = now_ms + OPERATOR_GRACE_MS
                else:
                    self._restore_data_centre(name, now_ms)
            case ServerItem(server_id=server_id):
                entry = self._servers.get(server_id)
                if entry is not None and entry.expired_at_ms < 0:
                    entry.expired_at_ms = now_ms
                self.purge(now_ms)
            case ConfigurationItem() | IgnoredItem():
                pass

    def purge(self, now_ms: int) -> None:
        """Apply what has become due.

        Notes
        -----
        Removes servers whose entries expired, except shortly after an outage, and
        restores data centres whose removal from service the operators have not
        confirmed.
        """
        for name, until_ms in list(self._unconfirmed_out.items()):
            if now_ms >= until_ms:
                self._restore_data_centre(name, now_ms)
        for entry in self._servers.values():
            if 0 <= entry.distrusted_until_ms <= now_ms:
                entry.distrusted_until_ms = -1
                self._groups = None
        if now_ms >= self._recovered_at_ms + RECOVERY_GRACE_MS:
            self._remove_expired(now_ms)

    def _restore_data_centre(self, name: str, now_ms: int) -> None:
        self._unconfirmed_out.pop(name, None)
        if name in self._data_centres_out:
            self._data_centres_out.discard(name)
            self._restored_at_ms[name] = now_ms
            self._report("data_centre_back", data_centre=name)
            self._groups = None

    def _remove_expired(self, now_ms: int) -> None:
        expired = [
            key for key, each in self._servers.items() if each.expired_at_ms >= 0
        ]
        for server_id in expired:
            entry = self._servers.pop(server_id)
            self._departed[entry.server.key] = now_ms
            self._report("server_gone", backend_server=server_id)
        if expired:
            self._groups = None
        for key, removed_at_ms in list(self._departed.items()):
            if now_ms - removed_at_ms <= DEPARTED_RETENTION_MS:
                break
            del self._departed[key]

    def find_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get requests."""
        return self._grouped().usable.get(service, ())

    def find_all_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return all registered servers of a service, including leaving ones."""
        return self._grouped().all.get(service, ())

    def registered_keys(self) -> set[ServerKey]:
        """Return all registered incarnations, including those that get no requests."""
        return {entry.server.key for entry in self._servers.values()}

    def is_usable(self, key: ServerKey) -> bool:
        """Return whether an incarnation may get requests."""
        return key in self._grouped().usable_keys

    def is_cold(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a server is limited to its cold-start capacity."""
        entry = self._servers.get(server.server_id)
        return entry is not None and now_ms < self._cold_until_ms(entry)

    def has_cold_servers(self, service: str, now_ms: int) -> bool:
        """Return whether some server of a service may be cold."""
        return now_ms < self._grouped().cold_until_ms.get(service, 0)

    def registered_for_ms(self, server: BackendServer, now_ms: int) -> int:
        """Return the time since an incarnation was registered, in milliseconds."""
        entry = self._servers.get(server.server_id)
        if entry is None or entry.server.key != server.key:
            return 0
        return now_ms - entry.registered_since_ms

    def find_service(self, service: str) -> ServiceSpec | None:
        """Return the configuration of a service; None if it is not configured."""
        if self._configuration is None:
            return None
        return self._configuration.services.get(service)

    def _grouped(self) -> _Groups:
        if self._groups is None:
            self._groups = self._group_servers()
        return self._groups

    def _group_servers(self) -> _Groups:
        usable: dict[str, list[BackendServer]] = {}
        registered: dict[str, list[BackendServer]] = {}
        # An address belongs to the process that was last started there. Entries of
        # earlier processes, which may have crashed, expire some seconds later.
        latest_start_ms: dict[tuple[str, int], int] = {}
        cold_until_ms: dict[str, int] = {}
        for entry in self._servers.values():
            server = entry.server
            cold_until_ms[server.service] = max(
                self._cold_until_ms(entry), cold_until_ms.get(server.service, 0)
            )
            registered.setdefault(server.service, []).append(server)
            if self._names_server(server):
                latest_start_ms[server.address] = max(
                    server.started_at_ms, latest_start_ms.get(server.address, 0)
                )
        for entry in self._servers.values():
            server = entry.server
            latest_ms = latest_start_ms.get(server.address, 0)
            is_replaced = server.started_at_ms < latest_ms
            if not is_replaced and not self._is_excluded(entry):
                usable.setdefault(server.service, []).append(server)
        services = self._configuration.services if self._configuration else {}
        return _Groups(
            usable={name: tuple(group) for name, group in usable.items()},
            usable_keys=frozenset(
                server.key for group in usable.values() for server in group
            ),
            all={name: tuple(group) for name, group in registered.items()},
            cold_until_ms=cold_until_ms,
            has_major_loss=any(
                len(usable.get(name, ()))
                <= (1 - MAJOR_LOSS_FRACTION) * len(registered[name])
                for name, spec in services.items()
                if spec.is_engine and name in registered
            ),
        )

    def _names_server(self, server: BackendServer) -> bool:
        """Return whether an entry names a server of a service that operators know."""
        known = self._configuration.services if self._configuration else None
        return known is None or server.service in known

    def _cold_until_ms(self, entry: _ServerEntry) -> int:
        spec = self.find_service(entry.server.service)
        if spec is None or spec.cold_requests_per_s <= 0:
            return 0
        restored_at_ms = self._restored_at_ms.get(entry.server.data_centre)
        if restored_at_ms is None:
            return entry.cold_until_ms
        return max(entry.cold_until_ms, restored_at_ms + spec.cold_duration_ms)

    def _is_excluded(self, entry: _ServerEntry) -> bool:
        return (
            entry.server.is_leaving
            or entry.server.key in self._leaving
            or entry.server.data_centre in self._data_centres_out
            or entry.distrusted_until_ms >= 0
        )

    def _put_configuration(self, item: ConfigurationItem) -> None:
        if item.configuration is None:
            self._report("configuration_refused", sentence=str(item.error))
            return
        current = self._configuration
        if current is not None and item.configuration.version <= current.version:
            return
        self._configuration = item.configuration
        self._groups = None
        self._report(
            "configuration_in_force",
            text_version=item.configuration.version,
            n_routes=len(item.configuration.routes),
        )

    def _put_server(self, item: ServerItem, now_ms: int, *, is_restored: bool) -> None:
        server = item.server
        if server is None:
            self._report(
                "server_entry_refused",
                backend_server=item.server_id,
                sentence=str(item.error),
            )
            if self._servers.pop(item.server_id, None) is not None:
                self._groups = None
            return
        entry = self._servers.get(server.server_id)
        if (
            is_restored
            and entry is not None
            and server.started_at_ms < entry.server.started_at_ms
        ):
            # The entry of an earlier process of the same server.
            entry.expired_at_ms = now_ms
            return
        if server.is_leaving:
            self.mark_leaving(server.key, cause="store")
        is_same = entry is not None and entry.server.key == server.key
        if self._has_servers and not is_same:
            # The first list is logged as a whole.
            self._report(
                "server_known",
                backend_server=server.server_id,
                service=server.service,
                data_centre=server.data_centre,
                cold_for_ms=server.cold_for_ms,
            )
        has_left = is_restored and not is_same and server.key in self._departed
        self._servers[server.server_id] = _ServerEntry(
            server=server,
            registered_since_ms=entry.registered_since_ms
            if entry and is_same
            else now_ms,
            cold_until_ms=now_ms + server.cold_for_ms,
            distrusted_until_ms=now_ms + DEPARTED_GRACE_MS if has_left else -1,
        )
        self._groups = None
