"""Plan of an experiment, read from an INI file."""

from configparser import ConfigParser, Error, SectionProxy
from pathlib import Path
from typing import Any

from attrs import field, fields, frozen

from damaskrill.experiment._errors import UnreadableExperimentError

__all__ = ["EngineChange", "EnginePlan", "ExperimentPlan", "RequestPlan", "read_plan"]

MAX_ROUTERS = 1_000
MAX_ENGINES = 20_000
MAX_REQUESTS = 1_000_000
MS_PER_S = 1_000


@frozen(kw_only=True)
class EnginePlan:
    """Number and performance of the engines.

    Parameters
    ----------
    n : int
        Engines at the start.
    n_slots : int
        Requests that an engine runs concurrently.
    read_tokens_per_ms : float
        Prefill throughput.
    step_ms : float
        Duration of an output step with a single request, in milliseconds.
    step_ms_per_request : float
        Increase of the step duration per further request, in milliseconds.
    cache_tokens : int
        Capacity of an engine's prefix cache, in tokens of shared parts.
    copy_tokens_per_ms : float
        Throughput of prefix copies between engines.
    """

    n: int = 30
    n_slots: int = 64
    read_tokens_per_ms: float = 51.0
    step_ms: float = 5.1
    step_ms_per_request: float = 0.03
    cache_tokens: int = 340_000
    copy_tokens_per_ms: float = 420.0


@frozen(kw_only=True)
class RequestPlan:
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Name of the kind.
    per_s : float
        Mean rate per second; arrivals are a Poisson process.
    n_keys, n_bases : int
        Distinct shared parts, and distinct base parts, which precede the shared parts
        and are each shared by several keys.
    key_tokens, base_tokens, own_tokens : int
        Tokens of a shared part, of a base part and of the rest of the prompt.
    n_steps : int
        Output steps.
    target_ms : float
        Latency target of the first event, in milliseconds.
    hot_part : float
        Fraction of the requests that use the same single key.
    """

    name: str
    per_s: float
    n_keys: int
    n_bases: int = 1
    key_tokens: int = 2_000
    base_tokens: int = 0
    own_tokens: int = 400
    n_steps: int = 10
    target_ms: float = 500.0
    hot_part: float = 0.0


@frozen(kw_only=True)
class EngineChange:
    """Engines that are added or removed, one after the other.

    Parameters
    ----------
    at_ms, gap_ms : float
        Time of the first change, and the interval between changes, in milliseconds.
    n : int
        Number of engines.
    is_coming : bool
        Whether the engines are added.
    """

    at_ms: float
    gap_ms: float
    n: int
    is_coming: bool


@frozen(kw_only=True)
class ExperimentPlan:
    """A load pattern and the fleet that serves it.

    Parameters
    ----------
    n_routers : int
        Routers; the requests are spread evenly over them, at random.
    n_links : int
        Links that each router opens to other routers.
    news_ms, way_ms : float
        Gossip interval, and one-way latency between routers, in milliseconds.
    duration_ms : float
        Duration of the load, in milliseconds.
    engines : EnginePlan
        Engines at the start.
    requests : tuple of RequestPlan
        Kinds of requests.
    changes : tuple of EngineChange
        Engines that are added and removed during the load.
    """

    n_routers: int = 77
    n_links: int = 3
    news_ms: float = 200.0
    way_ms: float = 1.0
    duration_ms: float = 20_000.0
    engines: EnginePlan = field(factory=EnginePlan)
    requests: tuple[RequestPlan, ...] = ()
    changes: tuple[EngineChange, ...] = ()


def read_plan(path: Path) -> ExperimentPlan:
    """Read a plan from an INI file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    ExperimentPlan
        The plan.

    Raises
    ------
    UnreadableExperimentError
        If the file cannot be read, has an unknown section or field, or a value out of
        its range.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        plan = _parse_sections(parser)
        _validate(plan)
    except (OSError, Error, ValueError, TypeError) as error:
        reason = " ".join(str(error).split())
        raise UnreadableExperimentError(path=path, reason=reason) from error
    return plan


def _parse_sections(parser: ConfigParser) -> ExperimentPlan:
    values: dict[str, Any] = {}
    requests, changes = [], []
    for name in parser.sections():
        section = parser[name]
        match name.split(" ", 1):
            case ["fleet"]:
                values.update(_parse_numbers(section, ExperimentPlan))
            case ["engines"]:
                values["engines"] = EnginePlan(**_parse_numbers(section, EnginePlan))
            case ["requests", kind]:
                numbers = _parse_numbers(section, RequestPlan)
                requests.append(RequestPlan(name=kind, **numbers))
            case [("come" | "leave") as direction, *_]:
                numbers = _parse_numbers(section, EngineChange)
                changes.append(EngineChange(is_coming=direction == "come", **numbers))
            case _:
                raise ValueError(f"unknown section [{name}]")
    return ExperimentPlan(requests=tuple(requests), changes=tuple(changes), **values)


def _parse_numbers(section: SectionProxy, kind: type[Any]) -> dict[str, Any]:
    types = {each.name: each.type for each in fields(kind)}
    numbers: dict[str, Any] = {}
    for name, text in section.items():
        number_type = types.get(name)
        if number_type is not int and number_type is not float:
            raise ValueError(f"unknown field '{name}' in [{section.name}]")
        number = number_type(text)
        if number < 0:
            raise ValueError(f"'{name}' in [{section.name}] must not be below 0")
        numbers[name] = number
    return numbers


def _validate(plan: ExperimentPlan) -> None:
    if not plan.requests:
        raise ValueError("there is no section [requests NAME]")
    if not 1 <= plan.n_routers <= MAX_ROUTERS:
        raise ValueError(f"n_routers must be from 1 to {MAX_ROUTERS}")
    if not 1 <= plan.engines.n <= MAX_ENGINES:
        raise ValueError(f"n of [engines] must be from 1 to {MAX_ENGINES}")
    if not plan.news_ms or not plan.engines.read_tokens_per_ms:
        raise ValueError("news_ms and read_tokens_per_ms must be above 0")
    if any(not each.n_keys or not each.n_bases for each in plan.requests):
        raise ValueError("n_keys and n_bases must be above 0")
    n_requests = sum(each.per_s for each in plan.requests) * plan.duration_ms / MS_PER_S
    if not 1 <= n_requests <= MAX_REQUESTS:
        raise ValueError(f"the number of requests must be from 1 to {MAX_REQUESTS}")
