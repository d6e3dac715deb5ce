"""Steps for the examples and pages of the documentation."""

import importlib
import re
from pathlib import Path

from behave import given, then

from damaskrill.cli._main import run_command_line
from damaskrill.kernel import registry
from features.support.builders import (
    build_member,
    build_request,
    build_server,
    build_text,
    build_view,
)

ROOT = Path(__file__).resolve().parent.parent.parent
LINK_PATTERN = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


@given("the example plug-in is imported")
def step_import(context):
    importlib.import_module("examples.plugins.nearest_placement")


@then('the registry builds a "{kind}" named "{name}"')
def step_built(context, kind, name):
    context.policy = registry.create(kind, name, random_state=1)


@then("it always ranks {n_local:d} local servers before {n_remote:d} remote ones")
def step_ranks(context, n_local, n_remote):
    servers = [build_server(n, data_centre="kirkos") for n in range(n_remote)]
    servers += [build_server(n_remote + n, data_centre="bole") for n in range(n_local)]
    view = build_view(
        text=build_text(servers=servers), own=build_member(1, data_centre="bole")
    )
    ranked = context.policy.rank(build_request(1), view)
    centres = [view.text.backend_servers[name].data_centre for name in ranked]
    assert centres == ["bole"] * n_local + ["kirkos"] * n_remote, centres
    assert ranked == context.policy.rank(build_request(1), view)


@then('"damaskrill check" accepts "{file}"')
def step_check_accepts(context, file):
    assert run_command_line(["check", str(ROOT / file)]) == 0


@then("every relative link of the documentation points to an existing file")
def step_links(context):
    pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    assert len(pages) > 5
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in pages
        for target in LINK_PATTERN.findall(page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert not broken, broken
