"""Entry point, which finds a command, validates its arguments and runs it."""

import inspect
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any, NoReturn

from damaskrill.cli._arguments import BoundArguments, bind_arguments
from damaskrill.cli._commands import COMMANDS, Command, find_command
from damaskrill.cli._errors import UsageError
from damaskrill.exceptions import DamaskrillError

__all__ = ["main", "run_command_line"]

EXIT_INTERRUPTED = 130
EXIT_USAGE = 2
HELP_ARGUMENTS = ("-h", "--help", "help")
# Control characters that never occur in arguments, so that only the lists joined here
# are split, and ``fire`` finds no chained commands.
LIST_SEPARATOR = "\x1f"
CHAIN_SEPARATOR = "\x1e"


def main() -> NoReturn:
    """Run the command given in ``sys.argv`` and exit."""
    sys.exit(run_command_line(sys.argv[1:]))


def run_command_line(words: Sequence[str]) -> int:
    """Run a command.

    Parameters
    ----------
    words : sequence of str
        Name of the command and its arguments.

    Returns
    -------
    int
        Exit status of the command. If the arguments are invalid, the status is 2, one
        line is written to standard error, and nothing is started.
    """
    try:
        if not words:
            raise UsageError(reason=f"a command is required: {', '.join(COMMANDS)}")
        if words[0] in HELP_ARGUMENTS:
            return _print_help()
        command = find_command(words[0])
        if any(word in HELP_ARGUMENTS[:2] for word in words[1:]):
            return _print_command_help(command)
        run = command.load()
        return _run_with_fire(run, bind_arguments(run, words[1:]))
    except DamaskrillError as error:
        print(f"damaskrill: {error}", file=sys.stderr)
        return EXIT_USAGE
    except BrokenPipeError:
        # The reader of standard output has closed it, so nothing can be written to it.
        # The null device prevents another error when the stream is flushed at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run_with_fire(run: Callable[..., int], bound: BoundArguments) -> int:
    import fire

    positional = bound.positional
    words = [*positional]
    for name, value in bound.flags.items():
        joined = LIST_SEPARATOR.join(value) if isinstance(value, tuple) else value
        words.append(f"--{name}={joined}")
    words += ["--", f"--separator={CHAIN_SEPARATOR}"]
    call = fire.decorators.SetParseFns(**_parse_functions(run))(run)
    call = fire.decorators.SetParseFn(str)(call)
    return fire.Fire(
        call, command=words, name="damaskrill", serialize=lambda status: None
    )


def _parse_functions(run: Callable[..., int]) -> dict[str, Callable[[str], Any]]:
    parameters = inspect.signature(run).parameters
    functions: dict[str, Callable[[str], Any]] = {}
    for name, parameter in parameters.items():
        if parameter.kind is not parameter.KEYWORD_ONLY:
            continue
        if parameter.annotation is bool:
            functions[name] = lambda text: text == "True"
        elif parameter.annotation is not str:
            functions[name] = lambda text: tuple(text.split(LIST_SEPARATOR))
    return functions


def _print_help() -> int:
    print("usage: damaskrill COMMAND [ARGUMENTS]\n\ncommands:")
    width = max(map(len, COMMANDS))
    for command in COMMANDS.values():
        print(f"  {command.name:{width}}  {command.summary}")
    return 0


def _print_command_help(command: Command) -> int:
    run = command.load()
    words = ["damaskrill", command.name]
    for name, parameter in inspect.signature(run).parameters.items():
        words.append(_describe_parameter(name, parameter))
    print(f"usage: {' '.join(words)}\n\n{inspect.getdoc(run)}")
    return 0


def _describe_parameter(name: str, parameter: inspect.Parameter) -> str:
    shown = name.upper()
    if parameter.kind is parameter.VAR_POSITIONAL:
        return f"{shown.removesuffix('S')}..."
    if parameter.kind is parameter.KEYWORD_ONLY:
        flag = f"--{name.replace('_', '-')}"
        shown = flag if parameter.annotation is bool else f"{flag} {shown}"
        if parameter.annotation not in (bool, str):
            shown += "..."
    if parameter.default is parameter.empty:
        return shown
    return f"[{shown}]"
