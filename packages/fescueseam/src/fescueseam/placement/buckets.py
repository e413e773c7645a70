"""How long this member has been the recorder of each bucket."""

from attrs import define, field

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.routing.view import View

BUCKET_SETTLE_TIME_S = PACKET_LIFETIME_S
"""How long a new recorder of a bucket asks the members before each placement, in seconds."""


@define
class RecordedBuckets:
    """The buckets whose recorder is this member, and since when without interruption."""

    name: str
    service: str
    view: View
    _recorded_since: dict[int, float] = field(factory=dict)
    _revision: int = -1

    def update(self, now: float) -> None:
        """Apply changes of the view."""
        if self._revision == self.view.revision:
            return
        # A bucket that stays with this member keeps its start time. If the view has changed more
        # than once, a change in between may have moved the bucket away and back, so all times
        # start again.
        previous = self._recorded_since if self.view.revision == self._revision + 1 else {}
        self._revision = self.view.revision
        table = self.view.find_table(self.service)
        self._recorded_since = {
            bucket: previous.get(bucket, now)
            for bucket in range(table.buckets if table is not None else 0)
            if self._is_recorded_here(bucket)
        }

    def is_settled(self, flow: FlowKey, now: float) -> bool:
        """Return whether no earlier recorder of the flow's bucket can still be placing flows."""
        self.update(now)
        table = self.view.find_table(self.service)
        if table is None:
            return False
        recorded_since = self._recorded_since.get(compute_bucket(flow, table.seed, table.buckets))
        return recorded_since is not None and now >= recorded_since + BUCKET_SETTLE_TIME_S

    def _is_recorded_here(self, bucket: int) -> bool:
        recorder = self.view.find_recorder(self.service, bucket)
        return recorder is not None and recorder.name == self.name
