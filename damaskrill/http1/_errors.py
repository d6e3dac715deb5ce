"""Errors of HTTP connections."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["InvalidAnswerError"]


class InvalidAnswerError(DamaskrillError):
    """The bytes from a server cannot be the answer to the request."""

    code = "answer_invalid"
    template = "the server's answer is invalid: {reason}"
