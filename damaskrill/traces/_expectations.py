"""Data classes of the outcomes that a trace expects.

Notes
-----
An expected outcome is evaluated at its position in the trace, over all previous lines.
It is derived from the operators' text and the product's guarantees, not copied from
the result of a run.
"""

from typing import Any, ClassVar

import cattrs
from attrs import frozen

__all__ = [
    "EXPECTATION_TYPES",
    "Expectation",
    "ExpectedAnswerCount",
    "ExpectedCause",
    "ExpectedDispatchCount",
    "ExpectedLoadAtMost",
    "ExpectedNoDispatchTo",
    "ExpectedOutcome",
    "ExpectedSameServer",
    "ExpectedTextVersion",
    "expectation_from_map",
    "expectation_to_map",
]

EXPECT_KEY = "expect"
EXPECTATION_TYPES: dict[str, type["Expectation"]] = {}


@frozen(kw_only=True)
class Expectation:
    """Base class of expected outcomes.

    Parameters
    ----------
    at_ms : int
        Time at which it is evaluated, in milliseconds.

    Attributes
    ----------
    kind : str
        Value of ``expect`` in the trace.
    """

    kind: ClassVar[str] = ""
    at_ms: int

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        # With slots, attrs creates the class a second time; the last one is registered.
        EXPECTATION_TYPES[cls.kind] = cls


@frozen(kw_only=True)
class ExpectedOutcome(Expectation):
    """A request has ended with one of the given outcomes.

    Parameters
    ----------
    request_id : str
        ID of the request.
    outcome : str
        ``completed``, ``not_run`` or ``unknown``.
    alternatives : tuple of str
        Further accepted outcomes.
    """

    kind: ClassVar[str] = "outcome"
    request_id: str
    outcome: str
    alternatives: tuple[str, ...] = ()


@frozen(kw_only=True)
class ExpectedCause(Expectation):
    """The chain of causes of a request's outcome contains a code."""

    kind: ClassVar[str] = "cause"
    request_id: str
    code: str


@frozen(kw_only=True)
class ExpectedAnswerCount(Expectation):
    """A caller has received exactly this number of outcomes of a request."""

    kind: ClassVar[str] = "answer_count"
    request_id: str
    exactly: int = 1


@frozen(kw_only=True)
class ExpectedDispatchCount(Expectation):
    """The number of dispatches of a request or an action is within bounds.

    Parameters
    ----------
    request_id, idempotency_key, permit : str
        Request or action whose dispatches are counted; one of them is set.
    at_most, at_least : int
        Bounds of the count.
    """

    kind: ClassVar[str] = "dispatch_count"
    at_most: int
    at_least: int = 0
    request_id: str = ""
    idempotency_key: str = ""
    permit: str = ""


@frozen(kw_only=True)
class ExpectedLoadAtMost(Expectation):
    """A backend server has never had more concurrent attempts than this."""

    kind: ClassVar[str] = "load_at_most"
    backend_server: str
    value: int


@frozen(kw_only=True)
class ExpectedNoDispatchTo(Expectation):
    """No request has been sent to a data centre or backend server after a time.

    Parameters
    ----------
    data_centre, backend_server : str
        Target of the dispatches; one of them is set.
    after_ms : int
        Dispatches are counted after this time, in milliseconds.
    until_ms : int
        Dispatches are counted up to this time, in milliseconds; 0 for no end.
    """

    kind: ClassVar[str] = "no_dispatch_to"
    after_ms: int
    until_ms: int = 0
    data_centre: str = ""
    backend_server: str = ""


@frozen(kw_only=True)
class ExpectedSameServer(Expectation):
    """The first dispatches of these requests went to the same backend server."""

    kind: ClassVar[str] = "same_backend_server"
    request_ids: tuple[str, ...]


@frozen(kw_only=True)
class ExpectedTextVersion(Expectation):
    """The active text of a router has at least this version."""

    kind: ClassVar[str] = "text_version_at_least"
    router: str
    version: int


_converter = cattrs.Converter(
    forbid_extra_keys=True, detailed_validation=False, omit_if_default=True
)


def expectation_from_map(content: dict[str, Any]) -> Expectation:
    """Convert a decoded line to an expected outcome.

    Parameters
    ----------
    content : dict
        The decoded line.

    Returns
    -------
    Expectation
        The expected outcome.

    Raises
    ------
    KeyError, TypeError, ValueError, Exception
        If the kind is unknown or the fields are invalid; the reader adds the line.
    """
    fields = dict(content)
    kind = fields.pop(EXPECT_KEY)
    return _converter.structure(fields, EXPECTATION_TYPES[kind])


def expectation_to_map(expectation: Expectation) -> dict[str, Any]:
    """Convert an expected outcome to the content of its line."""
    fields = _converter.unstructure(expectation)
    return {"at_ms": fields.pop("at_ms"), EXPECT_KEY: expectation.kind, **fields}
