"""The operators' text and the settings of a process."""

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

__all__ = [
    "BackendServerSpec",
    "DataCentreSpec",
    "FencingCheck",
    "FleetText",
    "LimitSpec",
    "ServiceKind",
    "ServiceSpec",
    "TeamSpec",
]
