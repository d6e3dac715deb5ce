"""Table of the commands, and their import when one is run."""

from collections.abc import Callable
from importlib import import_module

from attrs import frozen

from damaskrill.cli._errors import UsageError

__all__ = ["COMMANDS", "Command", "find_command"]

RunFunction = Callable[..., int]


@frozen(kw_only=True)
class Command:
    """One command.

    Parameters
    ----------
    name : str
        What is typed.
    summary : str
        One line of help.
    """

    name: str
    summary: str

    def load(self) -> RunFunction:
        """Import the command's module and return its function."""
        module = import_module(f"damaskrill.cli._{self.name}")
        return module.run


COMMANDS: dict[str, Command] = {
    command.name: command
    for command in (
        Command(name="serve", summary="Run one router until it is told to stop."),
        Command(name="gateway", summary="Run one router on the users' platform."),
        Command(name="soak", summary="Inject faults into router processes."),
        Command(name="experiment", summary="Play a load pattern in virtual time."),
        Command(name="demo", summary="Show a small fleet at work on loopback."),
        Command(name="check", summary="Validate settings or an operators' text."),
        Command(name="replay", summary="Hold traces against their stated outcomes."),
        Command(name="explain", summary="Print the cause chain of one request."),
        Command(name="report", summary="Report service-level burn from logs."),
        Command(name="version", summary="Print the version and the build."),
    )
}


def find_command(name: str) -> Command:
    """Return the command of a name.

    Raises
    ------
    UsageError
        If there is none.
    """
    command = COMMANDS.get(name)
    if command is None:
        known = ", ".join(COMMANDS)
        raise UsageError(reason=f"there is no command '{name}'; known are {known}")
    return command
