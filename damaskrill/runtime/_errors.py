"""Failures to start a process."""

from damaskrill.exceptions import DamaskrillError

__all__ = ["AddressNotFreeError"]


class AddressNotFreeError(DamaskrillError):
    """An address of the settings cannot be bound."""

    code = "address_not_free"
    template = "the address {address} cannot be bound: {reason}"
