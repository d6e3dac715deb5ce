"""Kernel of one router, which dispatches each message to its deciders."""

from collections import deque
from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.control import ControlBudget
from damaskrill.kernel._plugins import load_plugins
from damaskrill.kernel._registry import registry
from damaskrill.kernel._view import FleetViewDecider
from damaskrill.messages import (
    InternalMessage,
    Member,
    Message,
    PeerDelivered,
    ProcessPaused,
    SendToPeer,
)

__all__ = ["DECIDER_NAMES", "RouterKernel", "build_kernel"]

# Dispatch order of deciders that handle the same message. Those that update or
# invalidate the view come first, so that the others never act on an outdated one.
DECIDER_NAMES = (
    "pause_guard",
    "membership",
    "configuration",
    "load_means",
    "actions",
    "owner",
    "entry",
    "orders",
    "graceful_stop",
)

# Ticks arrive every 100 ms, so a longer gap means that the process did not run.
PAUSE_THRESHOLD_MS = 800


class RouterKernel:
    """Deciders of one router behind a single ``decide`` function.

    Parameters
    ----------
    own : Member
        This process.
    deciders : sequence of BaseDecider
        Deciders in their dispatch order.

    Notes
    -----
    ``InternalMessage`` instances, and ``SendToPeer`` to the router itself, are
    dispatched to the deciders until none is left. All other results are effects and
    are returned in order. Peer payloads arrive in ``PeerDelivered`` and are
    dispatched by the type of the payload.

    After a gap of more than ``PAUSE_THRESHOLD_MS`` between two calls, the deciders get
    ``ProcessPaused`` before the message, whatever the type of the message is.
    """

    def __init__(self, *, own: Member, deciders: Sequence[BaseDecider]) -> None:
        self._own = own
        self._deciders = tuple(deciders)
        self._control_budget = ControlBudget()
        self._last_call_ms: int | None = None
        self._subscribers: dict[type[Message], list[BaseDecider]] = {}
        for decider in self._deciders:
            for message_type in decider.handles:
                self._subscribers.setdefault(message_type, []).append(decider)

    @property
    def own(self) -> Member:
        """Member of the kernel's own process."""
        return self._own

    @property
    def deciders(self) -> tuple[BaseDecider, ...]:
        """Deciders in their dispatch order."""
        return self._deciders

    @property
    def control_budget(self) -> ControlBudget:
        """Budget of the control traffic of this process."""
        return self._control_budget

    def decide(self, message: Message, now_ms: int) -> list[Message]:
        """Handle one input message.

        Parameters
        ----------
        message : Message
            Input message.
        now_ms : int
            Current time in milliseconds; never decreases between calls.

        Returns
        -------
        list of Message
            Effects, in the order in which they must be executed.
        """
        self._control_budget.charge_received(message, now_ms)
        effects: list[Message] = []
        paused = self._detect_pause(now_ms)
        if paused is not None:
            # Everything that follows from the pause, including the loss of trust in the
            # view, precedes the message that ended it.
            self._deliver(paused, effects, now_ms)
        self._deliver(message, effects, now_ms)
        return self._control_budget.filter(effects, now_ms)

    def _deliver(self, message: Message, effects: list[Message], now_ms: int) -> None:
        pending = deque([message])
        while pending:
            current = pending.popleft()
            for decider in self._subscribers_of(current):
                for result in decider.decide(current, now_ms):
                    self._route_result(result, pending, effects)

    def _detect_pause(self, now_ms: int) -> ProcessPaused | None:
        last_call_ms = self._last_call_ms
        self._last_call_ms = now_ms
        if last_call_ms is None or now_ms - last_call_ms <= PAUSE_THRESHOLD_MS:
            return None
        return ProcessPaused(duration_ms=now_ms - last_call_ms)

    def _subscribers_of(self, message: Message) -> Sequence[BaseDecider]:
        if isinstance(message, PeerDelivered):
            return self._subscribers.get(type(message.payload), ())
        return self._subscribers.get(type(message), ())

    def _route_result(
        self, result: Message, pending: deque[Message], effects: list[Message]
    ) -> None:
        match result:
            case SendToPeer(address=self._own.address, payload=payload):
                pending.append(PeerDelivered(sender=self._own, payload=payload))
            case InternalMessage():
                pending.append(result)
            case _:
                effects.append(result)


def build_kernel(
    *,
    own: Member,
    random_state: int,
    decider_names: Sequence[str] = DECIDER_NAMES,
) -> RouterKernel:
    """Build a kernel from the registered deciders.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Seed of all random choices.
    decider_names : sequence of str
        Names of registered deciders, in their dispatch order; ``FleetViewDecider``
        precedes them all.

    Returns
    -------
    RouterKernel
        Kernel with the deciders.
    """
    load_plugins()
    registered = registry.names("decider")
    deciders: list[BaseDecider] = [
        registry.create("decider", name, own=own, random_state=random_state)
        for name in decider_names
        if name in registered
    ]
    return RouterKernel(own=own, deciders=[FleetViewDecider(own=own), *deciders])
