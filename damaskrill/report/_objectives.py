"""Service-level objectives, read from the operators' text or set by default."""

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
    """Service-level objectives by service.

    Parameters
    ----------
    text : FleetText
        Operators' text; services that it does not define have default objectives.
    """

    text: FleetText = field(factory=FleetText)

    def service_spec(self, name: str) -> ServiceSpec:
        """Return the specification of a service, or a default one."""
        return self.text.services.get(name) or ServiceSpec(name=name)

    def allowed_share(self, name: str) -> float:
        """Return the fraction of a service's requests that may miss its objective."""
        return (PERMILLE - self.service_spec(name).objective_permille) / PERMILLE

    def is_met(
        self, name: str, *, first_token_ms: int | None, between_tokens_ms: int
    ) -> bool:
        """Return whether a completed request met the latency objectives.

        Parameters
        ----------
        name : str
            Service of the request.
        first_token_ms : int or None
            Time to first token in milliseconds; None if it was not logged.
        between_tokens_ms : int
            Mean inter-token latency in milliseconds; 0 if it was not logged.

        Returns
        -------
        bool
            True if the request met the objectives of its service.
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
        File with the text; empty for the default objectives.

    Returns
    -------
    Objectives
        Objectives of all services that the text defines.

    Raises
    ------
    UnreadableLogError
        If the file cannot be read.
    DamaskrillError
        If the text is invalid.
    """
    if not path:
        return Objectives()
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or repr(error)
        raise UnreadableLogError(path=path, reason=reason) from error
    return Objectives(text=parse_text(content, version=1))
