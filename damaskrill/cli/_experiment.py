"""The command ``damaskrill experiment``."""

import json as json_module
from pathlib import Path
from typing import TYPE_CHECKING

from damaskrill.cli._errors import UsageError

if TYPE_CHECKING:
    from damaskrill.experiment import Policy

__all__ = ["run"]

MAX_SEEDS = 1_000


def run(
    file: str,
    *,
    policies: str = "all",
    seed: str = "1",
    seeds: str = "1",
    json: bool = False,
) -> int:
    """Simulate a load pattern on emulated engines, once for each policy.

    Parameters
    ----------
    file : str
        INI file with the load pattern; see ``examples/experiments`` for examples.
    policies : str, default="all"
        Names separated by commas, or ``all``. Policies are ``product``, ``no_news``,
        ``rendezvous``, ``least_loaded``, ``two_choices`` and ``random``.
    seed, seeds : str, default="1"
        First seed, and number of consecutive seeds whose results are summed.
    json : bool, default=False
        Whether to print one JSON object instead of a table.

    Returns
    -------
    int
        Exit status: 0 if the simulation ran, 2 if the file or a value is invalid.
    """
    from damaskrill.experiment import Measures, read_plan, simulate

    first, n_seeds = _parse_number("seed", seed), _parse_number("seeds", seeds)
    if not 1 <= n_seeds <= MAX_SEEDS:
        raise UsageError(reason=f"seeds must be between 1 and {MAX_SEEDS}")
    selected = _parse_policies(policies)
    plan = read_plan(Path(file))
    results = {}
    for policy in selected:
        total = Measures()
        for number in range(first, first + n_seeds):
            total.add(simulate(plan, policy=policy, random_state=number))
        results[policy.value] = total.to_map()
    print(json_module.dumps(results) if json else _render(results))
    return 0


def _parse_number(name: str, text: str) -> int:
    if not str(text).isdigit():
        raise UsageError(reason=f"{name} must be an integer, not '{text}'")
    return int(text)


def _parse_policies(text: str) -> list["Policy"]:
    from damaskrill.experiment import Policy

    names = text if isinstance(text, tuple) else text.split(",")
    if list(names) == ["all"]:
        return list(Policy)
    policies = {each.value: each for each in Policy}
    for name in names:
        if name not in policies:
            raise UsageError(
                reason=f"unknown policy '{name}'; expected one of {', '.join(policies)}"
            )
    return [policies[name] for name in names]


def _render(results: dict[str, dict[str, float]]) -> str:
    names = list(next(iter(results.values())))
    width = max(len(name) for name in names)
    rows = ["  ".join([" " * width, *(f"{policy:>12}" for policy in results)])]
    for name in names:
        cells = [f"{each[name]:>12}" for each in results.values()]
        rows.append("  ".join([name.ljust(width), *cells]))
    return "\n".join(rows)
