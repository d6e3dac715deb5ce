"""Steps for the operators' text."""

from behave import given, then, when

from damaskrill.admission._server import OwnedServer
from damaskrill.configuration import (
    FleetText,
    InvalidConfigurationError,
    apply_sections,
    parse_text,
    split_sections,
)
from damaskrill.kernel import FleetViewDecider
from damaskrill.messages import (
    FleetViewChanged,
    HostEntry,
    HostListRead,
    TextAccepted,
    TextRead,
    TextRefused,
)
from damaskrill.propagation import TextPropagation
from features.support.builders import (
    MINIMAL_TEXT,
    build_member,
    build_random,
    build_server,
    build_text_with_teams,
)

N_RANDOM_CHANGES = 200


@given("the operators' text")
def step_text(context):
    context.content = context.text.encode()


@given("a text with a byte that is not UTF-8")
def step_text_not_utf8(context):
    context.content = b"[service a]\nkind = engine\nmodel = \xff\n"


@given("a text of {n_bytes:d} bytes")
def step_text_of_size(context, n_bytes):
    context.content = MINIMAL_TEXT + b"#" * (n_bytes - len(MINIMAL_TEXT))


@given("an empty text")
def step_empty_text(context):
    context.content = b""


@given("a text with {n_teams:d} teams")
def step_text_with_teams(context, n_teams):
    context.content = build_text_with_teams(n_teams, build_random(1))


@when("the text is parsed as version {version:d}")
def step_parse(context, version):
    try:
        context.parsed = parse_text(context.content, version=version)
    except InvalidConfigurationError as error:
        context.text_error = error


@then(
    "the text has version {version:d}, {n_services:d} services, {n_centres:d} data "
    "centre, {n_servers:d} backend server and {n_teams:d} teams"
)
def step_counts(context, version, n_services, n_centres, n_servers, n_teams):
    text = context.parsed
    assert text.version == version
    counts = (text.services, text.data_centres, text.backend_servers, text.teams)
    expected = [n_services, n_centres, n_servers, n_teams]
    assert [len(each) for each in counts] == expected


@then(
    'service "{name}" depends on "{needed}" with a first-token objective of '
    "{objective_ms:d} ms"
)
def step_service(context, name, needed, objective_ms):
    service = context.parsed.services[name]
    assert service.depends_on == (needed,)
    assert service.first_token_objective_ms == objective_ms


@then('the backend servers of "{service}" are discovered by "{find}"')
def step_search(context, service, find):
    assert context.parsed.backend_server_searches[service].find == find


@then('team "{name}" has share {share:d} and priority {priority:d}')
def step_team(context, name, share, priority):
    team = context.parsed.team(name)
    assert (team.name, team.share, team.priority) == (name, share, priority)


@then("the text's faults are")
def step_text_faults(context):
    found = [(each.line, each.code.value) for each in context.text_error.faults]
    expected = [(int(row["line"]), row["code"]) for row in context.table]
    assert found == expected, context.text_error.faults


@then('a text fault contains "{words}"')
def step_text_fault_contains(context, words):
    sentences = [each.sentence for each in context.text_error.faults]
    assert any(words in each for each in sentences), sentences


@then('the text\'s only fault is "{code}" in line {line:d}')
def step_only_fault(context, code, line):
    found = [(each.line, each.code.value) for each in context.text_error.faults]
    assert found == [(line, code)], found


@then("the text has at most {n_bytes:d} bytes and {n_teams:d} teams")
def step_size(context, n_bytes, n_teams):
    assert len(context.content) <= n_bytes, len(context.content)
    assert len(context.parsed.teams) == n_teams


@given("a kernel that has accepted a text as version {version:d}")
def step_replica(context, version):
    context.replica = TextPropagation(own=build_member(1))
    read(context, version, MINIMAL_TEXT)
    assert context.accepted == [version]


