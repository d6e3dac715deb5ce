"""Decoded items of the platform's store."""

from attrs import frozen

from damaskrill.catalog._model import BackendServer, Configuration
from damaskrill.exceptions import DamaskrillError

__all__ = [
    "CatalogItem",
    "ConfigurationItem",
    "DataCentreOutItem",
    "IgnoredItem",
    "ServerItem",
]


@frozen(kw_only=True)
class ConfigurationItem:
    """The operators' configuration; an error if it cannot be used."""

    configuration: Configuration | None = None
    error: DamaskrillError | None = None


@frozen(kw_only=True)
class DataCentreOutItem:
    """An order to send nothing to a data centre while the item stands."""

    data_centre: str


@frozen(kw_only=True)
class ServerItem:
    """A backend server's entry; an error if it names none that can be used."""

    server_id: str
    server: BackendServer | None = None
    error: DamaskrillError | None = None


@frozen(kw_only=True)
class IgnoredItem:
    """An item that does not concern the routers."""

    key: str


CatalogItem = ConfigurationItem | DataCentreOutItem | ServerItem | IgnoredItem
