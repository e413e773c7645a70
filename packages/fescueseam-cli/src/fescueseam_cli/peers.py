"""Query the processes for their status."""

from collections.abc import Iterable
from typing import Any

import cattrs
import httpx
import trio
from attrs import evolve, field, frozen

from fescueseam.checks.values import MAX_PORT
from fescueseam.exceptions import SettingsError, StoreError
from fescueseam.upkeep.store import Store

MEMBERS_PREFIX = "members/"
MAX_CONCURRENT_QUERIES = 32
"""Largest number of processes queried at the same time."""

_converter = cattrs.Converter()


@frozen
class Peer:
    """A process and the address and port of its HTTP endpoint."""

    address: str
    metrics_port: int
    name: str = ""
    role: str = ""
    data_centre: str = ""

    @property
    def http_address(self) -> str:
        """Return the HTTP endpoint as "address:port"."""
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"{host}:{self.metrics_port}"


@frozen
class ProcessStatus:
    """The status that a process reports."""

    name: str
    role: str
    data_centre: str
    config_version: int
    tables: dict[str, int] = field(factory=dict)
    """Epoch of the table of each service."""
    peers: tuple[Peer, ...] = ()


@frozen
class QueryResult:
    """The status of a queried process, or the problem that prevented it."""

    peer: Peer
    status: ProcessStatus | None
    problem: str = ""


def parse_http_address(http_address: str) -> Peer:
    """Return the peer that "address:port" names; raise SettingsError if it names none."""
    address, _, port = http_address.rpartition(":")
    if not address or not port.isascii() or not port.isdigit():
        raise SettingsError(f"{http_address!r} is not of the form address:port")
    if not 1 <= int(port) <= MAX_PORT:
        raise SettingsError(f"{http_address!r} has no valid port: use 1 to {MAX_PORT}")
    return Peer(address.strip("[]"), int(port))


async def list_registered_peers(store: Store) -> tuple[Peer, ...]:
    """Return the processes that are registered in the store."""
    objects = await store.list_objects(MEMBERS_PREFIX)
    return tuple(peer for stored in objects for peer in decode_peers(stored.value))


def decode_peers(value: Any) -> tuple[Peer, ...]:
    """Return the peers in a list of records; skip records without a valid address and port."""
    if not isinstance(value, list):
        return ()
    peers = []
    for record in value:
        try:
            peers.append(_converter.structure(record, Peer))
        except (cattrs.BaseValidationError, TypeError, ValueError):
            continue
    return tuple(peer for peer in peers if peer.metrics_port > 0)


async def query_processes(
    client: httpx.AsyncClient, peers: Iterable[Peer]
) -> tuple[QueryResult, ...]:
    """Query each process once, and then the peers that the replies name."""
    results = await _query_all(client, _deduplicate(peers))
    queried = {result.peer.http_address for result in results}
    named_peers = [
        peer for result in results if result.status is not None for peer in result.status.peers
    ]
    new_peers = _deduplicate(peer for peer in named_peers if peer.http_address not in queried)
    results += await _query_all(client, new_peers)
    return tuple(
        sorted(results, key=lambda result: (_make_sort_key(result), result.peer.http_address))
    )


async def _query_all(client: httpx.AsyncClient, peers: Iterable[Peer]) -> list[QueryResult]:
    results: list[QueryResult] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

    async def query(peer: Peer) -> None:
        async with limiter:
            results.append(await _query_process(client, peer))

    async with trio.open_nursery() as nursery:
        for peer in peers:
            nursery.start_soon(query, peer)
    return results


async def _query_process(client: httpx.AsyncClient, peer: Peer) -> QueryResult:
    try:
        response = await client.get(f"http://{peer.http_address}/status")
        response.raise_for_status()
        body = response.json()
        peers = decode_peers(body.pop("peers", []))
        status = evolve(_converter.structure(body, ProcessStatus), peers=peers)
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        return QueryResult(peer, None, f"no answer ({type(exc).__name__})")
    except (cattrs.BaseValidationError, AttributeError, TypeError, ValueError):
        return QueryResult(peer, None, "the answer cannot be parsed")
    return QueryResult(peer, status)


def _make_sort_key(result: QueryResult) -> tuple[str, str]:
    source = result.status or result.peer
    return source.data_centre, source.name


def _deduplicate(peers: Iterable[Peer]) -> tuple[Peer, ...]:
    return tuple({peer.http_address: peer for peer in peers}.values())


async def collect_peers(
    store: Store | None, http_addresses: Iterable[str]
) -> tuple[tuple[Peer, ...], str]:
    """Return the processes to query, and the error if the store's list is unavailable."""
    peers = tuple(parse_http_address(http_address) for http_address in http_addresses)
    if store is None:
        return peers, "no store URL is given"
    try:
        return peers + await list_registered_peers(store), ""
    except StoreError as exc:
        return peers, str(exc)