def read(context, version, content):
    message = TextRead(version=version, content=content)
    effects = context.replica.decide(message, version)
    context.accepted = [
        each.text.version for each in effects if isinstance(each, TextAccepted)
    ]
    context.refused = [each for each in effects if isinstance(each, TextRefused)]


@when("it reads an invalid text as version {version:d}")
def step_read_invalid(context, version):
    read(context, version, b"[service a]\ncolour = blue\n\xc3(")


@then("it rejects version {version:d} with the faults' lines and keeps version 1")
def step_refused(context, version):
    assert context.accepted == []
    assert [each.version for each in context.refused] == [version]
    assert "3: not_utf8" in context.refused[0].faults[0], context.refused


@when("it reads a valid text as version {version:d}")
def step_read_valid(context, version):
    read(context, version, MINIMAL_TEXT)


@then("version {version:d} is active")
def step_active(context, version):
    assert context.accepted == [version]


@when("it is split into sections and applied to an empty text")
def step_split_and_apply(context):
    sections = split_sections(context.content)
    context.applied = apply_sections(FleetText(), sections, (), 3)


@then("the result equals the text parsed in full")
def step_equals_full_parse(context):
    assert context.applied == parse_text(context.content, version=3)


class RandomText:
    """Text whose sections are changed at random."""

    def __init__(self, random):
        self.random = random
        self.services = {f"s{n}": [] for n in range(6)}
        self.centres = {f"dc{n}": "yes" for n in range(4)}
        self.servers = {}
        self.teams = {f"team-{n}": (1, 5) for n in range(300)}
        self.limit = 64

    def change(self):
        random = self.random
        match random.randrange(6):
            case 0:
                name = f"s{random.randrange(9)}"
                self.services[name] = sorted(
                    random.sample([n for n in self.services if n < name], k=1)
                    if any(n < name for n in self.services)
                    else []
                )
            case 1:
                centre = random.choice(sorted(self.centres))
                self.centres[centre] = random.choice(["yes", "no"])
            case 2:
                n = random.randrange(40)
                service = random.choice(sorted(self.services))
                self.servers[n] = (service, random.choice(sorted(self.centres)))
            case 3 if self.servers:
                del self.servers[random.choice(sorted(self.servers))]
            case 4:
                name = f"team-{random.randrange(400)}"
                if self.teams.pop(name, None) is None:
                    self.teams[name] = (random.randint(1, 99), random.randint(0, 9))
            case _:
                self.limit = random.randint(1, 99)

    def render(self):
        lines = ["[limits]", f"max_queue_length = {self.limit}"]
        for name, needed in self.services.items():
            lines += [f"[service {name}]", f"depends_on = {' '.join(needed)}"]
        for name, state in self.centres.items():
            lines += [f"[data_centre {name}]", f"in_service = {state}"]
        for n, (service, centre) in self.servers.items():
            lines += [f"[backend_server e{n}]", f"service = {service}"]
            lines += [f"address = 10.0.0.{n}:80", f"data_centre = {centre}"]
        lines += ["[teams]"]
        for name, (share, priority) in self.teams.items():
            lines += [f"{name} = {share} {priority}"]
        return "\n".join(lines).encode()


def section_changes(before, after):
    changed = {
        header: content
        for header, content in after.items()
        if before.get(header) != content
    }
    return changed, [header for header in before if header not in after]


@given("random changes of a text with seed {seed:d}")
def step_random_changes(context, seed):
    text = RandomText(build_random(seed))
    context.contents = [text.render()]
    for _ in range(N_RANDOM_CHANGES):
        text.change()
        context.contents.append(text.render())


@then("each update by section gives the same text as a full parse")
def step_changes_equal(context):
    text = parse_text(context.contents[0], version=1)
    context.history = [(context.contents[0], text)]
    before = split_sections(context.contents[0])
    for version, content in enumerate(context.contents[1:], 2):
        after = split_sections(content)
        text = apply_sections(text, *section_changes(before, after), version)
        assert text == parse_text(content, version=version)
        context.history.append((content, text))
        before = after


