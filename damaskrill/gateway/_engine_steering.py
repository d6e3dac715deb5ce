"""What a router states to engines about a request, and what it knows of their room."""

from damaskrill.catalog import BackendServer, Catalog, Route, Team
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.steering import AnswerMetadata, EngineUrgency, RequestMetadata

__all__ = ["EngineSteering"]


class EngineSteering:
    """Decisions on requests to engines that state how long work takes.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    log : DecisionLog
        Log of decisions.
    metrics : GatewayMetrics
        Metrics of the process.
    """

    def __init__(
        self, *, catalog: Catalog, log: DecisionLog, metrics: GatewayMetrics
    ) -> None:
        self._catalog = catalog
        self._log = log
        self._metrics = metrics
        self._urgency = EngineUrgency()

    def handle_metadata(self, server: BackendServer, metadata: AnswerMetadata) -> None:
        """Handle what an engine states in an answer."""
        load = metadata.load
        if load is None or load.slowness is None or not self._is_engine(server.service):
            return
        if self._urgency.record_stated(server.service):
            self._log.write("urgency_stated", service=server.service)

    def find_urgency(
        self,
        server: BackendServer,
        route: Route,
        team: Team | None,
        metadata: RequestMetadata,
        *,
        was_sent: bool,
    ) -> int | None:
        """Return the urgency to state to an engine; None to state none."""
        configuration = self._catalog.configuration
        if configuration is None:
            return None
        urgency = self._urgency.find(
            configuration,
            server.service,
            route=route,
            team=team,
            request_id=metadata.request_id,
            was_sent=was_sent or metadata.is_resumed,
        )
        if urgency is not None:
            self._metrics.record_urgency(urgency)
        return urgency

    def _is_engine(self, service: str) -> bool:
        configuration = self._catalog.configuration
        spec = configuration.services.get(service) if configuration else None
        return spec is not None and spec.is_engine
