"""Deciders of one router, with a record of their effects."""

from benchmarks._virtual import RequestForwarder
from damaskrill.admission import OwnerDecider
from damaskrill.kernel import FleetViewDecider, RouterKernel, load_plugins
from damaskrill.messages import (
    AnswerCaller,
    LoggedEvent,
    MembersChanged,
    RequestArrived,
    TextAccepted,
    Tick,
)
from damaskrill.routing import EntryDecider
from features.support.builders import build_member

TICK_MS = 100


class SingleRouter:
    """Feed one kernel with messages and record its effects."""

    def __init__(self, *, text, own=None, others=(), **members_fields):
        load_plugins()
        own = own or build_member(1)
        self.now_ms = 0
        self.effects = []
        self.owner = OwnerDecider(own=own, random_state=1)
        self.kernel = RouterKernel(
            own=own,
            deciders=[
                FleetViewDecider(own=own),
                RequestForwarder(),
                self.owner,
                EntryDecider(own=own, random_state=1),
            ],
        )
        members = (own, *others)
        members_fields.setdefault("n_listed", len(members))
        members_fields.setdefault("n_reachable", len(members))
        self.feed(MembersChanged(members=members, **members_fields))
        self.feed(TextAccepted(text=text))

    def feed(self, message):
        """Pass a message to the kernel and return the effects."""
        effects = self.kernel.decide(message, self.now_ms)
        self.effects += effects
        return effects

    def route(self, request):
        """Simulate the arrival of a caller's request."""
        return self.feed(RequestArrived(request=request))

    def tick(self, duration_ms):
        """Advance the time in ticks."""
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            self.feed(Tick())

    def all(self, message_type):
        """Return all effects of a type."""
        return [each for each in self.effects if isinstance(each, message_type)]

    def last(self, message_type):
        """Return the last effect of a type."""
        return self.all(message_type)[-1]

    @property
    def outcomes(self):
        """Outcomes sent to callers."""
        return [each.outcome for each in self.all(AnswerCaller)]

    def events(self, name):
        """Return all log events of a name."""
        return [each for each in self.all(LoggedEvent) if each.name is name]

    def events_of(self, request_id):
        """Return all log events of a request."""
        return [each for each in self.all(LoggedEvent) if each.request_id == request_id]
