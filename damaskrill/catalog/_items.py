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
    """Operators' configuration, or the error if it is invalid."""

    configuration: Configuration | None = None
    error: DamaskrillError | None = None


@frozen(kw_only=True)
class DataCentreOutItem:
    """Order to send no requests to a data centre while the item exists."""

    data_centre: str


@frozen(kw_only=True)
class ServerItem:
    """Entry of a backend server, or the error if it is invalid."""

    server_id: str
    server: BackendServer | None = None
    error: DamaskrillError | None = None


@frozen(kw_only=True)
class IgnoredItem:
    """Item that routers do not use."""

    key: str


CatalogItem = ConfigurationItem | DataCentreOutItem | ServerItem | IgnoredItem
