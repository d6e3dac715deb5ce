"""One measured figure and its output as a JSON line."""

import json
from typing import Any

from attrs import asdict, field, frozen

__all__ = ["Measurement"]


@frozen(kw_only=True)
class Measurement:
    """A measured value.

    Parameters
    ----------
    measure : str
        What was measured.
    policy : str
        Product or baseline that it was measured for.
    value : float
        The value.
    unit : str
        Its unit.
    seed : int
        Seed of the run.
    parameters : dict
        What else tells this run from others, such as the number of engines.
    """

    measure: str
    policy: str
    value: float
    unit: str
    seed: int
    parameters: dict[str, Any] = field(factory=dict)

    def to_json(self) -> str:
        """Return the figure as one JSON object on one line."""
        content = asdict(self)
        content.update(content.pop("parameters"))
        return json.dumps(content, sort_keys=True)
