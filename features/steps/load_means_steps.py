"""Steps for mean loads, with deciders that exchange messages without delay."""

from behave import given, then, when

from damaskrill.configuration import ServiceSpec
from damaskrill.loads import LoadMeans
from damaskrill.messages import (
    FleetViewChanged,
    MeanLoadKnown,
    OwnedLoad,
    PeerDelivered,
    SendToPeer,
    Tick,
)
from features.support.builders import build_member, build_text, build_view

TICK_MS = 100
OWNED_INTERVAL_MS = 1_000


class LoadFleet:
    def __init__(self, n_members, n_centres):
        self.members = [
            build_member(n, data_centre=f"centre-{n % n_centres}")
            for n in range(1, n_members + 1)
        ]
        self.deciders = {}
        self.fleet_sums = {}
        self.owned = {}
        self.silent = set()
        self.now_ms = 0
        for member in self.members:
            self.deciders[member.address] = LoadMeans(own=member)
            self.set_text(member, build_text())

    def set_text(self, member, text):
        view = build_view(text=text, own=member, members=self.members)
        self.deliver(member, FleetViewChanged(view=view))

    def deliver(self, member, message):
        for effect in self.deciders[member.address].decide(message, self.now_ms):
            if isinstance(effect, MeanLoadKnown):
                sums = (effect.load_sum, effect.n_servers)
                self.fleet_sums[member.address, effect.service] = sums
            elif isinstance(effect, SendToPeer):
                target = next(m for m in self.members if m.address == effect.address)
                if target.address not in self.silent:
                    payload = PeerDelivered(sender=member, payload=effect.payload)
                    self.deliver(target, payload)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for member in self.members:
                if member.address in self.silent:
                    continue
                if self.now_ms % OWNED_INTERVAL_MS == 0:
                    for owned in self.owned.get(member.address, ()):
                        self.deliver(member, owned)
                self.deliver(member, Tick())
            self.now_ms += TICK_MS


@given("{n_members:d} routers in {n_centres:d} data centres that share loads")
def step_load_fleet(context, n_members, n_centres):
    context.load_fleet = LoadFleet(n_members, n_centres)


@when(
    "every router owns {n_servers:d} backend servers of "
    '"{service}" with its number as load'
)
def step_owned(context, n_servers, service):
    for n, member in enumerate(context.load_fleet.members, start=1):
        owned = OwnedLoad(service=service, load_sum=n, n_servers=n_servers)
        context.load_fleet.owned[member.address] = [owned]


@when("the routers share loads for {duration_ms:d} ms")
def step_pass(context, duration_ms):
    context.load_fleet.run(duration_ms)


@when("router {n:d} no longer shares its load")
def step_silent(context, n):
    context.load_fleet.silent.add(build_member(n).address)


@when("router {n:d} has a text with one more service")
def step_more_services(context, n):
    names = ("another", "dossier-review", "issuance")
    text = build_text(version=2, services=[ServiceSpec(name=each) for each in names])
    fleet = context.load_fleet
    fleet.set_text(fleet.members[n - 1], text)


@then('every router knows the sum over all routers of "{service}"')
def step_all_know(context, service):
    check_known(context, 1, len(context.load_fleet.members), service)


@then(
    "the routers {first:d} to {last:d} know the sum over "
    'the routers {low:d} to {high:d} of "{service}"'
)
def step_range_knows(context, first, last, low, high, service):
    assert (first, last) == (low, high)
    check_known(context, first, last, service)


def check_known(context, first, last, service):
    expected = (sum(range(first, last + 1)), 3 * (last - first + 1))
    for n in range(first, last + 1):
        address = build_member(n).address
        found = context.load_fleet.fleet_sums.get((address, service))
        assert found == expected, (n, found, expected)


@then(
    "router {n:d} knows the sum {load_sum:d} over {n_servers:d} backend servers "
    'of "{service}"'
)
def step_one_knows(context, n, load_sum, n_servers, service):
    found = context.load_fleet.fleet_sums.get((build_member(n).address, service))
    assert found == (load_sum, n_servers), found
