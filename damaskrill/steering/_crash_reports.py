"""Reports of crashes under prompt parts, and of parts that were served."""

from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = ["CrashReport", "PartCrash", "ServedReport", "find_instants"]

# Crashes that are closer in time may have one cause outside the servers, such as the
# loss of a data centre's power.
MIN_INSTANT_GAP_MS = 100
# Answers that begin at one server within some hundred milliseconds.
MAX_REPORTS_PER_CRASH = 64


@frozen
class CrashReport:
    """Answer that a server broke off shortly after it had begun.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    router : int
        Short hash of the reporting router's address.
    number : int
        Sequence number of the report, unique for that router.
    age_ms : int
        Time since the answer was broken off, in milliseconds.
    parts : tuple of int
        Short hashes of the prompt's parts in order, without the last one.
    """

    server: int
    router: int
    number: int
    age_ms: int
    parts: tuple[int, ...]


@frozen
class ServedReport:
    """Report that a request with a prompt part was served.

    Parameters
    ----------
    part : int
        Short hash of the part.
    router : int
        Short hash of the reporting router's address.
    number : int
        Sequence number of the report, unique for that router.
    age_ms : int
        Time since then, in milliseconds.
    """

    part: int
    router: int
    number: int
    age_ms: int


@define
class PartCrash:
    """Crash of a server, with the prompts of the answers that were just beginning.

    Attributes
    ----------
    at_ms : float
        Local time of the crash in milliseconds.
    reports : list of CrashReport
        The reports.
    parts : set of int
        Short hashes of all parts in them.
    """

    at_ms: float
    reports: list[CrashReport] = field(factory=list)
    parts: set[int] = field(factory=set)

    def add(self, report: CrashReport, at_ms: float) -> None:
        """Add a report, with the local time of the crash in milliseconds."""
        self.at_ms = min(self.at_ms, at_ms)
        if len(self.reports) < MAX_REPORTS_PER_CRASH:
            self.reports.append(report)
            self.parts.update(report.parts)


def find_instants(crashes: Iterable[PartCrash]) -> list[float]:
    """Return the distinct times of crashes in milliseconds, oldest first."""
    instants: list[float] = []
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if not instants or at_ms - instants[-1] >= MIN_INSTANT_GAP_MS:
            instants.append(at_ms)
    return instants
