"""The table of a service's members, and the row of members for each bucket."""

from enum import StrEnum

import xxhash
from attrs import frozen

ROW_CANDIDATES = 8
"""Most candidates in a row; services of up to this size have all their members in every row."""


class MemberState(StrEnum):
    """Whether a member takes new flows, holds established ones, or neither."""

    ACTIVE = "active"
    """Takes new flows and holds established ones."""
    LEAVING = "leaving"
    """Holds established flows only."""
    RETIRED = "retired"
    """Holds no flows; listed until delayed packets can no longer arrive."""


@frozen
class Member:
    """One backend server and the agent beside it."""

    name: str
    data_centre: str
    address: str
    control_port: int
    incarnation: int
    state: MemberState = MemberState.ACTIVE


@frozen
class ExtraOwner:
    """A member displaced from the candidates of a bucket, kept in its row for its flows."""

    bucket: int
    member: str


@frozen
class Table:
    """The members of one service at one epoch."""

    service: str
    epoch: int
    members: tuple[Member, ...] = ()
    buckets: int = 64
    seed: int = 0
    extras: tuple[ExtraOwner, ...] = ()
    writer: str = ""
    """Identifies the write of this epoch, so that a read after a lost reply shows its outcome."""


@frozen
class Row:
    """The members for one bucket; the first usable one is the recorder of its flows."""

    candidates: tuple[Member, ...]
    owners: tuple[Member, ...]
    """Leaving, retired and displaced members, which take no new flows."""

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the candidates, then the owners."""
        return self.candidates + self.owners


def rank_member(member: Member, bucket: int, seed: int) -> int:
    """Return the rendezvous hash of a member for a bucket; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{member.name}/{bucket}".encode(), seed)


def compute_row(table: Table, bucket: int) -> Row:
    """Return the row of a bucket: the highest ranked candidates, then earlier owners."""
    ranked = sorted(
        table.members, key=lambda member: rank_member(member, bucket, table.seed), reverse=True
    )
    candidates = [member for member in ranked if member.state is MemberState.ACTIVE]
    displaced = {extra.member for extra in table.extras if extra.bucket == bucket}
    owners = [
        member
        for member in ranked
        if member.state is not MemberState.ACTIVE or member.name in displaced
    ]
    kept = tuple(candidates[:ROW_CANDIDATES])
    return Row(kept, tuple(member for member in owners if member not in kept))
