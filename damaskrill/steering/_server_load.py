"""Load that a backend server states in its answers."""

from attrs import frozen

__all__ = ["ServerLoad"]


@frozen(kw_only=True)
class ServerLoad:
    """Load that a backend server stated at one moment.

    Parameters
    ----------
    n_running, n_waiting : int
        Requests that it runs, and requests that wait for a slot.
    n_slots : int
        Requests that it runs concurrently; 0 if it does not say.
    slowness : float or None
        How long work takes on its host at this moment, relative to the usual time; None
        if it does not say. It changes several times a second where hosts are shared.
    """

    n_running: int
    n_waiting: int
    n_slots: int = 0
    slowness: float | None = None

    @property
    def n_requests(self) -> int:
        """Running and waiting requests."""
        return self.n_running + self.n_waiting
