"""Test that each check can fail: a promise is violated if the mechanism behind it is disabled."""

import os

import pytest
from attrs import evolve

from fescueseam.admission.gate import Gate, Verdict
from fescueseam.agent.agent import Agent
from fescueseam.agent.home import Home
from fescueseam.claims.registry import ClaimRegistry
from fescueseam.flows.table import FlowRecord, FlowTable
from fescueseam.packets.ip import parse_packet
from fescueseam.placement.recorder import Recorder
from fescueseam.routing import view as view_module
from fescueseam.routing.table import Row, compute_row
from fescueseam.routing.view import View
from fescueseam.versions.gossip import Gossip
from fescueseam_standins.scenarios import actions
from fescueseam_standins.scenarios.parsing import parse_scenario
from fescueseam_standins.scenarios.running import run_scenario
from fescueseam_standins.world import hosts, world

SEED = int(os.environ.get("SEED", "1"))

LEAVING_MEMBERS = """
on ribera-norte
views late by 300ms
traffic alerts of bitacora: 20/s lasting 40s to 4s
at 5s leave bitacora-1
at 6s leave bitacora-2
at 7s replace entry-1
run for 40s
"""
REUSED_ADDRESS = """
on ribera-norte
views late by 3s
traffic alerts of bitacora: 20/s lasting 20s to 12s
traffic photos of acopio: 10/s lasting 200ms to 12s
at 5s kill bitacora-3
at 6s add acopio-4 to acopio in almacen-sur at address of bitacora-3
run for 30s
"""
COLD_RESTARTS = """
on lintang
traffic reservations of katalog: 400/s lasting 200ms to 8s
every 500ms from 2250ms to 8s: cool katalog-1 then cool katalog-2 then cool katalog-3
run for 10s
"""
FROZEN_WHILE_TAKEN_OUT = """
on lintang
traffic listings of katalog: 20/s lasting 30s to 4s
at 4s freeze katalog-2 for 6s
at 4500ms take out solo
run for 12s
"""
LONG_REQUESTS = """
on ribera-norte
traffic repairs of bitacora: 6/s lasting 800ms to 8s
run for 50s
"""
CROSSED_RESERVATIONS = """
on lintang
views late by 2s
traffic reservations of katalog: 50/s lasting 300ms to 6s
at 0s network loses 3% duplicates 30% reorders 30%
every 100ms from 1s to 6s: cross reservations of katalog
every 2s from 2s to 6s: freeze katalog-1 for 2s then freeze katalog-5 for 1s
every 1s from 3s to 6s: suspect katalog-3 for 2s then leave katalog-2
run for 20s
"""
CROSSED_LOOKUPS = """
on lintang
views late by 2s
traffic lookups of katalog: 250/s lasting 300ms to 6s
at 0s network loses 3% duplicates 30% reorders 30%
every 100ms from 1s to 6s: cross lookups of katalog
every 2s from 2s to 6s: freeze katalog-1 for 2s then freeze katalog-5 for 1s
every 1s from 3s to 6s: suspect katalog-3 for 2s then leave katalog-2
run for 20s
"""
OVERLOADED = """
on ribera-norte
traffic repairs of bitacora: 60/s lasting 150ms to 4s
traffic uploads of acopio: 20/s lasting 200ms to 4s
every 500ms from 1s to 4s: cut bitacora-1 to * for 450ms then cut acopio-1 to * for 450ms
run for 20s
"""
DRAINED = """
on ribera-norte
traffic repairs of bitacora: 40/s lasting 100ms to 12s
at 3s drain bitacora-1
run for 30s
"""
SHUT_DOWN = """
on lintang
traffic reservations of katalog: 40/s lasting 400ms to 10s
at 5s shut down katalog-1
at 6s shut down katalog-2
run for 50s
"""
STORE_OUTAGE = """
on ribera-norte
traffic repairs of bitacora: 5/s lasting 100ms to 20s
at 3s accept
at 3010ms store down for 15s
at 19s store stale for 5s
at 20s accept
run for 30s
"""


def remove_earlier_owners(monkeypatch):
    def compute_without_owners(table, bucket):
        return Row(compute_row(table, bucket).candidates, ())

    monkeypatch.setattr(view_module, "compute_row", compute_without_owners)
    monkeypatch.setattr(Home, "adopt_flow", lambda *args: None)


def skip_service_check(monkeypatch):
    def handle_for_own_service(self, message, now):
        readdressed = evolve(message, target=self.name, service=self.service)
        return original(self, readdressed, now)

    def read_without_service_check(self, raw):
        packet = parse_packet(raw)
        service = self.view.find_service(packet.flow.destination)
        return packet, self.view.find_service_class(service.name, packet.flow.destination_port)

    original = Agent.handle_message
    monkeypatch.setattr(Agent, "handle_message", handle_for_own_service)
    monkeypatch.setattr(Agent, "_read_packet", read_without_service_check)


