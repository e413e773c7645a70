"""Check all promises on the record of a simulation run."""

from collections.abc import Callable, Iterable, Iterator

from attrs import frozen

from ..world.calls import Call, Outcome
from ..world.journal import Event
from ..world.world import World
from .monitor import ConfigurationMonitor

DATA_CENTRE_OUT_GRACE_S = 3.0
"""Longest time for which packets may still enter a data centre taken out, in seconds."""
DRAIN_GRACE_S = 3.0
"""Longest time for which a draining backend server may still get new flows, in seconds."""
SERVER_LOSS_VERBS = frozenset({"kill", "cool"})
"""Verbs of events that lose a backend server, which excuses the loss of its flows."""


@frozen
class Violation:
    """Broken promise with the details of the breach."""

    promise: str
    detail: str


Check = Callable[[World, ConfigurationMonitor], Iterator[str]]


def check_streams_survive(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield streams that broke although their backend server and data centre were available."""
    for call in world.calls.values():
        if call.is_stream and call.outcome is Outcome.BROKEN and not is_break_excused(world, call):
            yield _describe(call)


def check_services_apart(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield packets that were delivered to a backend server of another service."""
    for delivery in world.journal.misdelivered:
        yield f"call {delivery.call_id} at {delivery.agent}"


def check_cold_start(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield backend servers that got more than they could handle, in a cold start or later."""
    for backend in world.backends.values():
        if backend.counts["overloads"]:
            yield f"{backend.name}: {backend.counts['overloads']} overloads"


def check_data_centre_out(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield packets delivered into a data centre that was out, after the grace period."""
    for delivery in world.journal.deliveries_while_out:
        taken_out = _find_last(world.journal.events, "out", delivery.data_centre, delivery.time)
        if taken_out is not None and delivery.time > taken_out.time + DATA_CENTRE_OUT_GRACE_S:
            yield f"call {delivery.call_id} at {delivery.agent} at {delivery.time:.3f} s"


def check_own_answer(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield calls that got the answer to another call, or lost their own without an excuse."""
    for call in world.calls.values():
        if call.misdirected_answers:
            yield f"foreign answer: {_describe(call)}"
        is_request_lost = not call.is_stream and call.outcome is Outcome.BROKEN
        if is_request_lost and not is_break_excused(world, call, frozenset({"restart_agent"})):
            yield f"lost answer: {_describe(call)}"


def check_refusals_true(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield refused calls that ran before or after the refusal."""
    for refusal in world.journal.refusals:
        runs = world.count_runs(refusal.call_id)
        if runs:
            yield f"call {refusal.call_id} refused by {refusal.process} ran {runs} times"


def check_at_most_once(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield calls of non-repeatable classes that ran more than once."""
    for call in world.calls.values():
        if not call.service_class.repeatable and world.count_runs(call.call_id) > 1:
            yield _describe(call)


def check_leaving(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield new flows at a backend server after the grace period of its drain."""
    for delivery in world.journal.openings:
        drained = _find_last(world.journal.events, "drain", delivery.agent, delivery.time)
        undrained = _find_last(world.journal.events, "undrain", delivery.agent, delivery.time)
        if drained is None or (undrained is not None and undrained.time >= drained.time):
            continue
        call = world.calls[delivery.call_id]
        is_new_flow = (
            call.server == delivery.agent and call.started_at > drained.time + DRAIN_GRACE_S
        )
        if is_new_flow and delivery.time > drained.time + DRAIN_GRACE_S:
            yield f"call {delivery.call_id} at {delivery.agent} at {delivery.time:.3f} s"


def check_graceful_shutdown(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield requests that a graceful shutdown interrupted."""
    shut_down_processes = {
        event.subject for event in world.journal.events if event.verb == "shut_down"
    }
    for call in world.calls.values():
        if (
            not call.is_stream
            and call.outcome is Outcome.BROKEN
            and call.server in shut_down_processes
        ):
            yield _describe(call)


def check_configuration(world: World, monitor: ConfigurationMonitor) -> Iterator[str]:
    """Yield processes whose configuration reverted or lagged behind."""
    yield from monitor.reverts
    yield from monitor.lagging


PROMISE_CHECKS: dict[str, Check] = {
    "streams-survive": check_streams_survive,
    "services-apart": check_services_apart,
    "cold-start": check_cold_start,
    "data-centre-out": check_data_centre_out,
    "own-answer": check_own_answer,
    "refusals-true": check_refusals_true,
    "at-most-once": check_at_most_once,
    "leaving": check_leaving,
    "graceful-shutdown": check_graceful_shutdown,
    "configuration": check_configuration,
}
"""Checks of the ten promises, in the order of the specification."""


def check_promises(world: World, monitor: ConfigurationMonitor) -> list[Violation]:
    """Check all promises and return their violations."""
    return [
        Violation(promise, detail)
        for promise, check in PROMISE_CHECKS.items()
        for detail in check(world, monitor)
    ]


def is_break_excused(world: World, call: Call, extra_verbs: frozenset[str] = frozenset()) -> bool:
    """Return whether the server or data centre was lost or taken out during the call."""
    servers = {call.server, *call.answering_servers}
    centres = {world.agents[name].location.data_centre for name in servers if name in world.agents}
    return any(
        (event.verb in SERVER_LOSS_VERBS | extra_verbs and event.subject in servers)
        or (event.verb == "out" and event.subject in centres)
        for event in _list_during(world.journal.events, call)
    )


def _list_during(events: Iterable[Event], call: Call) -> Iterator[Event]:
    end_time = call.ended_at if call.ended_at >= 0 else float("inf")
    return (event for event in events if call.started_at <= event.time <= end_time)


def _find_last(events: Iterable[Event], verb: str, subject: str, until: float) -> Event | None:
    found = [
        event
        for event in events
        if event.verb == verb and event.subject == subject and event.time <= until
    ]
    return found[-1] if found else None


def _describe(call: Call) -> str:
    return (
        f"call {call.call_id} of {call.service_class.name} by {call.server or 'nobody'}, "
        f"opened {call.started_at:.3f} s, ended {call.ended_at:.3f} s"
    )
