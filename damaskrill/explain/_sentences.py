"""Conversion of log lines to sentences for readers without technical background."""

from collections.abc import Sequence
from datetime import UTC, datetime

from damaskrill.explain._chain import RequestChain
from damaskrill.explain._slots import describe_rivals, describe_slot_event
from damaskrill.logs import LoggedCause, LogLine

__all__ = ["describe_chain"]

MS_PER_S = 1_000
OUTCOME_MEANINGS = {
    "completed": "the complete answer was received",
    "not_run": (
        "refused; no backend server has run the request, so it may be sent again"
    ),
    "unknown": (
        "it cannot be known whether a backend server has run the request; query its "
        "recorded outcome before anything is sent again"
    ),
}


def describe_chain(chain: RequestChain) -> list[str]:
    """Describe what happened to a request, one sentence per line.

    Parameters
    ----------
    chain : RequestChain
        Log lines of the request.

    Returns
    -------
    list of str
        Lines of text without line feeds.
    """
    start_ms = chain.lines[0].at_ms
    lines = [
        f"Request {chain.request_id}, {_format_date(start_ms)} (UTC)",
        "",
        *_describe_events(chain),
        "",
        _describe_outcome(chain),
        *_describe_servers(chain),
        *_describe_causes(chain),
        *describe_rivals(chain.rivals),
    ]
    if chain.damaged.sentence:
        lines += ["", f"Note: {chain.damaged.sentence}."]
    return lines


def _describe_events(chain: RequestChain) -> list[str]:
    first_ms = chain.lines[0].at_ms
    before = [each for each in chain.background if each.at_ms < first_ms]
    during = [each for each in chain.background if each.at_ms >= first_ms]
    lines = [
        f"  {_format_time(each)}  (before) {_describe_event(each)}" for each in before
    ]
    merged = sorted([*chain.lines, *during], key=lambda line: line.at_ms)
    has_ended = False
    for each in merged:
        is_end = each.event == "request_ended"
        sentence = (
            _describe_relayed_end(each)
            if is_end and has_ended
            else _describe_event(each)
        )
        has_ended = has_ended or is_end
        lines.append(f"  {_format_time(each)}  {sentence}")
    return lines


def _describe_relayed_end(line: LogLine) -> str:
    """Describe an end that a router received from the router that ran the request."""
    return f"Router {line.router} relayed this to its caller."


def _describe_event(line: LogLine) -> str:
    """Describe one event in a sentence."""
    return (
        _describe_request_event(line)
        or describe_slot_event(line)
        or _describe_fleet_event(line)
        or _describe_other_event(line)
    )


def _describe_request_event(line: LogLine) -> str:
    server = line.backend_server or "the backend server"
    match line.event:
        case "request_arrived":
            team = f" from team '{line.team}'" if line.team else ""
            return (
                f"Router {line.router} received the request{team} "
                f"for service '{line.service}'.{_format_detail(line)}"
            )
        case "request_forwarded":
            return (
                f"Router {line.router} forwarded the request to router {line.peer}"
                f"{_format_reason(line)}.{_format_detail(line)}"
            )
        case "attempt_offered":
            owner = f"; its owner is router {line.peer}" if line.peer else ""
            reason = f", {line.detail}" if line.detail else ""
            return (
                f"Router {line.router} chose {server}{_format_attempt_number(line)}"
                f"{reason}{owner}."
            )
        case "attempt_queued":
            return (
                f"Router {line.router} put it into the queue of {server}"
                f"{_format_load(line)}{_format_reason(line)}.{_format_detail(line)}"
            )
        case "attempt_dispatched":
            return (
                f"Router {line.router}, the owner of {server}, sent it there"
                f"{_format_wait(line)}{_format_load(line)}.{_format_detail(line)}"
            )
        case "attempt_refused":
            return (
                f"Router {line.router} did not send it to {server}"
                f"{_format_load(line)}{_format_reason(line)}.{_format_detail(line)}"
            )
        case "attempt_failed":
            return (
                f"The attempt at {server} failed{_format_reason(line)}."
                f"{_format_detail(line)}"
            )
        case "attempt_retried":
            return f"Router {line.router} retried the request{_format_reason(line)}."
        case "first_token":
            after = (
                f", {_format_duration(line.latency_ms)} later"
                if line.latency_ms
                else ""
            )
            return f"The first part of the answer arrived{after}."
        case "late_answer_dropped":
            return (
                "A late answer to an abandoned attempt was "
                f"dropped.{_format_detail(line)}"
            )
        case "request_ended":
            after = (
                f" after {_format_duration(line.latency_ms)}" if line.latency_ms else ""
            )
            return f"The request ended{after}: {line.outcome.replace('_', ' ')}."
    return ""


