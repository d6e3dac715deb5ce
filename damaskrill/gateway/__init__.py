"""Router that forwards callers' requests to backend servers and relays the answers."""

from damaskrill.gateway._binding import PlatformBinding
from damaskrill.gateway._errors import (
    CacheAnswerError,
    StatementError,
    UnreadableSettingsError,
)
from damaskrill.gateway._settings import GatewaySettings

__all__ = [
    "CacheAnswerError",
    "GatewaySettings",
    "PlatformBinding",
    "StatementError",
    "UnreadableSettingsError",
]
