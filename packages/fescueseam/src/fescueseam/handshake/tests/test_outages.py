"""Order of outages across the eras of the store, and holds of entries that were lost."""

import math

import pytest

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor
from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Report
from fescueseam.handshake.outages import HELD_LIMIT, Outage
from fescueseam.handshake.rules import ActiveConfiguration

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
BALANCER = Identity("balancer-1", Role.BALANCER, 1, "north")


@pytest.fixture
def configuration() -> ActiveConfiguration:
    """Return a configuration of era 1 in which north is out."""
    built = ActiveConfiguration()
    built.holds.hold_s = 8.0
    built.update_outage(Outage(300, NORTH, 1), now=0.0)
    return built


def test_lower_revision_of_a_later_era_replaces_the_outage(
    configuration: ActiveConfiguration,
) -> None:
    assert configuration.update_outage(Outage(200, NORTH | SOUTH, 2), now=10.0)
    assert configuration.outage == Outage(200, NORTH | SOUTH, 2)


@pytest.mark.parametrize("late", [Outage(300, NORTH, 1), Outage(999, SOUTH, 1), Outage(999)])
def test_outage_of_an_earlier_era_is_ignored(
    configuration: ActiveConfiguration, late: Outage
) -> None:
    configuration.update_outage(Outage(200, NORTH, 2), now=10.0)
    assert not configuration.update_outage(late, now=10.1)
    assert configuration.outage == Outage(200, NORTH, 2)


def test_data_centre_whose_entry_was_lost_stays_out_for_the_hold(
    configuration: ActiveConfiguration,
) -> None:
    configuration.update_outage(Outage(200, frozenset(), 2), now=10.0)
    assert configuration.outage == Outage(200, NORTH, 2, held=NORTH)
    configuration.update_outage(Outage(204, SOUTH, 2), now=17.9)
    assert configuration.outage.data_centres == NORTH | SOUTH
    assert configuration.holds.compute_remaining(17.9) == pytest.approx(0.1)
    assert configuration.update_outage(configuration.outage, now=18.0)
    assert configuration.outage == Outage(204, SOUTH, 2)


def test_entry_that_was_written_again_and_removed_takes_effect_within_the_hold(
    configuration: ActiveConfiguration,
) -> None:
    configuration.update_outage(Outage(200, frozenset(), 2), now=10.0)
    configuration.update_outage(Outage(201, NORTH, 2), now=11.0)
    assert configuration.outage.held == frozenset()
    configuration.update_outage(Outage(202, frozenset(), 2), now=12.0)
    assert not configuration.is_data_centre_out("north")


def test_second_era_within_a_second_keeps_what_the_first_holds(
    configuration: ActiveConfiguration,
) -> None:
    configuration.update_outage(Outage(200, frozenset(), 2), now=10.0)
    configuration.update_outage(Outage(190, frozenset(), 3), now=10.5)
    assert configuration.outage == Outage(190, NORTH, 3, held=NORTH)
    configuration.update_outage(configuration.outage, now=18.4)
    assert configuration.is_data_centre_out("north")
    configuration.update_outage(configuration.outage, now=18.5)
    assert not configuration.is_data_centre_out("north")


def test_process_that_starts_in_the_later_era_holds_what_its_peers_hold() -> None:
    started = ActiveConfiguration()
    started.update_outage(Outage(200, frozenset(), 2), now=0.0)
    reported = Outage(200, NORTH, 2, held=NORTH)
    assert started.update_outage(reported, now=1.0, hold_s=3.0)
    assert started.is_data_centre_out("north")
    # Reports of peers that hold it in turn do not prolong the hold.
    started.update_outage(reported, now=3.9, hold_s=3.0)
    assert started.update_outage(started.outage, now=4.0)
    assert not started.update_outage(reported, now=4.1, hold_s=3.0)
    assert not started.is_data_centre_out("north")


def test_holds_that_peers_report_are_bounded() -> None:
    started = ActiveConfiguration()
    names = frozenset(str(number) for number in range(2 * HELD_LIMIT))
    started.update_outage(Outage(200, names, 2, held=names), now=0.0, hold_s=math.inf)
    assert len(started.outage.held) == HELD_LIMIT
    assert not started.update_outage(started.outage, now=0.0)
    assert started.holds.compute_remaining(0.0) == started.holds.hold_s


def test_agent_follows_the_later_era_and_keeps_its_data_centre_out() -> None:
    own = Identity("agent-1", Role.AGENT, 2, "north", "alerts")
    agent = Agent(Fleet(own), BackendMonitor("alerts", 0.3, 0.0), 0.0)

    def receive(outage: Outage, now: float) -> frozenset[str]:
        agent.handle_report(Report(BALANCER, Load(), 1, outage), now)
        return agent.admission.outage.data_centres

    assert receive(Outage(300, NORTH, 1), 0.0) == NORTH
    assert receive(Outage(200, frozenset(), 2), 10.0) == NORTH
    assert receive(Outage(301, SOUTH, 1), 10.1) == NORTH
    assert receive(Outage(201, SOUTH, 2), 10.2) == NORTH | SOUTH
    assert receive(Outage(201, SOUTH, 2), 30.0) == SOUTH
