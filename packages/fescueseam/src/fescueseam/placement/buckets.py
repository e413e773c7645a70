"""Track since when this member has been the recorder of each bucket."""

from attrs import define, field

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.routing.view import View

BUCKET_SETTLE_TIME_S = PACKET_LIFETIME_S
"""Ask before placing for this long after becoming a bucket's recorder, in seconds."""


@define
class RecordedBuckets:
    """Hold since when each bucket has been recorded here without interruption."""

    name: str
    service: str
    view: View
    _recorded_since: dict[int, float] = field(factory=dict)
    _revision: int = -1

    def update(self, now: float) -> None:
        """Follow the view if it has changed."""
        if self._revision == self.view.revision:
            return
        # A bucket recorded without interruption keeps its time. Of two changes at once the first
        # was not looked at, and may have been an interruption.
        known = self._recorded_since if self.view.revision == self._revision + 1 else {}
        self._revision = self.view.revision
        table = self.view.find_table(self.service)
        self._recorded_since = {
            bucket: known.get(bucket, now)
            for bucket in range(table.buckets if table is not None else 0)
            if self._is_recorded_here(bucket)
        }

    def is_settled(self, flow: FlowKey, now: float) -> bool:
        """Tell whether no earlier recorder of the flow's bucket can still be placing flows."""
        self.update(now)
        table = self.view.find_table(self.service)
        if table is None:
            return False
        since = self._recorded_since.get(compute_bucket(flow, table.seed, table.buckets))
        return since is not None and now >= since + BUCKET_SETTLE_TIME_S

    def _is_recorded_here(self, bucket: int) -> bool:
        recorder = self.view.find_recorder(self.service, bucket)
        return recorder is not None and recorder.name == self.name
