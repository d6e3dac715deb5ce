"""Routers that do not answer requests for slots."""

from attrs import define

__all__ = ["UnansweringRouters"]

# A router that is asked again and again would cost each time the wait for its answer;
# one that was only busy is back by then.
FIRST_PAUSE_MS = 1_000.0
# As long as a dead router is listed in a large fleet.
MAX_PAUSE_MS = 8_000.0


@define(kw_only=True)
class _Pause:
    until_ms: float
    duration_ms: float


class UnansweringRouters:
    """Routers that have not answered in time and are not asked for a while.

    Notes
    -----
    Handles a scheduler that is frozen, cut off or dead and still listed: a request a
    second, then one in two seconds and so on finds out, the others go elsewhere.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def record_unanswered(self, address: str, now_ms: float) -> bool:
        """Record that a router has not answered; return whether this is news."""
        pause = self._pauses.get(address)
        if pause is not None and now_ms < pause.until_ms:
            return False
        duration_ms = FIRST_PAUSE_MS
        if pause is not None:
            duration_ms = min(2 * pause.duration_ms, MAX_PAUSE_MS)
        self._pauses[address] = _Pause(
            until_ms=now_ms + duration_ms, duration_ms=duration_ms
        )
        return True

    def record_answer(self, address: str, now_ms: float) -> None:
        """Record that a router answers again; what came late ends no pause."""
        pause = self._pauses.get(address)
        if pause is not None and now_ms >= pause.until_ms:
            del self._pauses[address]

    def find(self, now_ms: float) -> list[str]:
        """Return the routers that are not to be asked now."""
        for address, pause in list(self._pauses.items()):
            if now_ms > pause.until_ms + 2 * MAX_PAUSE_MS:
                del self._pauses[address]
        return [
            address for address, each in self._pauses.items() if now_ms < each.until_ms
        ]
