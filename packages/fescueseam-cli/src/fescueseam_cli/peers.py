"""Ask the processes which configuration they have in force."""

from collections.abc import Iterable
from typing import Any

import cattrs
import httpx
import trio
from attrs import evolve, field, frozen

from fescueseam.exceptions import SettingsError, StoreError
from fescueseam.upkeep.store import Store

MEMBERS_PREFIX = "members/"
CONCURRENT_CALLS = 32
"""Bound the processes asked at the same time."""

_converter = cattrs.Converter()


@frozen
class Peer:
    """Say where a process answers."""

    address: str
    metrics_port: int
    name: str = ""
    role: str = ""
    data_centre: str = ""

    @property
    def place(self) -> str:
        """Return the address and port of its HTTP endpoint."""
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"{host}:{self.metrics_port}"


@frozen
class ProcessStatus:
    """Hold what one process says of itself."""

    name: str
    role: str
    data_centre: str
    config_version: int
    tables: dict[str, int] = field(factory=dict)
    """Map each service to the epoch of its table."""
    peers: tuple[Peer, ...] = ()


@frozen
class Answer:
    """Hold what became of asking one process."""

    peer: Peer
    status: ProcessStatus | None
    problem: str = ""


def parse_place(place: str) -> Peer:
    """Return the peer at "address:port"."""
    address, _, port = place.rpartition(":")
    if not address or not port.isascii() or not port.isdigit():
        raise SettingsError(f"{place!r} is not address:port")
    return Peer(address.strip("[]"), int(port))


async def list_members(store: Store) -> tuple[Peer, ...]:
    """Return the processes that the store names."""
    objects = await store.list_objects(MEMBERS_PREFIX)
    return tuple(peer for stored in objects for peer in read_peers(stored.value))


def read_peers(value: Any) -> tuple[Peer, ...]:
    """Return the peers in a list of records; a record without a place names nobody."""
    if not isinstance(value, list):
        return ()
    peers = []
    for record in value:
        try:
            peers.append(_converter.structure(record, Peer))
        except (cattrs.BaseValidationError, TypeError, ValueError):
            continue
    return tuple(peer for peer in peers if peer.metrics_port > 0)


async def ask_processes(client: httpx.AsyncClient, peers: Iterable[Peer]) -> tuple[Answer, ...]:
    """Ask every process once, and also those that the first answers name."""
    answers = await _ask_all(client, _drop_repeated(peers))
    asked = {answer.peer.place for answer in answers}
    named = [
        peer for answer in answers if answer.status is not None for peer in answer.status.peers
    ]
    more = _drop_repeated(peer for peer in named if peer.place not in asked)
    answers += await _ask_all(client, more)
    return tuple(sorted(answers, key=lambda answer: (_describe(answer), answer.peer.place)))


async def _ask_all(client: httpx.AsyncClient, peers: Iterable[Peer]) -> list[Answer]:
    answers: list[Answer] = []
    limiter = trio.CapacityLimiter(CONCURRENT_CALLS)

    async def ask(peer: Peer) -> None:
        async with limiter:
            answers.append(await _ask(client, peer))

    async with trio.open_nursery() as nursery:
        for peer in peers:
            nursery.start_soon(ask, peer)
    return answers


async def _ask(client: httpx.AsyncClient, peer: Peer) -> Answer:
    try:
        response = await client.get(f"http://{peer.place}/status")
        response.raise_for_status()
        body = response.json()
        peers = read_peers(body.pop("peers", []))
        status = evolve(_converter.structure(body, ProcessStatus), peers=peers)
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        return Answer(peer, None, f"no answer ({type(exc).__name__})")
    except (cattrs.BaseValidationError, AttributeError, TypeError, ValueError):
        return Answer(peer, None, "the answer cannot be read")
    return Answer(peer, status)


def _describe(answer: Answer) -> tuple[str, str]:
    status = answer.status or answer.peer
    return status.data_centre, status.name


def _drop_repeated(peers: Iterable[Peer]) -> tuple[Peer, ...]:
    return tuple({peer.place: peer for peer in peers}.values())


async def gather_peers(store: Store | None, places: Iterable[str]) -> tuple[tuple[Peer, ...], str]:
    """Return the processes to ask, and why the store's list is missing where it is."""
    peers = tuple(parse_place(place) for place in places)
    if store is None:
        return peers, "no store is named"
    try:
        return peers + await list_members(store), ""
    except StoreError as exc:
        return peers, str(exc)
