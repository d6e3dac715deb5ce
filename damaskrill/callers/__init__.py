"""HTTP server for callers and operators."""

from damaskrill.callers._answer import CallerAnswer
from damaskrill.callers._errors import CallerError, RouterBusyError
from damaskrill.callers._limits import CallerLimits
from damaskrill.callers._parse import CallerRequest
from damaskrill.callers._server import CallerServer, RequestHandler

__all__ = [
    "CallerAnswer",
    "CallerError",
    "CallerLimits",
    "CallerRequest",
    "CallerServer",
    "RequestHandler",
    "RouterBusyError",
]
