"""Selection of the requests and prompt parts that explain the crashes of servers."""

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping

from attrs import frozen

from damaskrill.steering._crash_reports import ServerCrash, find_instants
from damaskrill.steering._served_parts import soundness_level

__all__ = ["BlockedPart", "find_crashing_parts"]

# Crashes at distinct times before a part is blocked. Two may have been a coincidence;
# each further one costs a server.
MIN_CRASHES = 3
# Servers that crash at two distinct times before a part is blocked. In a burst of its
# requests, many servers end within some hundred milliseconds.
MIN_SERVERS = 5
# Time from the last crash to the first trial of a blocked part, and the factor by which
# it grows whenever a trial crashes a server.
FIRST_TRIAL_MS = 60_000
PART_TRIAL_FACTOR = 2
MAX_TRIAL_INTERVAL_MS = 3_600_000
# The same for requests, which may crash three servers after they have been blocked.
REQUEST_TRIAL_FACTOR = 8
MAX_REQUEST_TRIALS = 3
# Time for which one router may try a part, until the turn of the next one: the first
# may get no such requests. A trial that begins late would overlap with the next turn.
TRIAL_TURN_MS = 60_000
TRIAL_MARGIN_MS = 10_000
# The same for a part of which it is not known whether it or another one of the same
# prompts crashes servers. Reports of crashes and of served requests cross the fleet
# within some tenths of a second.
DECIDING_DELAY_MS = 500
DECIDING_TURN_MS = 2_000
# A part that was served more often than another one by this many powers of two, about
# four times as often, is no alternative to it.
MIN_LEVEL_LEAD = 2


