"""Apply the actions of a scenario to the simulation."""

from collections.abc import Callable

from attrs import evolve

from fescueseam.conf.models import DataCentreState
from fescueseam.routing.table import MemberState

from ..world.backend import Misreport
from ..world.hosts import AgentHost
from ..world.network import LinkFaults
from ..world.process_state import ProcessState
from ..world.world import World
from .models import Action, Verb

SHUTDOWN_TIMEOUT_S = 30.0
"""Longest time for which a graceful shutdown waits for open flows, in seconds."""
SHUTDOWN_POLL_INTERVAL_S = 0.05
CROSSED_CALL_SIZE_S = 0.1
"""Size of a call whose opening is sent to all balancers, in seconds."""


def apply_action(world: World, action: Action, max_propagation_s: float) -> None:
    """Apply an action; its changes reach each process within max_propagation_s."""
    _HANDLERS[action.verb](world, action, max_propagation_s)


def _kill(world: World, action: Action, max_propagation_s: float) -> None:
    name = action.names[0]
    if name in world.balancers:
        world.balancers[name].kill()
    else:
        world.kill_server(name)


def _freeze(world: World, action: Action, max_propagation_s: float) -> None:
    host = world.find_host(action.names[0])
    world.record_event("freeze", host.name)
    host.freeze()
    world.timeline.call_later(action.numbers[0], host.resume)


def _cut(world: World, action: Action, max_propagation_s: float) -> None:
    source, target = action.names
    world.network.cut(source, target)
    world.timeline.call_later(action.numbers[0], lambda: world.network.restore(source, target))


def _cut_both(world: World, action: Action, max_propagation_s: float) -> None:
    _cut(world, action, max_propagation_s)
    _cut(world, evolve(action, names=action.names[::-1]), max_propagation_s)


def _replace(world: World, action: Action, max_propagation_s: float) -> None:
    old_balancer = world.balancers[action.names[0]]
    old_balancer.kill()
    world.start_balancer(old_balancer.name, old_balancer.location.data_centre)


def _restart_agent(world: World, action: Action, max_propagation_s: float) -> None:
    world.record_event("restart_agent", action.names[0])
    world.restart_agent(action.names[0])


def _restart_server_cold(world: World, action: Action, max_propagation_s: float) -> None:
    world.record_event("cool", action.names[0])
    world.backends[action.names[0]].restart()


def _drain(world: World, action: Action, max_propagation_s: float) -> None:
    world.drain_server(action.names[0], action.verb is Verb.DRAIN, max_propagation_s)


def _shut_down(world: World, action: Action, max_propagation_s: float) -> None:
    name = action.names[0]
    world.record_event("shut_down", name)
    if name in world.balancers:
        # A balancer keeps no state. Once the fabric no longer sends to it, it only has to
        # handle the datagrams that are on their way.
        world.balancers[name].is_withdrawn = True
        world.timeline.call_later(SHUTDOWN_POLL_INTERVAL_S, world.balancers[name].kill)
        return
    host = world.agents[name]
    world.record_event("drain", name)
    if hasattr(host.core, "stopping"):
        host.core.stopping = True
    host.core.update_draining(host.backend.draining)
    world.set_member_state(name, MemberState.LEAVING, max_propagation_s)
    deadline = world.timeline.now + SHUTDOWN_TIMEOUT_S
    world.timeline.call_every(
        SHUTDOWN_POLL_INTERVAL_S, lambda: _finish_shutdown(world, host, deadline)
    )


def _finish_shutdown(world: World, host: AgentHost, deadline: float) -> bool:
    if host.state is ProcessState.DEAD:
        return False
    if host.count_flows() and world.timeline.now < deadline:
        return True
    host.kill()
    world.remove_server(host.name, 0.0)
    return False


def _set_data_centre(world: World, action: Action, max_propagation_s: float) -> None:
    is_taken_out = action.verb is Verb.TAKE_OUT
    state = DataCentreState.OUT if is_taken_out else DataCentreState.IN
    world.set_data_centre_state(action.names[0], state, max_propagation_s)


def _add(world: World, action: Action, max_propagation_s: float) -> None:
    name, service, data_centre = action.names[:3]
    address = world.agents[action.names[3]].member.address if action.verb is Verb.ADD_AT else ""
    world.add_server(
        name, service, data_centre, max_propagation_s=max_propagation_s, address=address
    )