def _describe_fleet_event(line: LogLine) -> str:
    server = line.backend_server or "a backend server"
    data_centre = line.data_centre
    match line.event:
        case "server_cold":
            return (
                f"{server} had just started and had only its cold-start capacity"
                f"{_format_load(line)}."
            )
        case "server_leaving":
            return f"{server} was leaving and received no new work."
        case "circuit_opened":
            return f"{server} had failed repeatedly and received no work for a while."
        case "circuit_closed":
            return f"{server} received work again after its failures."
        case "data_centre_out":
            return (
                f"Operators took data centre '{data_centre}' out of service with text "
                f"version {line.text_version}."
            )
        case "data_centre_back":
            return (
                f"Operators put data centre '{data_centre}' back in service with text "
                f"version {line.text_version}."
            )
        case "process_paused":
            return f"Router {line.router} was paused for a while.{_format_detail(line)}"
        case "partition_suspected":
            return f"Router {line.router} could reach only part of the fleet."
        case "peer_lost":
            return f"Router {line.router} lost its connection to router {line.peer}."
        case "text_refused":
            return (
                f"Router {line.router} rejected text version {line.text_version} as "
                "invalid and kept the previous one."
            )
    return ""


def _describe_other_event(line: LogLine) -> str:
    name = line.event.replace("_", " ")
    return f"Router {line.router}: {name}{_format_reason(line)}.{_format_detail(line)}"


def _find_ends(chain: RequestChain) -> list[LogLine]:
    return [each for each in chain.lines if each.event == "request_ended"]


def _describe_outcome(chain: RequestChain) -> str:
    ended = _find_ends(chain)
    if not ended:
        return (
            "Outcome: the given logs do not contain its end. It may still be running, "
            "or the log of the router that received it is missing."
        )
    last = ended[-1]
    meaning = OUTCOME_MEANINGS.get(last.outcome, "")
    duration = _format_duration(last.at_ms - chain.lines[0].at_ms)
    attempts = f", {last.n_attempts} attempts" if last.n_attempts > 1 else ""
    return (
        f"Outcome: {last.outcome.replace('_', ' ')}, after {duration}{attempts}. "
        f"This means: {meaning or 'unknown to this version'}."
    )


def _describe_servers(chain: RequestChain) -> list[str]:
    ended = _find_ends(chain)
    limits = [each.max_servers for each in ended if each.max_servers]
    if not limits:
        return []
    # Each router counts its own. The one that got the request knows those of others,
    # but not what a router of an earlier build has done.
    n_servers = max(
        sum(each.n_servers for each in ended),
        *(each.n_servers_in_all for each in ended),
    )
    return [f"It was sent to {n_servers} of at most {max(limits)} backend servers."]


def _describe_causes(chain: RequestChain) -> list[str]:
    ended = _find_ends(chain)
    causes = ended[-1].causes if ended else ()
    if not causes:
        return []
    lines = ["Causes, from the nearest to the root:"]
    lines += [
        f"  {number}. {_format_cause(cause)}"
        for number, cause in enumerate(causes, start=1)
    ]
    return lines


def _format_cause(cause: LoggedCause) -> str:
    sentence = cause.sentence or cause.code.replace("_", " ")
    return f"{sentence[0].upper()}{sentence[1:]}."


def _format_reason(line: LogLine) -> str:
    sentences = [cause.sentence or cause.code for cause in line.causes]
    return _join_cause_sentences(sentences)


def _join_cause_sentences(sentences: Sequence[str]) -> str:
    return f", because {', because '.join(sentences)}" if sentences else ""


def _format_detail(line: LogLine) -> str:
    return f" ({line.detail})" if line.detail else ""


def _format_attempt_number(line: LogLine) -> str:
    # ``n_attempts`` counts the attempts before this one.
    return f" (attempt {line.n_attempts + 1})" if line.n_attempts > 0 else ""


def _format_load(line: LogLine) -> str:
    if line.load_bound:
        return f" ({line.load} of at most {line.load_bound} concurrent requests)"
    return ""


def _format_wait(line: LogLine) -> str:
    return (
        f" after {_format_duration(line.wait_ms)} in its queue" if line.wait_ms else ""
    )


def _format_duration(duration_ms: int) -> str:
    if duration_ms < MS_PER_S:
        return f"{duration_ms} ms"
    return f"{duration_ms / MS_PER_S:.1f} s"


def _format_date(at_ms: int) -> str:
    return datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC).strftime("%Y-%m-%d")


def _format_time(line: LogLine) -> str:
    moment = datetime.fromtimestamp(line.at_ms / MS_PER_S, tz=UTC)
    return moment.strftime("%H:%M:%S.") + f"{line.at_ms % MS_PER_S:03d}"
