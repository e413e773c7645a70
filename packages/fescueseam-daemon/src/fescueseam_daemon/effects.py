"""Execute the actions that decisions return."""

from collections.abc import Callable, Iterable

from attrs import define, field

from fescueseam.effects import (
    CloseFlow,
    Deliver,
    Drop,
    Effect,
    Observe,
    Probe,
    Refuse,
    Send,
)
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.keys import FlowKey
from fescueseam.packets.refusals import build_refusal
from fescueseam_daemon.channel import Channel
from fescueseam_daemon.metrics import Metrics


def ignore_delivery(effect: Deliver) -> None:
    """Ignore a delivery; for processes without a backend server."""


def ignore_flow(flow: FlowKey) -> None:
    """Ignore the end of a flow; for processes without a backend server."""


def ignore_probe() -> None:
    """Ignore a probe; for processes without a backend server."""


@define
class Executor:
    """An executor of effects that uses a channel, the metrics and the given callbacks."""

    service: str
    channel: Channel
    metrics: Metrics
    send_to_caller: Callable[[bytes], None]
    deliver: Callable[[Deliver], None] = ignore_delivery
    close_flow: Callable[[FlowKey], None] = ignore_flow
    probe: Callable[[], None] = ignore_probe
    _handlers: dict[type, Callable[[Effect], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._handlers = {
            Send: self._send,
            Deliver: self._deliver,
            Refuse: self._refuse,
            Drop: self._drop,
            CloseFlow: self._close_flow,
            Probe: self._probe,
            Observe: self._observe,
        }

    def run(self, effects: Iterable[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            self._handlers[type(effect)](effect)

    def _send(self, effect: Effect) -> None:
        assert isinstance(effect, Send)
        self.channel.send(effect.address, effect.port, effect.message)

    def _deliver(self, effect: Effect) -> None:
        assert isinstance(effect, Deliver)
        self.deliver(effect)
        name = effect.service_class.name
        self.metrics.packets.labels(self.service, name, "delivered").inc()

    def _refuse(self, effect: Effect) -> None:
        assert isinstance(effect, Refuse)
        refusal = build_refusal(effect.packet, effect.service_class.transport)
        self.send_to_caller(refusal)
        name = effect.service_class.name
        self.metrics.refused.labels(self.service, name, effect.kind.value).inc()

    def _drop(self, effect: Effect) -> None:
        assert isinstance(effect, Drop)
        self.metrics.count_drop(ErrorKind(effect.kind), self.service, effect.class_name)

    def _close_flow(self, effect: Effect) -> None:
        assert isinstance(effect, CloseFlow)
        self.close_flow(effect.flow)

    def _probe(self, effect: Effect) -> None:
        self.probe()

    def _observe(self, effect: Effect) -> None:
        assert isinstance(effect, Observe)
        self.metrics.observe(effect.metric, effect.value, self.service, effect.class_name)