def _set_member_state(world: World, action: Action, max_propagation_s: float) -> None:
    is_leaving = action.verb is Verb.LEAVE
    state = MemberState.LEAVING if is_leaving else MemberState.ACTIVE
    world.set_member_state(action.names[0], state, max_propagation_s)


def _remove(world: World, action: Action, max_propagation_s: float) -> None:
    world.remove_server(action.names[0], max_propagation_s)


def _suspect(world: World, action: Action, max_propagation_s: float) -> None:
    name = action.names[0]
    world.failure_detector.forced_suspects.add(name)
    world.timeline.call_later(
        action.numbers[0], lambda: world.failure_detector.forced_suspects.discard(name)
    )


def _misreport(world: World, action: Action, max_propagation_s: float) -> None:
    names = world.backends if action.names[0] == "*" else action.names
    lag_s, factor = action.numbers
    for name in names:
        world.backends[name].misreport = Misreport(lag_s, factor)


def _accept_configuration(world: World, action: Action, max_propagation_s: float) -> None:
    world.change_configuration(lambda cfg: cfg, max_propagation_s=max_propagation_s)


def _stop_store(world: World, action: Action, max_propagation_s: float) -> None:
    world.store.up = False
    world.timeline.call_later(action.numbers[0], lambda: setattr(world.store, "up", True))


def _slow_store(world: World, action: Action, max_propagation_s: float) -> None:
    world.store.slow_s = action.numbers[0]
    world.timeline.call_later(action.numbers[1], lambda: setattr(world.store, "slow_s", 0.0))


def _serve_stale_reads(world: World, action: Action, max_propagation_s: float) -> None:
    world.store.stale = True
    world.timeline.call_later(action.numbers[0], lambda: setattr(world.store, "stale", False))


def _set_link_faults(world: World, action: Action, max_propagation_s: float) -> None:
    loss, duplicate, reorder = (number / 100 for number in action.numbers)
    world.network.faults = LinkFaults(loss, duplicate, reorder)


def _open_crossed_call(world: World, action: Action, max_propagation_s: float) -> None:
    # Every balancer gets the opening at the same time, so that several may place the flow.
    class_name, service = action.names
    call = world.open_call(service, class_name, CROSSED_CALL_SIZE_S)
    raw = world.callers.build_opening(call)
    for host in world.balancers.values():
        world.send_to_balancer(host, raw)


def _reuse_port(world: World, action: Action, max_propagation_s: float) -> None:
    ended_calls = [
        call
        for call in world.calls.values()
        if call.service_class.name == action.names[0] and call.ended_at >= 0
    ]
    if ended_calls:
        last_call = ended_calls[-1]
        service = world.find_service(last_call.service)
        world.callers.open_call(service, last_call.service_class, last_call.size_s, last_call.flow)


_Handler = Callable[[World, Action, float], None]
_HANDLERS: dict[Verb, _Handler] = {
    Verb.KILL: _kill,
    Verb.FREEZE: _freeze,
    Verb.CUT: _cut,
    Verb.CUT_BOTH: _cut_both,
    Verb.REPLACE: _replace,
    Verb.RESTART_AGENT: _restart_agent,
    Verb.COOL: _restart_server_cold,
    Verb.DRAIN: _drain,
    Verb.UNDRAIN: _drain,
    Verb.SHUT_DOWN: _shut_down,
    Verb.TAKE_OUT: _set_data_centre,
    Verb.BRING_BACK: _set_data_centre,
    Verb.ADD: _add,
    Verb.ADD_AT: _add,
    Verb.LEAVE: _set_member_state,
    Verb.REJOIN: _set_member_state,
    Verb.REMOVE: _remove,
    Verb.SUSPECT: _suspect,
    Verb.MISREPORT: _misreport,
    Verb.ACCEPT: _accept_configuration,
    Verb.STORE_DOWN: _stop_store,
    Verb.STORE_SLOW: _slow_store,
    Verb.STORE_STALE: _serve_stale_reads,
    Verb.NETWORK: _set_link_faults,
    Verb.CROSS: _open_crossed_call,
    Verb.REUSE_PORT: _reuse_port,
}
