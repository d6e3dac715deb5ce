"""Steps for prompts that crash servers, with gateways on loopback."""

from behave import given, then, when

# Time within which the line of a failed attempt says that the answer had just begun.
JUST_BEGUN_MS = 500


def build_prompt_header(parts):
    prompt = ",".join(f"{part}:100" for part in parts.split(","))
    return ("Damaskrill-Prompt-Prefix", prompt)


@given('all engines crash on the prompt part "{part}"')
def step_crashing_part(context, part):
    for name in ("e-1", "e-2"):
        context.testbed.servers[name].crashing_parts = frozenset({part})


@when('a caller sends a chat with the prompt "{parts}"')
def step_send_chat(context, parts):
    headers = [build_prompt_header(parts)]
    context.reply = context.testbed.send("/chat/1", headers=headers)


@then('a line of a failed attempt names the parts "{parts}" and an answer just begun')
def step_failed_line(context, parts):
    lines = context.testbed.logs[0].lines
    failed = [line for line in lines if line["event"] == "attempt_failed"]
    assert failed and failed[0].get("prompt_parts") == parts.split(","), failed
    assert failed[0]["has_answer"] is True, failed
    assert 0 <= failed[0]["begun_ms"] <= JUST_BEGUN_MS, failed
