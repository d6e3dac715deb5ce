"""Steps for the generated reference pages."""

import importlib.util
from pathlib import Path

import attrs
from behave import then, when

from damaskrill.configuration import FAULT_TEMPLATES, FaultCode, PeerLimits, Settings
from damaskrill.configuration._settings import SETTINGS_SCHEMA
from damaskrill.configuration._text_schema import TEXT_SCHEMA
from damaskrill.messages import CauseCode
from damaskrill.messages._outcomes import CAUSE_TEMPLATES

ROOT = Path(__file__).resolve().parent.parent.parent


def load_tool():
    path = ROOT / "tools" / "write_reference.py"
    specification = importlib.util.spec_from_file_location("write_reference", path)
    module = importlib.util.module_from_spec(specification)
    specification.loader.exec_module(module)
    return module


@when("the reference pages are rendered")
def step_render(context):
    context.pages = load_tool().render_pages()


@then("docs/reference/{page} equals the rendered one")
def step_page_equal(context, page):
    committed = (ROOT / "docs" / "reference" / page).read_text(encoding="utf-8")
    assert committed == context.pages[page], (
        f"{page} is out of date: run `python tools/write_reference.py` and commit it"
    )


@then("each field of the classes of text and settings has a declared key")
def step_fields_declared(context):
    for section in TEXT_SCHEMA.sections:
        names = {field.name for field in attrs.fields(section.target)}
        declared = {key.name for key in section.keys} | {section.name_field}
        assert names == declared - {""}, (section.kind, names ^ declared)
    declared = {key.name for each in SETTINGS_SCHEMA.sections for key in each.keys}
    names = {field.name for field in attrs.fields(Settings)} - {"peer_limits"}
    names |= {field.name for field in attrs.fields(PeerLimits)}
    assert names == declared, names ^ declared


@then("each fault code and each cause code has a sentence")
def step_codes_have_sentences(context):
    assert set(FAULT_TEMPLATES) == set(FaultCode)
    assert set(CAUSE_TEMPLATES) == set(CauseCode)
