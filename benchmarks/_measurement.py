"""Result of a benchmark and its serialization as a JSON line."""

import json
from typing import Any

from attrs import asdict, field, frozen

__all__ = ["Measurement"]


@frozen(kw_only=True)
class Measurement:
    """Measured value of a quantity.

    Parameters
    ----------
    measure : str
        Name of the measured quantity.
    policy : str
        Policy under test: the product or a baseline.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    seed : int
        Seed of the run.
    parameters : dict
        Further parameters that identify the run, such as the number of engines.
    """

    measure: str
    policy: str
    value: float
    unit: str
    seed: int
    parameters: dict[str, Any] = field(factory=dict)

    def to_json(self) -> str:
        """Return the measurement as a JSON object on one line."""
        content = asdict(self)
        content.update(content.pop("parameters"))
        return json.dumps(content, sort_keys=True)
