"""Run aioquic's connections, which do no I/O of their own, with trio."""

from collections.abc import Callable
from typing import Any

import trio
from aioquic.quic.connection import QuicConnection

SendFunction = Callable[[bytes], None]


class QuicDriver:
    """Driver that runs the I/O, the timer and the events of one connection."""

    def __init__(
        self, quic: QuicConnection, send: SendFunction, handle_event: Callable[[Any], None]
    ) -> None:
        self.quic = quic
        self._send = send
        self._handle_event = handle_event
        self._timer_changed = trio.Event()
        self.closed = False

    def receive(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Process a datagram from the peer."""
        self.quic.receive_datagram(datagram, peer, now=trio.current_time())
        self.flush()

    def flush(self) -> None:
        """Handle events, send pending datagrams and reset the timer."""
        self._handle_events()
        for datagram, _ in self.quic.datagrams_to_send(now=trio.current_time()):
            self._send(datagram)
        self._timer_changed.set()

    def end(self) -> None:
        """Mark the connection as closed and stop its timer."""
        self.closed = True
        self._timer_changed.set()

    async def run_timer(self) -> None:
        """Run the connection's timer until the connection is closed."""
        while not self.closed:
            self._timer_changed = trio.Event()
            deadline = self.quic.get_timer()
            with trio.move_on_at(float("inf") if deadline is None else deadline) as scope:
                await self._timer_changed.wait()
            if scope.cancelled_caught and not self.closed:
                self.quic.handle_timer(now=trio.current_time())
                self.flush()

    def _handle_events(self) -> None:
        while not self.closed and (event := self.quic.next_event()) is not None:
            self._handle_event(event)
