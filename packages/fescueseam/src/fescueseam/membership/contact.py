"""Tell how lately a data centre was in touch with anything outside it."""

from attrs import define

from fescueseam.conf.models import Configuration

UNKNOWN_AGE_S = float("inf")


@define
class Contact:
    """Hold when the own data centre was last in touch with another one, or with the store.

    Processes of one data centre that hear only each other cannot learn that operators have taken
    it out. So an answer from within counts only by how lately its sender was in touch itself.
    """

    data_centre: str
    region: str
    outside_at: float = float("-inf")

    def note_answer(
        self, sent_at: float, data_centre: str, age_s: float, cfg: Configuration
    ) -> None:
        """Take the answer to a question sent at a time, with its sender's own age of contact."""
        is_outside = data_centre not in ("", self.data_centre)
        if is_outside or not self._has_neighbour(cfg):
            age_s = 0.0
        self.outside_at = max(self.outside_at, sent_at - age_s)

    def note_store(self, called_at: float) -> None:
        """Take an answer of the store to a call that began at a time."""
        self.outside_at = max(self.outside_at, called_at)

    def find_age(self, now: float) -> float:
        """Return how long ago the last contact was, in seconds."""
        return max(0.0, now - self.outside_at)

    def _has_neighbour(self, cfg: Configuration) -> bool:
        # Regions may lose each other for long, so a data centre alone in its region goes on.
        return any(
            item.region == self.region and item.name != self.data_centre
            for item in cfg.data_centres
        )
