"""HTTP client for backend servers: attempts, load reports, cache events and orders."""

from damaskrill.backends._client import BackendClient, BackendLimits
from damaskrill.backends._errors import BackendUnreachableError
from damaskrill.backends._reports import ReportReader

__all__ = [
    "BackendClient",
    "BackendLimits",
    "BackendUnreachableError",
    "ReportReader",
]
