"""Published routes, services, teams and backend servers as typed values."""

from damaskrill.catalog._catalog import Catalog
from damaskrill.catalog._errors import UnusableConfigurationError, UnusableServerError
from damaskrill.catalog._items import (
    CatalogItem,
    ConfigurationItem,
    DataCentreOutItem,
    IgnoredItem,
    ServerItem,
)
from damaskrill.catalog._model import (
    BackendServer,
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceShare,
    ServiceSpec,
    Team,
)

__all__ = [
    "BackendServer",
    "CallerLimits",
    "Catalog",
    "CatalogItem",
    "Configuration",
    "ConfigurationItem",
    "DataCentreOutItem",
    "IgnoredItem",
    "RequestKind",
    "Route",
    "ServerItem",
    "ServiceShare",
    "ServiceSpec",
    "Team",
    "UnusableConfigurationError",
    "UnusableServerError",
]
