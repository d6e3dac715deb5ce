"""Steps for the settings of a process."""

import attrs
from behave import given, then, when

from damaskrill.configuration import (
    InvalidConfigurationError,
    Settings,
    parse_settings,
    read_settings,
)
from damaskrill.exceptions import DamaskrillError
from features.support.builders import MINIMAL_SETTINGS


@given("a settings file with only the required keys")
def step_minimal_settings(context):
    context.settings_content = MINIMAL_SETTINGS


@given('in section "{section}" the setting "{key}" is "{value}"')
def step_add_setting(context, section, key, value):
    header = f"[{section}]\n"
    line = f"{header}{key} = {value}\n"
    assert header in context.settings_content.decode()
    context.settings_content = (
        context.settings_content.decode().replace(header, line).encode()
    )


@given("the settings file")
def step_settings_file(context):
    context.settings_content = context.text.encode()


@when("the settings are read")
def step_read_settings(context):
    try:
        context.settings = parse_settings(context.settings_content)
    except InvalidConfigurationError as error:
        context.settings_error = error


@when('the settings file "{path}" is read')
def step_read_settings_file(context, path):
    try:
        read_settings(path)
    except DamaskrillError as error:
        context.settings_error = error


@then('the data centre is "{name}" and the other settings have their defaults')
def step_defaults(context, name):
    assert context.settings.data_centre == name
    for field in attrs.fields(Settings):
        if field.default is not attrs.NOTHING and field.name != "peer_limits":
            assert getattr(context.settings, field.name) == field.default


@then('the setting "{key}" is {value:d}')
def step_setting_is(context, key, value):
    assert getattr(context.settings, key) == value


@then("the faults are")
def step_faults_are(context):
    found = [(each.line, each.code.value) for each in context.settings_error.faults]
    expected = [(int(row["line"]), row["code"]) for row in context.table]
    assert found == expected, context.settings_error.faults


@then('no fault contains "{word}"')
def step_no_fault_contains(context, word):
    for fault in context.settings_error.faults:
        assert f"'{word}'" not in fault.sentence, fault


@then('the settings error\'s code is "{code}"')
def step_settings_error(context, code):
    assert context.settings_error.code == code


@then("their printed form does not contain the fleet key")
def step_hidden_key(context):
    assert context.settings.fleet_key not in repr(context.settings)
