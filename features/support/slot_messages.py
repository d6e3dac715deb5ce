"""Messages about slots, valid ones and such as no router may send."""

import math

from damaskrill.mesh import SlotBatch, SlotsHeld
from damaskrill.scheduling import (
    ReleaseOutcome,
    SlotAssignment,
    SlotQueued,
    SlotRefusal,
    SlotRefusalReason,
    SlotRelease,
    SlotRequest,
)
from damaskrill.steering import ServerLoad

HASH = 2**32 - 1


def build_slot_batch():
    """Return a batch with messages of all kinds, with extreme values."""
    load = ServerLoad(n_running=6, n_waiting=2, n_slots=6, slowness=2.5)
    plain_load = ServerLoad(n_running=0, n_waiting=0)
    return SlotBatch(
        service="app",
        messages=(
            SlotRequest(
                router="",
                number=2**53,
                service="app",
                team="tëam",
                priority=3,
                target_left_ms=-50.0,
                limit_left_ms=1_557.0,
                excluded=frozenset({0, HASH}),
            ),
            SlotQueued(router="", number=1, predicted_ms=80.0, n_ahead=5),
            SlotAssignment(
                router="",
                number=2,
                server=HASH,
                predicted_ms=81.0,
                waited_ms=79.0,
                n_ahead=5,
            ),
            *(
                SlotRefusal(
                    router="",
                    number=3,
                    reason=reason,
                    predicted_ms=600.0,
                    retry_after_ms=250.0,
                    n_ahead=40,
                )
                for reason in SlotRefusalReason
            ),
            *(
                SlotRelease(router="", number=4, outcome=outcome, load=plain_load)
                for outcome in ReleaseOutcome
            ),
            SlotRelease(
                router="",
                number=5,
                outcome=ReleaseOutcome.COMPLETED,
                duration_ms=92.0,
                load=load,
            ),
            SlotsHeld(numbers=frozenset({1, 2**53})),
            SlotsHeld(numbers=frozenset()),
        ),
    )


# A valid item of each kind.
REQUEST = [0, 1, "team", 1, 400, 1_500, [7]]
QUEUED = [1, 1, 80, 5]
ASSIGNMENT = [2, 1, 7, 80, 79, 5]
REFUSAL = [3, 1, 0, 600, 250, 40]
RELEASE = [4, 1, 0, 92, [6, 2, 6, 250]]
ITEMS = (REQUEST, QUEUED, ASSIGNMENT, REFUSAL, RELEASE)
WRONG_VALUES = (None, True, "x", -1, 2**60, math.nan, math.inf, -(2.0**60), b"", {})


def build_malformed_items():
    """Return items with a field that is missing, of another type or out of range."""
    yield from (None, 5, "k", [], [None], [True], ["a", 1], [-1, 1], [1.5, 1])
    for item in ITEMS:
        yield from (item[:length] for length in range(len(item)))
        for index in range(1, len(item)):
            for value in WRONG_VALUES:
                if not _is_valid(item, index, value):
                    yield [*item[:index], value, *item[index + 1 :]]
    yield [*REQUEST[:2], "t" * 2_000, *REQUEST[3:]]
    yield [*REQUEST[:6], list(range(300))]
    yield from ([*REQUEST[:6], [each]] for each in (-1, 2**32, "7", 1.0, True))
    yield from ([5, each] for each in (None, 5, "1", [-1], ["1"], [1.5], [True]))
    yield from ([5], [5, list(range(2_000))])
    yield from ([*RELEASE[:4], each] for each in ([], [1, 2], [1, 2, 3, "x"], "load"))
    yield from ([*RELEASE[:4], [each, 0, 6, 100]] for each in (-1, 2**33, "1", 0.5))


def _is_valid(item, index, value):
    if item is REQUEST:
        # The time that is left until the target may be over.
        return (index == 2 and value == "x") or (index == 4 and value == -1)
    return item is RELEASE and index == 4 and value is None
