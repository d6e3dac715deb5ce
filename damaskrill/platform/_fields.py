"""Fields of the platform's settings file, read without other parts of the program."""

__all__ = ["CALLER_ADDRESS", "SETTINGS_VARIABLE", "parse_address", "read_fields"]

SETTINGS_VARIABLE = "DAMASKRILL_BOOT"
# Field with the address on which a router accepts callers' connections.
CALLER_ADDRESS = "listen.front"


def read_fields(path: str) -> dict[str, str]:
    """Return the fields of a settings file by name.

    Raises
    ------
    OSError
        If the file cannot be read.
    UnicodeDecodeError
        If it is not text.
    """
    with open(path, encoding="utf-8") as file:
        lines = file.read().splitlines()
    fields = {}
    for line in lines:
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address.

    Raises
    ------
    ValueError
        If the text is not ``HOST:PORT``.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is not HOST:PORT")
    return (host, int(port))