@frozen
class BlockedPart:
    """Prompt part that requests may not have, or request that may not be sent.

    Parameters
    ----------
    part : int
        Short hash of the part, or fingerprint of the request.
    last_crash_ms : float
        Time of the last crash that it explains, in milliseconds.
    trial_at_ms : float
        Time from which one request may try the part.
    is_request : bool, default=False
        Whether it is a request rather than a prompt part.
    n_crashes : int, default=0
        Number of crashes that it explains.
    n_served : int, default=0
        Number of requests with it that one router has seen served, at the least.
    alternatives : frozenset of int, default=frozenset()
        Other parts that would explain the same crashes, and are not known to be much
        sounder.
    """

    part: int
    last_crash_ms: float
    trial_at_ms: float
    is_request: bool = False
    n_crashes: int = 0
    n_served: int = 0
    alternatives: frozenset[int] = frozenset()

    def is_decided_by(self, parts: Collection[int]) -> bool:
        """Return whether a request with some parts shows which one crashes servers.

        Notes
        -----
        If a request that lacks an alternative is served, the part is sound. If it
        crashes a server, the alternative doesn't explain all crashes any more.
        """
        return not self.alternatives.issubset(parts)

    def deciding_turn(self, now_ms: float) -> int | None:
        """Return the number of the turn in which some routers may send such requests.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        int or None
            From 0; None shortly after the last crash.
        """
        waited_ms = now_ms - self.last_crash_ms - DECIDING_DELAY_MS
        return None if waited_ms < 0 else int(waited_ms // DECIDING_TURN_MS)

    def trial_key(self, now_ms: float) -> str | None:
        """Return the key whose first router by rendezvous hash may try the part.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        str or None
            None if no router may begin a trial now.
        """
        if now_ms < self.trial_at_ms:
            return None
        turn, since_ms = divmod(now_ms - self.trial_at_ms, TRIAL_TURN_MS)
        if since_ms > TRIAL_TURN_MS - TRIAL_MARGIN_MS:
            return None
        return f"{self.part} {round(turn)}"


def find_crashing_parts(
    crashes: Collection[ServerCrash],
    is_sound: Callable[[int, float], bool],
    count_served: Callable[[int], int],
) -> dict[int, BlockedPart]:
    """Return the parts and requests that explain the crashes, by greedy set cover.

    Parameters
    ----------
    crashes : collection of ServerCrash
        The known crashes.
    is_sound : callable
        Returns whether a part is known to have been sound at a time in milliseconds.
        A crash at such a time does not count against the part.
    count_served : callable
        Returns how many requests with a part a router has seen served.

    Notes
    -----
    The part with the most crashes is chosen first. Among parts with the same crashes,
    it is the one that was served least often, in powers of two; then the one in the
    fewest answers, since a crashing part has one answer a crash and widely shared ones
    may have several; then the one nearest to the end of the prompt, since parts at its
    beginning are shared with more requests. A request comes before its prompt parts;
    among requests it is the one that came most often. A crash that is explained by one
    part does not count against the others, in whatever reports they stand: those are of
    answers that were broken off by the same crash.

    Load pattern: prompts with a crashing part before a document that many sound prompts
    share. Both stand under the same crashes, of which all may come within some
    milliseconds; the place in the prompt says nothing then.
    """
    crashes_by_part: dict[int, list[ServerCrash]] = defaultdict(list)
    for crash in crashes:
        for part in crash.suspects:
            if not is_sound(part, crash.at_ms):
                crashes_by_part[part].append(crash)
    candidates = {
        part: each for part, each in crashes_by_part.items() if len(each) >= MIN_CRASHES
    }
    found: dict[int, BlockedPart] = {}
    explained: set[int] = set()
    while candidates:
        remaining = {
            part: [crash for crash in each if id(crash) not in explained]
            for part, each in candidates.items()
        }
        part = max(
            remaining,
            key=lambda each: _rank(each, remaining[each], count_served(each)),
        )
        instants = find_instants(remaining[part], part)
        if not _is_sufficient(instants, remaining[part]):
            break
        is_request = _is_request(part, remaining[part])
        found[part] = BlockedPart(
            part,
            instants[-1],
            _find_trial_time(instants, is_request=is_request),
            is_request=is_request,
            n_crashes=len(remaining[part]),
            n_served=count_served(part),
            alternatives=frozenset()
            if is_request
            else _find_alternatives(part, remaining[part], candidates, count_served),
        )
        explained.update(id(crash) for crash in candidates.pop(part))
    return found


def _find_alternatives(
    part: int,
    crashes: list[ServerCrash],
    candidates: Mapping[int, list[ServerCrash]],
    count_served: Callable[[int], int],
) -> frozenset[int]:
    least_level = soundness_level(count_served(part)) + MIN_LEVEL_LEAD
    explained = {id(crash) for crash in crashes}
    return frozenset(
        other
        for other, each in candidates.items()
        if other != part
        and not _is_request(other, each)
        and soundness_level(count_served(other)) < least_level
        and explained.issubset({id(crash) for crash in each})
    )


def _is_sufficient(instants: list[float], crashes: list[ServerCrash]) -> bool:
    if len(instants) >= MIN_CRASHES:
        return True
    return len(instants) > 1 and len(crashes) >= MIN_SERVERS


def _rank(part: int, crashes: list[ServerCrash], n_served: int) -> tuple[int, ...]:
    n_crashes = (len(find_instants(crashes, part)), len(crashes))
    if _is_request(part, crashes):
        n_reports = sum(
            part == report.request for crash in crashes for report in crash.reports
        )
        return *n_crashes, True, n_reports, 0, 0, part
    distances = [
        len(report.parts) - report.parts.index(part)
        for crash in crashes
        for report in crash.reports
        if part in report.parts
    ]
    return (
        *n_crashes,
        False,
        -soundness_level(n_served),
        -len(distances),
        -min(distances, default=0),
        part,
    )


def _is_request(part: int, crashes: list[ServerCrash]) -> bool:
    return any(part == report.request for crash in crashes for report in crash.reports)


def _find_trial_time(instants: list[float], *, is_request: bool) -> float:
    factor = REQUEST_TRIAL_FACTOR if is_request else PART_TRIAL_FACTOR
    max_trials = MAX_REQUEST_TRIALS if is_request else math.inf
    interval_ms, n_trials = FIRST_TRIAL_MS, 0
    trial_at_ms: float = instants[:MIN_CRASHES][-1] + interval_ms
    for at_ms in instants[MIN_CRASHES:]:
        if at_ms >= trial_at_ms:
            n_trials += 1
            interval_ms = min(factor * interval_ms, MAX_TRIAL_INTERVAL_MS)
        trial_at_ms = at_ms + interval_ms
    return trial_at_ms if n_trials < max_trials else math.inf
