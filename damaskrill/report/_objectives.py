"""Service-level objectives, from the operators' text or by default."""

from pathlib import Path

from attrs import field, frozen

from damaskrill.configuration import (
    FleetText,
    ServiceKind,
    ServiceSpec,
    parse_text,
)
from damaskrill.exceptions import UnreadableLogError

__all__ = ["Objectives", "read_objectives"]

PERMILLE = 1_000


@frozen(kw_only=True)
class Objectives:
    """Objectives by service.

    Parameters
    ----------
    text : FleetText
        Operators' text; a service that it does not name has the defaults.
    """

    text: FleetText = field(factory=FleetText)

    def service_spec(self, name: str) -> ServiceSpec:
        """Return the section of a service, or the defaults under its name."""
        return self.text.services.get(name) or ServiceSpec(name=name)

    def allowed_share(self, name: str) -> float:
        """Return the share of a service's requests that may miss its objective."""
        return (PERMILLE - self.service_spec(name).objective_permille) / PERMILLE

    def is_met(
        self, name: str, *, first_token_ms: int | None, between_tokens_ms: int
    ) -> bool:
        """Return whether a completed request was fast enough.

        Parameters
        ----------
        name : str
            Its service.
        first_token_ms : int or None
            Time from its arrival to the first token in milliseconds; None if it was
            not logged.
        between_tokens_ms : int
            Mean time between tokens in milliseconds; 0 if it was not logged.

        Returns
        -------
        bool
            Whether it met the objectives of its service.
        """
        spec = self.service_spec(name)
        if (
            first_token_ms is not None
            and first_token_ms > spec.first_token_objective_ms
        ):
            return False
        if spec.kind is ServiceKind.PLAIN:
            return True
        return between_tokens_ms <= spec.between_tokens_objective_ms


def read_objectives(path: str) -> Objectives:
    """Read the objectives from an operators' text.

    Parameters
    ----------
    path : str
        File with the text; empty for the defaults.

    Returns
    -------
    Objectives
        The objectives.

    Raises
    ------
    UnreadableLogError
        If the file cannot be read.
    DamaskrillError
        If the text is not valid.
    """
    if not path:
        return Objectives()
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or repr(error)
        raise UnreadableLogError(path=path, reason=reason) from error
    return Objectives(text=parse_text(content, version=1))