@then("the text before each update is unchanged")
def step_old_texts_unchanged(context):
    for content, text in context.history:
        assert text == parse_text(content, version=text.version)


@when("the share of one team is changed")
def step_change_team(context):
    before = split_sections(context.content)
    name = sorted(parse_text(context.content, version=1).teams)[7]
    lines = context.content.decode().split("\n")
    changed = [f"{name} = 77 3" if n.startswith(f"{name} =") else n for n in lines]
    after = split_sections("\n".join(changed).encode())
    context.section_changes = section_changes(before, after)


@then("one section of at most {n_bytes:d} bytes differs")
def step_one_section(context, n_bytes):
    changed, removed = context.section_changes
    assert len(changed) == 1 and not removed, context.section_changes
    assert len(next(iter(changed.values()))) <= n_bytes


@when("the section of its data centre is removed")
def step_remove_centre(context):
    text = parse_text(context.content, version=1)
    headers = [f"data_centre {name}" for name in text.data_centres]
    try:
        apply_sections(text, {}, headers, 2)
    except InvalidConfigurationError as error:
        context.text_error = error


@then('the update is rejected with "{code}"')
def step_change_refused(context, code):
    found = {each.code.value for each in context.text_error.faults}
    assert found == {code}, context.text_error.faults


DISCOVERY_TEXT = b"""\
[service review]
[data_centre bole]
[backend_servers review]
find = host_list
bearable_load = 7
"""


@given(
    'a kernel with a text that discovers the servers of "{service}" on the host list'
)
def step_discovery_kernel(context, service):
    context.view_decider = FleetViewDecider(own=build_member(1))
    text = parse_text(DISCOVERY_TEXT, version=1)
    context.view_decider.decide(TextAccepted(text=text), 0)


def read_hosts(context, hosts):
    effects = context.view_decider.decide(HostListRead(hosts=tuple(hosts)), 0)
    assert [type(each) for each in effects] == [FleetViewChanged]
    context.hosts = hosts


@when(
    "the host list contains {n_live:d} live hosts and {n_leaving:d} leaving host of "
    '"{service}"'
)
def step_host_list(context, n_live, n_leaving, service):
    hosts = [
        HostEntry(
            address=f"10.2.0.{n}:80",
            data_centre="bole",
            role=service,
            leaving=n >= n_live,
        )
        for n in range(n_live + n_leaving)
    ]
    read_hosts(context, [*hosts, HostEntry(address="10.0.0.1:7", data_centre="bole")])


@then('{n:d} backend servers of "{service}" accept new requests')
@then('{n:d} backend server of "{service}" accepts new requests')
def step_accepting_servers(context, n, service):
    view = context.view_decider.view
    servers = view.servers_by_service[service]
    assert len(servers) == n
    assert all(view.text.backend_servers[each.name] == each for each in servers)
    assert {each.bearable_load for each in servers} == {7}


@when("a host is removed from the host list")
def step_host_removed(context):
    read_hosts(context, context.hosts[1:])


@given('a text whose "{key}" is {value:d}')
def step_text_with_limit(context, key, value):
    content = MINIMAL_TEXT + f"[limits]\n{key} = {value}\n".encode()
    context.parsed = parse_text(content, version=1)


@when(
    "a cold backend server with a cold load of {cold_load:d} has finished "
    "{n_finished:d} requests"
)
def step_cold_server(context, cold_load, n_finished):
    text = context.parsed
    spec = build_server(bearable_load=50, cold_load=cold_load)
    service = text.services[spec.service]
    context.server = OwnedServer(spec=spec, service=service, max_queue_length=1)
    context.server.update(spec, text.limits)
    for _ in range(n_finished):
        context.server.ramp.record_finished(1)


@then("its bound is {bound:d} requests")
def step_ramp_bound(context, bound):
    assert context.server.ramp.bound_at(1) == bound