def skip_cold_start_verification(monkeypatch):
    original = Gate.judge

    def judge(self, *args):
        verdict = original(self, *args)
        return Verdict.ADMIT if verdict is Verdict.VERIFY else verdict

    monkeypatch.setattr(Gate, "judge", judge)


def ignore_unavailability(monkeypatch):
    monkeypatch.setattr(Agent, "_find_unavailable_reason", lambda self: None)


def skip_socket_quarantine(monkeypatch):
    monkeypatch.setattr(hosts.AgentHost, "_acquire_socket", acquire_quarantined_socket)
    monkeypatch.setattr(FlowRecord, "is_idle", lambda self, now: now >= self.last_seen + 0.1)


def acquire_quarantined_socket(self, flow):
    socket = self._sockets_by_flow.get(flow)
    if socket is None:
        socket = (
            self._quarantined_sockets.popleft()
            if self._quarantined_sockets
            else hosts.LocalSocket()
        )
        socket.flow = flow
        self._sockets_by_flow[flow] = socket
    return socket


def refuse_unresolved_openings(monkeypatch):
    def end_unresolved(self, search, now):
        return self._refuse(search, now)

    def abandon_claim(self, search, *args):
        return self._refuse(search, search.started)

    monkeypatch.setattr(Recorder, "_end_unresolved", end_unresolved)
    monkeypatch.setattr(Recorder, "_abandon_claim", abandon_claim)


def forget_rejections(monkeypatch):
    monkeypatch.setattr(Home, "has_rejected", lambda *args: False)
    monkeypatch.setattr(Home, "record_rejection", lambda *args: None)
    monkeypatch.setattr(Home, "has_rejected_for_other_recorder", lambda *args: False)
    monkeypatch.setattr(Recorder, "knows_flow", lambda *args: False)
    monkeypatch.setattr(Recorder, "has_refused", lambda *args: False)
    monkeypatch.setattr(Recorder, "_has_unheard_suspect", lambda *args: False)


def grant_every_claim(monkeypatch):
    monkeypatch.setattr(ClaimRegistry, "grant", lambda *args: True)
    monkeypatch.setattr(FlowTable, "has_run", lambda *args: False)


def ignore_draining(monkeypatch):
    monkeypatch.setattr(Agent, "update_draining", lambda self, reported: None)


def skip_shutdown_wait(monkeypatch):
    monkeypatch.setattr(actions, "SHUTDOWN_TIMEOUT_S", 0.0)


def drop_control_messages(monkeypatch):
    monkeypatch.setattr(world.World, "send_control_message", lambda *args: None)
    monkeypatch.setattr(hosts.Host, "update_lease", lambda self: None)


def accept_older_versions(monkeypatch):
    def set_configuration(self, cfg):
        if cfg.version < self.cfg.version:
            self.cfg = cfg
            return True
        return original(self, cfg)

    def put_configuration(self, cfg, writer):
        self.view.in_force = cfg
        return True

    original = View.set_configuration
    monkeypatch.setattr(View, "set_configuration", set_configuration)
    monkeypatch.setattr(Gossip, "put_configuration", put_configuration)


ABLATIONS = [
    ("streams-survive", LEAVING_MEMBERS, remove_earlier_owners),
    ("services-apart", REUSED_ADDRESS, skip_service_check),
    ("cold-start", COLD_RESTARTS, skip_cold_start_verification),
    ("data-centre-out", FROZEN_WHILE_TAKEN_OUT, ignore_unavailability),
    ("own-answer", LONG_REQUESTS, skip_socket_quarantine),
    ("refusals-true", OVERLOADED, refuse_unresolved_openings),
    ("refusals-true", CROSSED_LOOKUPS, forget_rejections),
    ("at-most-once", CROSSED_RESERVATIONS, grant_every_claim),
    ("leaving", DRAINED, ignore_draining),
    ("graceful-shutdown", SHUT_DOWN, skip_shutdown_wait),
    ("configuration", STORE_OUTAGE, drop_control_messages),
    ("configuration", STORE_OUTAGE, accept_older_versions),
]


@pytest.mark.parametrize(
    ("promise", "text", "disable_mechanism"),
    ABLATIONS,
    ids=[f"{promise}-{disable_mechanism.__name__}" for promise, _, disable_mechanism in ABLATIONS],
)
def test_promise_is_violated_without_its_mechanism(promise, text, disable_mechanism, monkeypatch):
    scenario = parse_scenario(text)
    assert run_scenario(scenario, SEED).count_violations()[promise] == 0
    disable_mechanism(monkeypatch)
    assert run_scenario(scenario, SEED).count_violations()[promise] > 0
