"""Base class of placement policies."""

from abc import ABC, abstractmethod
from typing import ClassVar

from damaskrill.messages import FleetView, Request

__all__ = ["BasePlacementPolicy"]


class BasePlacementPolicy(ABC):
    """Rank the backend servers that may run a request.

    Attributes
    ----------
    has_affinity : bool
        Whether a request may wait briefly for its first choice, and follow its chat
        to the server that the chat last spilled to.
    """

    has_affinity: ClassVar[bool] = False

    @abstractmethod
    def rank(self, request: Request, view: FleetView) -> list[str]:
        """Rank the candidates for a request.

        Parameters
        ----------
        request : Request
            The request.
        view : FleetView
            Active view.

        Returns
        -------
        list of str
            Names of backend servers, best first; empty if there is none.
        """

    def observe_load(self, backend_server: str, load: int) -> None:  # noqa: B027
        """Observe the load of a server; does nothing unless overridden.

        Parameters
        ----------
        backend_server : str
            Name of the backend server.
        load : int
            Load of the server.
        """
