"""Base class of placement policies."""

from abc import ABC, abstractmethod
from typing import ClassVar

from damaskrill.messages import FleetView, Request

__all__ = ["BasePlacementPolicy"]


class BasePlacementPolicy(ABC):
    """Orders the backend servers that may run a request.

    Attributes
    ----------
    has_affinity : bool
        Whether a request may wait for its first choice for a short time, and follow
        its chat to the server that last took it from there.
    """

    has_affinity: ClassVar[bool] = False

    @abstractmethod
    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Order the candidates for a request.

        Parameters
        ----------
        request : Request
            The request.
        view : FleetView
            View in force.

        Returns
        -------
        list of str
            Names of backend servers, the best first; empty if there is none.
        """

    def observe_load(self, backend_server: str, load: int) -> None:  # noqa: B027
        """Take a load that was seen; policies without use for it do nothing.

        Parameters
        ----------
        backend_server : str
            Name of the backend server.
        load : int
            Its load.
        """
