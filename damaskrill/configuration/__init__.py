"""The operators' text and the settings of a process."""

from damaskrill.configuration._faults import (
    Fault,
    FaultCode,
    InvalidConfigurationError,
)
from damaskrill.configuration._model import (
    BackendServerSpec,
    DataCentreSpec,
    FencingCheck,
    FleetText,
    LimitSpec,
    ServiceKind,
    ServiceSpec,
    TeamSpec,
)
from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.configuration._settings import (
    Settings,
    UnreadableFileError,
    parse_settings,
    read_settings,
)

__all__ = [
    "BackendServerSpec",
    "DataCentreSpec",
    "Fault",
    "FaultCode",
    "FencingCheck",
    "FleetText",
    "InvalidConfigurationError",
    "LimitSpec",
    "PeerLimits",
    "ServiceKind",
    "ServiceSpec",
    "Settings",
    "TeamSpec",
    "UnreadableFileError",
    "parse_settings",
    "read_settings",
]
