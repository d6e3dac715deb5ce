"""Assignment of services to the routers that aggregate their loads."""

from collections.abc import Sequence

from damaskrill.membership import owner_of_key
from damaskrill.messages import FleetView, Member
from damaskrill.utils import hash_to_int

__all__ = ["AggregatorMap", "ServiceNumbers"]

# More groups spread the work over more aggregators, but need more messages.
N_GROUPS = 8


class ServiceNumbers:
    """Numbers that identify the services of a text in messages.

    Parameters
    ----------
    names : sequence of str
        Names of all services.
    """

    def __init__(self, names: Sequence[str] = ()) -> None:
        self._names = sorted(names)
        self._numbers = {name: number for number, name in enumerate(self._names)}
        self._digest = hash_to_int("\n".join(self._names)) & 0xFFFFFFFF

    @property
    def digest(self) -> int:
        """Hash of all names; routers with equal digests number services alike."""
        return self._digest

    def number_of(self, name: str) -> int | None:
        """Return the number of a service, or None if it is not in the text."""
        return self._numbers.get(name)

    def name_of(self, number: int) -> str | None:
        """Return the name of a service, or None if no service has that number."""
        return self._names[number] if 0 <= number < len(self._names) else None


class AggregatorMap:
    """Aggregators of each group of services, one per data centre.

    Parameters
    ----------
    view : FleetView
        Members to choose from.
    """

    def __init__(self, view: FleetView) -> None:
        self._own = view.own
        by_centre: dict[str, list[Member]] = {}
        for member in view.members:
            by_centre.setdefault(member.data_centre, []).append(member)
        self._aggregators = [
            {
                centre: owner_of_key(f"loads:{group}", members)
                for centre, members in sorted(by_centre.items())
            }
            for group in range(N_GROUPS)
        ]

    def local_aggregator(self, group: int) -> Member | None:
        """Return the aggregator of a group in the data centre of this process."""
        return self._aggregators[group].get(self._own.data_centre)

    def is_aggregator(self, group: int) -> bool:
        """Return whether this process aggregates a group."""
        aggregator = self.local_aggregator(group)
        return aggregator is not None and aggregator.address == self._own.address

    def remote_aggregators(self, group: int) -> list[Member]:
        """Return the aggregators of a group in the other data centres."""
        return [
            aggregator
            for centre, aggregator in self._aggregators[group].items()
            if centre != self._own.data_centre
        ]
