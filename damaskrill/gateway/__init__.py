"""Router in front of backend servers: takes requests, sends them, relays answers."""

from damaskrill.gateway._binding import PlatformBinding
from damaskrill.gateway._errors import UnreadableSettingsError
from damaskrill.gateway._settings import GatewaySettings

__all__ = ["GatewaySettings", "PlatformBinding", "UnreadableSettingsError"]
