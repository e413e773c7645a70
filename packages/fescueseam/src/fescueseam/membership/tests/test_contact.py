"""Load pattern: a data centre that hears only itself, with another one or a region of its own."""

import math

import pytest

from fescueseam.conf.models import Configuration, DataCentre
from fescueseam.membership.contact import Contact


def build_configuration(*places: tuple[str, str]) -> Configuration:
    return Configuration(data_centres=tuple(DataCentre(name, region) for name, region in places))


NEIGHBOURS = build_configuration(("solo", "java"), ("semarang", "java"))
ALONE = build_configuration(("solo", "java"), ("oslo", "north"))


@pytest.fixture
def contact() -> Contact:
    return Contact("solo", "java")


def test_a_process_that_heard_nobody_has_no_contact(contact: Contact) -> None:
    assert contact.find_age(5.0) == math.inf


def test_an_answer_from_another_data_centre_counts_from_its_question(contact: Contact) -> None:
    contact.note_answer(10.0, "semarang", math.inf, NEIGHBOURS)
    assert contact.find_age(10.5) == 0.5


def test_an_answer_from_within_counts_by_the_age_of_its_senders_contact(contact: Contact) -> None:
    contact.note_answer(10.0, "solo", 0.7, NEIGHBOURS)
    assert contact.find_age(10.0) == pytest.approx(0.7)
    contact.note_answer(11.0, "solo", math.inf, NEIGHBOURS)
    assert contact.find_age(11.0) == pytest.approx(1.7)


def test_two_processes_that_hear_only_each_other_grow_old_together(contact: Contact) -> None:
    other = Contact("solo", "java")
    contact.note_answer(0.0, "semarang", 0.0, NEIGHBOURS)
    for now in (0.5, 1.0, 1.5, 2.0):
        other.note_answer(now, "solo", contact.find_age(now), NEIGHBOURS)
        contact.note_answer(now, "solo", other.find_age(now), NEIGHBOURS)
    assert contact.find_age(2.0) == 2.0
    assert other.find_age(2.0) == 2.0


def test_an_unknown_sender_counts_by_its_age(contact: Contact) -> None:
    contact.note_answer(10.0, "", 0.7, NEIGHBOURS)
    assert contact.find_age(10.0) == pytest.approx(0.7)


def test_a_data_centre_alone_in_its_region_goes_on_by_itself(contact: Contact) -> None:
    contact.note_answer(10.0, "solo", math.inf, ALONE)
    assert contact.find_age(10.0) == 0.0


def test_the_store_is_contact_enough(contact: Contact) -> None:
    contact.note_store(10.0)
    contact.note_store(9.0)
    assert contact.find_age(11.0) == 1.0
