"""Do in the world what the actions of a scenario say."""

from collections.abc import Callable

from attrs import evolve

from fescueseam.conf.models import DataCentreState
from fescueseam.routing.table import MemberState

from ..world.backend import Misreport
from ..world.hosts import AgentHost
from ..world.life import Life
from ..world.network import LinkFaults
from ..world.world import World
from .models import Action, Verb

SHUTDOWN_LIMIT_S = 30.0
SHUTDOWN_POLL_S = 0.05
CROSSED_SIZE_S = 0.1


def apply_action(world: World, action: Action, spread_s: float) -> None:
    """Do one action; what travels to processes takes up to the spread to reach each."""
    _DOERS[action.verb](world, action, spread_s)


def _kill(world: World, action: Action, spread_s: float) -> None:
    name = action.names[0]
    if name in world.entries:
        world.entries[name].kill()
    else:
        world.kill_server(name)


def _freeze(world: World, action: Action, spread_s: float) -> None:
    host = world.find_host(action.names[0])
    world.note("freeze", host.name)
    host.freeze()
    world.timeline.after(action.numbers[0], host.wake)


def _cut(world: World, action: Action, spread_s: float) -> None:
    source, target = action.names
    world.network.cut(source, target)
    world.timeline.after(action.numbers[0], lambda: world.network.mend(source, target))


def _cut_both(world: World, action: Action, spread_s: float) -> None:
    _cut(world, action, spread_s)
    _cut(world, evolve(action, names=action.names[::-1]), spread_s)


def _replace(world: World, action: Action, spread_s: float) -> None:
    old = world.entries[action.names[0]]
    old.kill()
    world.start_entry(old.name, old.place.data_centre)


def _restart_agent(world: World, action: Action, spread_s: float) -> None:
    world.note("restart_agent", action.names[0])
    world.restart_agent(action.names[0])


def _cool(world: World, action: Action, spread_s: float) -> None:
    world.note("cool", action.names[0])
    world.backends[action.names[0]].restart()


def _drain(world: World, action: Action, spread_s: float) -> None:
    world.drain_server(action.names[0], action.verb is Verb.DRAIN, spread_s)


def _shut_down(world: World, action: Action, spread_s: float) -> None:
    name = action.names[0]
    world.note("shut_down", name)
    if name in world.entries:
        # A balancer keeps nothing: once the fabric passes it by, only its buffer counts.
        world.entries[name].leaving = True
        world.timeline.after(SHUTDOWN_POLL_S, world.entries[name].kill)
        return
    host = world.agents[name]
    world.note("drain", name)
    if hasattr(host.core, "stopping"):
        host.core.stopping = True
    host.core.update_draining(host.backend.draining)
    world.set_member_state(name, MemberState.LEAVING, spread_s)
    limit = world.timeline.now + SHUTDOWN_LIMIT_S
    world.timeline.every(SHUTDOWN_POLL_S, lambda: _wait_for_end(world, host, limit))


def _wait_for_end(world: World, host: AgentHost, limit: float) -> bool:
    if host.life is Life.DEAD:
        return False
    if host.count_flows() and world.timeline.now < limit:
        return True
    host.kill()
    world.remove_server(host.name, 0.0)
    return False


def _set_data_centre(world: World, action: Action, spread_s: float) -> None:
    out = action.verb is Verb.TAKE_OUT
    state = DataCentreState.OUT if out else DataCentreState.IN
    world.set_data_centre(action.names[0], state, spread_s)


def _add(world: World, action: Action, spread_s: float) -> None:
    name, service, data_centre = action.names[:3]
    address = world.agents[action.names[3]].member.address if action.verb is Verb.ADD_AT else ""
    world.add_server(name, service, data_centre, spread_s=spread_s, address=address)


def _leave(world: World, action: Action, spread_s: float) -> None:
    leaving = action.verb is Verb.LEAVE
    state = MemberState.LEAVING if leaving else MemberState.ACTIVE
    world.set_member_state(action.names[0], state, spread_s)


def _remove(world: World, action: Action, spread_s: float) -> None:
    world.remove_server(action.names[0], spread_s)


def _suspect(world: World, action: Action, spread_s: float) -> None:
    name = action.names[0]
    world.suspicion.ordered.add(name)
    world.timeline.after(action.numbers[0], lambda: world.suspicion.ordered.discard(name))


def _misreport(world: World, action: Action, spread_s: float) -> None:
    names = world.backends if action.names[0] == "*" else action.names
    lag_s, factor = action.numbers
    for name in names:
        world.backends[name].misreport = Misreport(lag_s, factor)


def _accept(world: World, action: Action, spread_s: float) -> None:
    world.change_configuration(lambda cfg: cfg, spread_s=spread_s)


def _store_down(world: World, action: Action, spread_s: float) -> None:
    world.store.up = False
    world.timeline.after(action.numbers[0], lambda: setattr(world.store, "up", True))


def _store_slow(world: World, action: Action, spread_s: float) -> None:
    world.store.slow_s = action.numbers[0]
    world.timeline.after(action.numbers[1], lambda: setattr(world.store, "slow_s", 0.0))


def _store_stale(world: World, action: Action, spread_s: float) -> None:
    world.store.stale = True
    world.timeline.after(action.numbers[0], lambda: setattr(world.store, "stale", False))


def _network(world: World, action: Action, spread_s: float) -> None:
    loss, duplicate, reorder = (number / 100 for number in action.numbers)
    world.network.faults = LinkFaults(loss, duplicate, reorder)


def _cross(world: World, action: Action, spread_s: float) -> None:
    # The opening reaches every balancer at once, so that each may take the flow for its own.
    class_name, service = action.names
    call = world.open_call(service, class_name, CROSSED_SIZE_S)
    raw = world.callers.build_opening(call)
    for host in world.entries.values():
        world.send_to_entry(host, raw)


def _reuse_port(world: World, action: Action, spread_s: float) -> None:
    closed = [
        call
        for call in world.calls.values()
        if call.service_class.name == action.names[0] and call.ended >= 0
    ]
    if closed:
        last = closed[-1]
        service = world.find_service(last.service)
        world.callers.open(service, last.service_class, last.size_s, last.flow)


_Doer = Callable[[World, Action, float], None]
_DOERS: dict[Verb, _Doer] = {
    Verb.KILL: _kill,
    Verb.FREEZE: _freeze,
    Verb.CUT: _cut,
    Verb.CUT_BOTH: _cut_both,
    Verb.REPLACE: _replace,
    Verb.RESTART_AGENT: _restart_agent,
    Verb.COOL: _cool,
    Verb.DRAIN: _drain,
    Verb.UNDRAIN: _drain,
    Verb.SHUT_DOWN: _shut_down,
    Verb.TAKE_OUT: _set_data_centre,
    Verb.BRING_BACK: _set_data_centre,
    Verb.ADD: _add,
    Verb.ADD_AT: _add,
    Verb.LEAVE: _leave,
    Verb.REJOIN: _leave,
    Verb.REMOVE: _remove,
    Verb.SUSPECT: _suspect,
    Verb.MISREPORT: _misreport,
    Verb.ACCEPT: _accept,
    Verb.STORE_DOWN: _store_down,
    Verb.STORE_SLOW: _store_slow,
    Verb.STORE_STALE: _store_stale,
    Verb.NETWORK: _network,
    Verb.CROSS: _cross,
    Verb.REUSE_PORT: _reuse_port,
}
