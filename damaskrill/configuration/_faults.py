"""Faults of INI files, each with its line, a stable code and a sentence."""

from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from damaskrill.exceptions import DamaskrillError

__all__ = [
    "FAULT_TEMPLATES",
    "Fault",
    "FaultCode",
    "FaultList",
    "InvalidConfigurationError",
]

MAX_FAULTS = 1_000


class FaultCode(Enum):
    """Stable codes of faults; ``FAULT_TEMPLATES`` holds their sentences."""

    NOT_UTF8 = "not_utf8"
    TOO_LARGE = "too_large"
    INVALID_LINE = "invalid_line"
    KEY_OUTSIDE_SECTION = "key_outside_section"
    UNKNOWN_SECTION = "unknown_section"
    DUPLICATE_SECTION = "duplicate_section"
    INVALID_NAME = "invalid_name"
    UNKNOWN_KEY = "unknown_key"
    DUPLICATE_KEY = "duplicate_key"
    MISSING_KEY = "missing_key"
    MISSING_SECTION = "missing_section"
    WRONG_VALUE = "wrong_value"
    WRONG_UNIT = "wrong_unit"
    OUT_OF_RANGE = "out_of_range"
    CONFLICTING_VALUES = "conflicting_values"
    UNKNOWN_REFERENCE = "unknown_reference"
    NO_SERVICE = "no_service"
    MISPLACED_TEAM = "misplaced_team"
    DUPLICATE_ADDRESS = "duplicate_address"
    DEPENDENCY_CYCLE = "dependency_cycle"
    TOO_MANY_FAULTS = "too_many_faults"


FAULT_TEMPLATES: dict[FaultCode, str] = {
    FaultCode.NOT_UTF8: "byte {position} is not valid UTF-8",
    FaultCode.TOO_LARGE: "the file has {n_bytes} bytes; at most {limit} are allowed",
    FaultCode.INVALID_LINE: (
        "the line is neither a [section], nor a 'key = value', nor a comment"
    ),
    FaultCode.KEY_OUTSIDE_SECTION: "the key '{key}' precedes the first section",
    FaultCode.UNKNOWN_SECTION: "unknown section '{header}'; known are {known}",
    FaultCode.DUPLICATE_SECTION: (
        "section [{header}] is already defined in line {first_line}"
    ),
    FaultCode.INVALID_NAME: (
        "'{name}' is not a valid name: letters, digits, '.', '_' and '-', at most "
        "{limit} characters, the first one a letter or a digit"
    ),
    FaultCode.UNKNOWN_KEY: "section [{header}] has no key '{key}'; known are {known}",
    FaultCode.DUPLICATE_KEY: "the key '{key}' is already set in line {first_line}",
    FaultCode.MISSING_KEY: "section [{header}] lacks the required key '{key}'",
    FaultCode.MISSING_SECTION: "section [{header}] is missing; it requires {keys}",
    FaultCode.WRONG_VALUE: "'{key}' is '{value}', but must be {expected}",
    FaultCode.WRONG_UNIT: "'{key}' is '{value}', but its unit must be {expected}",
    FaultCode.OUT_OF_RANGE: "'{key}' is {value}, but must be {expected}",
    FaultCode.CONFLICTING_VALUES: (
        "'{key}' is {value}, but must be at least {least}, because of {reason}"
    ),
    FaultCode.UNKNOWN_REFERENCE: (
        "[{header}] refers to the {kind} '{name}', which the text does not define"
    ),
    FaultCode.NO_SERVICE: "the text has no section [service NAME]",
    FaultCode.MISPLACED_TEAM: "team '{name}' does not belong to the bucket [{header}]",
    FaultCode.DUPLICATE_ADDRESS: "[{header}] and [{other}] share the address {address}",
    FaultCode.DEPENDENCY_CYCLE: "services depend on each other in a cycle: {path}",
    FaultCode.TOO_MANY_FAULTS: "{n_more} more faults are omitted",
}


@frozen(kw_only=True)
class Fault:
    """A fault of a text or a settings file.

    Parameters
    ----------
    line : int
        Line number, from 1; 0 for a fault that concerns the entire file.
    code : FaultCode
        Kind of fault.
    sentence : str
        Description of the fault, without a full stop.
    section : str
        Header of the section, if the text was read section by section and lines are
        counted from the section's header; else empty.
    """

    line: int
    code: FaultCode
    sentence: str
    section: str = ""

    def describe(self, file: str) -> str:
        """Return ``FILE:LINE: CODE: sentence``."""
        location = f"{file}:[{self.section}]" if self.section else file
        return f"{location}:{self.line}: {self.code.value}: {self.sentence}"


class InvalidConfigurationError(DamaskrillError):
    """A text or a settings file has faults and is rejected.

    Parameters
    ----------
    faults : sequence of Fault
        All faults, ordered by line.
    """

    code = "invalid_configuration"
    template = "{n_faults} faults were found; the first is in line {line}: {sentence}"

    def __init__(self, *, faults: Sequence[Fault]) -> None:
        self._faults = tuple(faults)
        first = self._faults[0]
        super().__init__(
            n_faults=len(self._faults), line=first.line, sentence=first.sentence
        )

    @property
    def faults(self) -> tuple[Fault, ...]:
        """All faults, ordered by line."""
        return self._faults


def _escape_unprintable(text: str) -> str:
    """Escape text with characters that would corrupt a log line or a terminal."""
    return text if text.isprintable() else ascii(text)[1:-1]


class FaultList:
    """Bounded collection of the faults found in a file.

    Attributes
    ----------
    section : str
        Header of the section to which further faults belong; empty for a complete file.
    """

    def __init__(self) -> None:
        self.section = ""
        self._faults: list[Fault] = []
        self._n_omitted = 0

    def add(self, line: int, code: FaultCode, **details: object) -> None:
        """Add a fault; ``details`` fill the fields of its sentence."""
        if len(self._faults) >= MAX_FAULTS:
            self._n_omitted += 1
            return
        sentence = FAULT_TEMPLATES[code].format(**details)
        fault = Fault(
            line=line,
            code=code,
            sentence=_escape_unprintable(sentence),
            section=_escape_unprintable(self.section),
        )
        self._faults.append(fault)

    def __bool__(self) -> bool:
        return bool(self._faults)

    def raise_if_any(self) -> None:
        """Raise an error with all collected faults, if there are any.

        Raises
        ------
        InvalidConfigurationError
            If there is any fault.
        """
        if not self._faults:
            return
        faults = sorted(self._faults, key=lambda each: each.line)
        if self._n_omitted:
            code = FaultCode.TOO_MANY_FAULTS
            sentence = FAULT_TEMPLATES[code].format(n_more=self._n_omitted)
            faults.append(Fault(line=0, code=code, sentence=sentence))
        raise InvalidConfigurationError(faults=faults)
