"""Poll the backend server beside an agent for its load."""

import time
from collections.abc import Callable

import httpx
import trio
from attrs import define, field

from fescueseam.admission.gate import LoadReport
from fescueseam_daemon.failure_barrier import FailureBarrier

POLL_INTERVAL_S = 0.5
"""Interval between two probes while no fresh report is requested, in seconds."""
PROBE_TIMEOUT_S = 0.15
"""Timeout of a probe, in seconds."""
LOST_AFTER_FAILURES = 3
"""Number of consecutive failed probes after which the backend server is reported lost.

A failed connection attempt is enough on its own.
"""

ReportCallback = Callable[[LoadReport], None]
LostCallback = Callable[[], None]


@define
class BackendProbe:
    """A poller of the load endpoint; it also probes at once when the agent needs a fresh report."""

    url: str
    on_report: ReportCallback
    on_lost: LostCallback
    barrier: FailureBarrier
    _report_requested: trio.Event = field(factory=trio.Event)
    _failures: int = 0
    _client: httpx.AsyncClient | None = None

    def request_report(self) -> None:
        """Request a report that is newer than this call."""
        self._report_requested.set()

    def start(self, nursery: trio.Nursery) -> None:
        """Start polling."""
        self._client = httpx.AsyncClient(timeout=PROBE_TIMEOUT_S)
        nursery.start_soon(self.barrier.keep_running, "probe", self._run)

    async def close(self) -> None:
        """Close the connection to the load endpoint."""
        if self._client is not None:
            await self._client.aclose()

    async def _run(self) -> None:
        while True:
            await self._probe()
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._report_requested.wait()

    async def _probe(self) -> None:
        assert self._client is not None, "the backend probe has not been started"
        self._report_requested = trio.Event()
        requested_at = time.monotonic()
        try:
            answer = await self._client.get(self.url)
            report = parse_report(answer.json(), requested_at)
        except httpx.ConnectError:
            self._failures = LOST_AFTER_FAILURES
            self.on_lost()
            return
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            self._failures += 1
            if self._failures == LOST_AFTER_FAILURES:
                self.on_lost()
            return
        self._failures = 0
        self.on_report(report)


def parse_report(value: dict[str, object], requested_at: float) -> LoadReport:
    """Parse the load endpoint's answer; raise KeyError, TypeError or ValueError if malformed."""
    return LoadReport(
        incarnation=int(str(value["incarnation"])),
        busy=int(str(value["busy"])),
        connections=int(str(value["open_connections"])),
        requested=requested_at,
        uptime_s=float(str(value["uptime_s"])),
        draining=bool(value.get("draining", False)),
    )
