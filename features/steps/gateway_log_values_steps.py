"""Steps for log lines with values of any kind."""

import json
import os

from behave import then, when

from damaskrill.eventlog import LineSink


class Unprintable:
    """Object whose texts cannot be made."""

    def __str__(self):
        raise ValueError("no text")

    __repr__ = __str__


def nest(depth):
    content = []
    for _ in range(depth):
        content = [content]
    return content


VALUES = {
    "a number of 100 digits": 10**100,
    "a number of 5000 digits": 10**5_000,
    "a text that is not Unicode": "\udcff",
    "numbers as names": {1: 2},
    "pairs as names": {("a", 1): 2},
    "an object without a text": Unprintable(),
    "lists in each other 5000 deep": nest(5_000),
    "infinity": float("inf"),
}


@when("a line with {value} is logged")
def step_log(context, value):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    sink = LineSink(descriptor=writer)
    line = {"event": "tried", "at_ms": 5, "field": VALUES[value]}
    sink.write(line, is_important=True)
    sink.write({"event": "next", "at_ms": 6}, is_important=True)
    context.lines = os.read(reader, 65_536).splitlines()


@then("one line is written, with its event and {content}")
def step_written(context, content):
    first, second = (json.loads(each) for each in context.lines)
    assert second["event"] == "next"
    assert first["at_ms"] == 5
    if content == "a reason":
        assert first["event"] == "line_not_encoded"
        assert "tried" in first["sentence"]
    else:
        assert first["event"] == "tried"
        assert "field" in first
