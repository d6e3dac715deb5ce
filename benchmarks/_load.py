"""Seeded Poisson arrivals of requests."""

from attrs import frozen

from benchmarks._virtual import SERVICE, VirtualFleet
from damaskrill.messages import Request
from damaskrill.utils import check_random_state

__all__ = ["LoadPattern", "send_pattern"]

BLOCK_TOKENS = 64
N_DOSSIER_BLOCKS = 20


@frozen(kw_only=True)
class LoadPattern:
    """Requests with exponential inter-arrival times.

    Parameters
    ----------
    start_ms, end_ms : int
        Start and end of the interval of arrivals, in milliseconds.
    mean_interarrival_ms : float
        Mean time between arrivals, in milliseconds.
    n_teams, n_dossiers : int
        Number of teams and dossiers that requests are drawn from.
    prefix : str
        Prefix of the names of teams, chats and dossiers.
    name : str
        Prefix of the request IDs; same as ``prefix`` if empty.
    deadline_ms : int
        Time from arrival to deadline, in milliseconds.
    max_output_tokens : int
        Maximum length of an answer, in tokens.
    """

    start_ms: int = 0
    end_ms: int
    mean_interarrival_ms: float
    n_teams: int = 10
    n_dossiers: int = 40
    prefix: str = "steady"
    name: str = ""
    deadline_ms: int = 20_000
    max_output_tokens: int = 120


def send_pattern(fleet: VirtualFleet, pattern: LoadPattern, seed: int) -> int:
    """Schedule the requests of a pattern on a fleet and return their number."""
    random = check_random_state(seed)
    at_ms = float(pattern.start_ms)
    n_sent = 0
    while True:
        at_ms += random.expovariate(1 / pattern.mean_interarrival_ms)
        if at_ms >= pattern.end_ms:
            return n_sent
        dossier = random.randrange(pattern.n_dossiers)
        first_block = dossier * 1_000
        request = Request(
            request_id=f"{pattern.name or pattern.prefix}-{n_sent}",
            service=SERVICE,
            team=f"{pattern.prefix}-team-{random.randrange(pattern.n_teams)}",
            chat=f"{pattern.prefix}-chat-{dossier}-{random.randrange(10)}",
            dossier=f"{pattern.prefix}-dossier-{dossier}",
            prefix_blocks=tuple(range(first_block, first_block + N_DOSSIER_BLOCKS)),
            n_prompt_tokens=N_DOSSIER_BLOCKS * BLOCK_TOKENS,
            deadline_ms=int(at_ms) + pattern.deadline_ms,
        )
        n_output = random.randint(20, pattern.max_output_tokens)
        fleet.send(int(at_ms), request, n_output)
        n_sent += 1
