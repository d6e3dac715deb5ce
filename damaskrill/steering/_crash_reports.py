"""Reports of crashes under requests and prompt parts, and of those that were served."""

from collections.abc import Callable, Iterable, Set

from attrs import define, evolve, field, frozen

__all__ = [
    "NO_REQUEST",
    "UNKNOWN_WAIT_MS",
    "CrashReport",
    "ServedReport",
    "ServerCrash",
    "SoundnessReport",
    "find_instants",
    "refutes_crash",
]

# Crashes that are closer in time may have one cause outside the servers, such as the
# loss of a data centre's power.
MIN_INSTANT_GAP_MS = 100
# Answers that begin at one server within some hundred milliseconds, and as many
# requests without an answer.
MAX_REPORTS_PER_CRASH = 64
# A server that answers a request that was sent so much later than it seemed to crash
# had not crashed. Routers notice the end of a connection late.
ALIVE_AFTER_MS = 500
# Fingerprint in a report that is only about prompt parts.
NO_REQUEST = 0
UNKNOWN_WAIT_MS = 0xFFFF_FFFF


@frozen
class CrashReport:
    """Request that a server broke off shortly after it had begun to run it.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    router : int
        Short hash of the reporting router's address.
    number : int
        Sequence number of the report, unique for that router.
    age_ms : int
        Time since the request was broken off, in milliseconds.
    waited_ms : int
        Time from the sending of the request until then, in milliseconds;
        `UNKNOWN_WAIT_MS` if it is not known.
    request : int
        Fingerprint of the request; `NO_REQUEST` if it is not known.
    parts : tuple of int
        Short hashes of the prompt's parts in order, without the last one; empty if no
        answer had begun.
    """

    server: int
    router: int
    number: int
    age_ms: int
    waited_ms: int
    request: int
    parts: tuple[int, ...]

    @property
    def suspects(self) -> tuple[int, ...]:
        """Prompt parts and request that may have caused the crash."""
        own = () if self.request == NO_REQUEST else (self.request,)
        return (*self.parts, *own)

    def without(self, suspects: Set[int]) -> "CrashReport":
        """Return the report without some of its prompt parts, or its request."""
        return evolve(
            self,
            request=NO_REQUEST if self.request in suspects else self.request,
            parts=tuple(part for part in self.parts if part not in suspects),
        )


@frozen
class ServedReport:
    """Report that shows a request, a prompt part or a server to be sound.

    Parameters
    ----------
    part : int
        Fingerprint of a request that was served, short hash of a part of its prompt, or
        short hash of the incarnation of a server that had seemed to crash.
    router : int
        Short hash of the reporting router's address.
    number : int
        Sequence number of the report, unique for that router.
    age_ms : int
        Time since then, in milliseconds; for a server, since the request that it
        answered was sent.
    """

    part: int
    router: int
    number: int
    age_ms: int


@frozen
class SoundnessReport:
    """How much is known of the soundness of a prompt part.

    Parameters
    ----------
    part : int
        Short hash of the part.
    n_served : int
        Number of requests with it that one router has seen served, at the least.

    Notes
    -----
    It has neither a sender nor an age: of two reports on a part the larger one counts.
    """

    part: int
    n_served: int


@define
class ServerCrash:
    """Crash of a server, with the requests that it was just beginning to run.

    Attributes
    ----------
    at_ms : float
        Local time of the crash in milliseconds.
    sent_ms : float
        Last time at which a request was sent that the crash broke off.
    reports : list of CrashReport
        The reports.
    suspects : set of int
        Fingerprints of all requests and short hashes of all prompt parts in them.
    parts : set of int
        Those of them that are prompt parts.
    """

    at_ms: float
    sent_ms: float = float("-inf")
    reports: list[CrashReport] = field(factory=list)
    suspects: set[int] = field(factory=set)
    parts: set[int] = field(factory=set)

    def add(self, report: CrashReport, at_ms: float) -> None:
        """Add a report, with the local time of the crash in milliseconds."""
        self.at_ms = min(self.at_ms, at_ms)
        self.sent_ms = max(self.sent_ms, at_ms - report.waited_ms)
        has_begun = bool(report.parts)
        n_similar = sum(bool(each.parts) == has_begun for each in self.reports)
        if n_similar < MAX_REPORTS_PER_CRASH:
            self.reports.append(report)
            self.suspects.update(report.suspects)
            self.parts.update(report.parts)

    def discard_sound(self, is_sound: Callable[[int, float], bool]) -> None:
        """Forget the suspects that did not cause the crash.

        Parameters
        ----------
        is_sound : callable
            Returns whether a suspect did not cause a crash at a time in milliseconds.
        """
        sound = {each for each in self.suspects if is_sound(each, self.at_ms)}
        if not sound:
            return
        self.suspects -= sound
        self.parts -= sound
        reports = [each.without(sound) for each in self.reports]
        self.reports = [each for each in reports if each.suspects]

    def includes(self, report: CrashReport, at_ms: float) -> bool:
        """Return whether a report is of this crash, given its local time.

        Notes
        -----
        It is not if its request was sent long after the crash, or one of this crash
        long after the report: something in front of a dead server may close all
        connections to it.
        """
        return not (
            refutes_crash(at_ms - report.waited_ms, at_ms=self.at_ms)
            or refutes_crash(self.sent_ms, at_ms=at_ms)
        )

    def last_sent_ms(self, suspect: int) -> float:
        """Return when the last request with a suspect was sent, in milliseconds."""
        return max(
            self.at_ms - report.waited_ms
            for report in self.reports
            if suspect in report.suspects
        )


def refutes_crash(sent_ms: float, *, at_ms: float) -> bool:
    """Return whether a server cannot have crashed, if it answered a later request.

    Parameters
    ----------
    sent_ms : float
        When the request was sent, in milliseconds.
    at_ms : float
        When the server seemed to crash, in milliseconds.
    """
    return sent_ms > at_ms + ALIVE_AFTER_MS


def find_instants(crashes: Iterable[ServerCrash], suspect: int) -> list[float]:
    """Return the distinct times of crashes in milliseconds, oldest first.

    Parameters
    ----------
    crashes : iterable of ServerCrash
        Crashes under the suspect.
    suspect : int
        Fingerprint of a request or short hash of a prompt part.

    Notes
    -----
    A crash under a request that was sent after the former crash is another one, however
    soon it follows: a retry may crash the next server at once.
    """
    instants: list[float] = []
    for crash in sorted(crashes, key=lambda each: each.at_ms):
        if (
            not instants
            or crash.at_ms - instants[-1] >= MIN_INSTANT_GAP_MS
            or crash.last_sent_ms(suspect) > instants[-1]
        ):
            instants.append(crash.at_ms)
    return instants
