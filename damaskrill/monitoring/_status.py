"""Status page of one router, as plain text for operators."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime

from damaskrill.messages import CauseCode, EventName, FleetView, LoggedEvent
from damaskrill.utils import Clock

__all__ = ["StatusPage"]

MS_PER_S = 1_000
S_PER_MINUTE = 60
MAX_RECENT_EVENTS = 20
MAX_CAUSES_SHOWN = 8
MAX_SERVERS_NAMED = 5
OUTCOME_PHRASES = {
    "completed": "completed",
    "not_run": "refused and not run",
    "unknown": "ended with an unknown outcome",
}
# Events that concern the fleet and not a single request.
FLEET_EVENT_SENTENCES = {
    EventName.TEXT_ACCEPTED: "a new operators' text is active",
    EventName.TEXT_REFUSED: "an operators' text was rejected; the previous one stays",
    EventName.MEMBERS_CHANGED: "the set of routers has changed",
    EventName.SERVER_COLD: "a backend server has just started and gets less work",
    EventName.SERVER_LEAVING: "a backend server is leaving and gets no new work",
    EventName.CIRCUIT_OPENED: "a backend server failed repeatedly and gets no work",
    EventName.CIRCUIT_CLOSED: "a backend server that had failed gets work again",
    EventName.DATA_CENTRE_OUT: "a data centre was taken out of service",
    EventName.DATA_CENTRE_BACK: "a data centre is back in service",
    EventName.PROCESS_PAUSED: "this process was paused and refreshes its view",
    EventName.PARTITION_SUSPECTED: "only part of the fleet can be reached",
    EventName.ENGINE_ORDERED: "an engine was ordered to change its model or role",
}


class StatusPage:
    """Status page of one router; its memory use does not depend on traffic.

    Parameters
    ----------
    router : str
        Peer address of the router.
    data_centre : str
        Data centre of the router.
    clock : Clock
        Clock for the uptime.
    """

    def __init__(self, *, router: str, data_centre: str, clock: Clock) -> None:
        self._router = router
        self._data_centre = data_centre
        self._clock = clock
        self._started_at_ms = clock.now_ms
        self._outcomes: Counter[str] = Counter()
        self._causes: Counter[CauseCode] = Counter()
        self._latest_sentences: dict[CauseCode, str] = {}
        self._recent_events: deque[tuple[int, str]] = deque(maxlen=MAX_RECENT_EVENTS)
        self._view: FleetView | None = None

    def apply_view(self, view: FleetView) -> None:
        """Replace the view of the fleet."""
        self._view = view

    def observe_event(self, event: LoggedEvent, at_ms: int) -> None:
        """Record a kernel event."""
        if event.name is EventName.REQUEST_ENDED:
            self._outcomes[event.outcome] += 1
            if event.causes and event.outcome != "completed":
                root = event.causes[-1]
                self._causes[root.code] += 1
                self._latest_sentences[root.code] = root.sentence
            return
        sentence = FLEET_EVENT_SENTENCES.get(event.name)
        if sentence is not None:
            self._recent_events.append((at_ms, _append_details(sentence, event)))

    def render(self, *, readiness: str, numbers: Mapping[str, int]) -> str:
        """Render the page.

        Parameters
        ----------
        readiness : str
            Sentence that says whether the router accepts new work.
        numbers : dict of str to int
            Current state values by name.

        Returns
        -------
        str
            Page as plain text.
        """
        lines = [
            f"Router {self._router} in data centre '{self._data_centre}'",
            f"Running for {self._format_uptime()}.",
            f"State: {readiness}.",
            "",
            *self._fleet_lines(),
            "",
            "Now:",
            *(f"  {name.replace('_', ' ')}: {n}" for name, n in numbers.items()),
            "",
            "Requests that ended here since the start:",
            *self._outcome_lines(),
            "",
            "Latest fleet events, newest first:",
            *self._recent_event_lines(),
        ]
        return "\n".join(lines) + "\n"

    def _format_uptime(self) -> str:
        seconds = (self._clock.now_ms - self._started_at_ms) // MS_PER_S
        if seconds < 2 * S_PER_MINUTE:
            return f"{seconds} s"
        return f"{seconds // S_PER_MINUTE} min"

    def _fleet_lines(self) -> Iterable[str]:
        view = self._view
        if view is None:
            return ["Fleet: no view of the fleet yet."]
        lines = [
            f"Fleet: {view.n_reachable} of {view.n_listed} listed routers respond."
        ]
        for name, data_centre in sorted(view.text.data_centres.items()):
            state = "in service" if data_centre.in_service else "taken out of service"
            lines.append(f"  data centre '{name}' is {state}")
        for name in sorted(view.text.services):
            lines.append(self._service_line(view, name))
        return lines

    @staticmethod
    def _service_line(view: FleetView, service: str) -> str:
        servers = view.servers_by_service.get(service, ())
        names = [server.name for server in servers]
        shown = ", ".join(names[:MAX_SERVERS_NAMED])
        if len(names) > MAX_SERVERS_NAMED:
            shown += ", ..."
        n_listed = sum(
            each.service == service for each in view.text.backend_servers.values()
        )
        summary = f"  service '{service}': {len(names)} of {n_listed} backend servers"
        return f"{summary} may get new work ({shown or 'none'})"

    def _outcome_lines(self) -> list[str]:
        lines = [
            f"  {self._outcomes[name]} {phrase}"
            for name, phrase in OUTCOME_PHRASES.items()
        ]
        for code, n_times in self._causes.most_common(MAX_CAUSES_SHOWN):
            sentence = self._latest_sentences[code]
            lines.append(f"  {n_times} of them because of {code.value}: {sentence}")
        return lines

    def _recent_event_lines(self) -> list[str]:
        if not self._recent_events:
            return ["  none"]
        lines = []
        for at_ms, sentence in reversed(self._recent_events):
            moment = datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC)
            lines.append(f"  {moment:%H:%M:%S} UTC: {sentence}")
        return lines


def _append_details(sentence: str, event: LoggedEvent) -> str:
    details = []
    if event.backend_server:
        details.append(event.backend_server)
    if event.data_centre:
        details.append(f"data centre '{event.data_centre}'")
    if event.text_version:
        details.append(f"text version {event.text_version}")
    if event.causes:
        details.append(event.causes[0].sentence)
    if event.detail:
        details.append(event.detail)
    return f"{sentence} ({'; '.join(details)})" if details else sentence
