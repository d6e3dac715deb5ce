"""Causes of missing backend servers, with the start and text version of outages."""

from collections import Counter

from damaskrill.messages import Cause, CauseCode, FleetView

__all__ = ["OutageTracker"]


class OutageTracker:
    """Track the causes of missing backend servers, for the end of a cause chain."""

    def __init__(self) -> None:
        self._view: FleetView | None = None
        self._outage_by_centre: dict[str, Cause] = {}

    def apply_view(self, view: FleetView, now_ms: int) -> None:
        """Update which data centres the text takes out of or back into service."""
        self._view = view
        out = {
            name: self._outage_by_centre.get(name)
            or Cause(
                code=CauseCode.DATA_CENTRE_OUT,
                subject=name,
                text_version=view.text.version,
                at_ms=now_ms,
            )
            for name, centre in view.text.data_centres.items()
            if not centre.in_service
        }
        self._outage_by_centre = out

    def causes_of_missing(self, service: str) -> tuple[Cause, ...]:
        """Return why backend servers of a service are missing.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        tuple of Cause
            The cause that removes the most servers; empty if none is missing.
        """
        view = self._view
        if view is None:
            return ()
        present = {each.name for each in view.servers_by_service.get(service, ())}
        counts: Counter[Cause] = Counter()
        for server in view.text.backend_servers.values():
            if server.service != service or server.name in present:
                continue
            cause = self._outage_by_centre.get(server.data_centre)
            if cause is None:
                cause = Cause(
                    code=CauseCode.BACKEND_SERVER_LEAVING, subject=server.name
                )
            counts[cause] += 1
        return tuple(cause for cause, _ in counts.most_common(1))
