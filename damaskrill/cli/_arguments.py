"""Validation of arguments against the signature of a command, before it is run.

Notes
-----
``fire`` alone is not sufficient: it calls the function before it reports surplus
arguments, guesses types from the text, and reports an error on several lines.
"""

import inspect
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field

from damaskrill.cli._errors import UsageError

__all__ = ["BoundArguments", "bind_arguments"]

MAX_SHOWN_CHARACTERS = 80


@define(kw_only=True)
class BoundArguments:
    """Arguments bound to the parameters of a command.

    Parameters
    ----------
    positional : list of str
        Positional arguments in order.
    flags : dict of str to object
        Values by parameter name: a string, a tuple of strings, or True.
    """

    positional: list[str] = field(factory=list)
    flags: dict[str, Any] = field(factory=dict)


def bind_arguments(run: Callable[..., int], words: Sequence[str]) -> BoundArguments:
    """Bind and validate the arguments of a command.

    Parameters
    ----------
    run : callable
        Function of the command.
    words : sequence of str
        Arguments after the name of the command.

    Returns
    -------
    BoundArguments
        Arguments to call the function with.

    Raises
    ------
    UsageError
        If a flag is unknown, repeated or lacks its value, or if there are too few or
        too many arguments.
    """
    parameters = inspect.signature(run).parameters
    bound = BoundArguments()
    remaining = list(words)
    while remaining:
        word = remaining.pop(0)
        if word.startswith("-") and word != "-":
            _parse_flag(word, remaining, parameters, bound)
        else:
            bound.positional.append(word)
    _check_positional(parameters, bound)
    _check_required_flags(parameters, bound)
    return bound


def _parse_flag(
    word: str,
    remaining: list[str],
    parameters: Any,
    bound: BoundArguments,
) -> None:
    flag, separator, value = word.partition("=")
    name = flag.removeprefix("--").replace("-", "_")
    parameter = parameters.get(name)
    if not flag.startswith("--") or not _is_flag(parameter):
        flags = ", ".join(_flag_names(parameters)) or "none"
        reason = f"unknown flag '{_shorten(flag)}'; available: {flags}"
        raise UsageError(reason=reason)
    if name in bound.flags:
        raise UsageError(reason=f"flag '{flag}' is given more than once")
    if parameter.annotation is bool:
        if separator:
            raise UsageError(reason=f"flag '{flag}' takes no value")
        bound.flags[name] = True
        return
    values = [value] if separator else []
    accepts_many = parameter.annotation is not str
    while remaining and not remaining[0].startswith("--"):
        if values and not accepts_many:
            break
        values.append(remaining.pop(0))
    if not values or values == [""]:
        raise UsageError(reason=f"flag '{flag}' requires a value")
    bound.flags[name] = tuple(values) if accepts_many else values[0]


def _is_flag(parameter: inspect.Parameter | None) -> bool:
    return parameter is not None and parameter.kind is parameter.KEYWORD_ONLY


def _flag_names(parameters: Any) -> list[str]:
    return [
        f"--{name.replace('_', '-')}"
        for name, parameter in parameters.items()
        if _is_flag(parameter)
    ]


def _check_positional(parameters: Any, bound: BoundArguments) -> None:
    single = [
        each for each in parameters.values() if each.kind is each.POSITIONAL_OR_KEYWORD
    ]
    accepts_varargs = any(
        each.kind is each.VAR_POSITIONAL for each in parameters.values()
    )
    for parameter in single[len(bound.positional) :]:
        if parameter.default is parameter.empty:
            raise UsageError(reason=f"argument {parameter.name.upper()} is missing")
    if accepts_varargs and not single and not bound.positional:
        raise UsageError(reason="at least one argument is required")
    if not accepts_varargs and len(bound.positional) > len(single):
        extra = _shorten(bound.positional[len(single)])
        raise UsageError(reason=f"unexpected argument '{extra}'")


def _check_required_flags(parameters: Any, bound: BoundArguments) -> None:
    for name, parameter in parameters.items():
        is_required = _is_flag(parameter) and parameter.default is parameter.empty
        if is_required and name not in bound.flags:
            flag = f"--{name.replace('_', '-')}"
            raise UsageError(reason=f"flag '{flag}' is missing")


def _shorten(text: str) -> str:
    shown = text if text.isprintable() else ascii(text)[1:-1]
    return shown[:MAX_SHOWN_CHARACTERS]
