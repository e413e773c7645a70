"""Hold the members of one service and compute each bucket's row."""

from enum import StrEnum

import xxhash
from attrs import frozen

ROW_CANDIDATES = 8
"""Bound the candidates of a row; a service this small has every member in every row."""


class MemberState(StrEnum):
    """Tell which part a member plays in the rows of its service."""

    ACTIVE = "active"
    """Take new flows and hold established ones."""
    LEAVING = "leaving"
    """Hold established flows only."""
    RETIRED = "retired"
    """Hold nothing; stay listed until late packets can no longer arrive."""


@frozen
class Member:
    """Describe one backend server and the agent beside it."""

    name: str
    data_centre: str
    address: str
    control_port: int
    incarnation: int
    state: MemberState = MemberState.ACTIVE


@frozen
class ExtraOwner:
    """Keep a displaced member in the row of a bucket whose flows it still holds."""

    bucket: int
    member: str


@frozen
class Table:
    """Hold the members of one service at one epoch."""

    service: str
    epoch: int
    members: tuple[Member, ...] = ()
    buckets: int = 64
    seed: int = 0
    extras: tuple[ExtraOwner, ...] = ()
    writer: str = ""
    """Identify the write that made this epoch, to resolve a lost reply."""


@frozen
class Row:
    """List the members of one bucket, the recorder of its flows first."""

    candidates: tuple[Member, ...]
    owners: tuple[Member, ...]
    """List leaving, retired and displaced members, which take no new flows."""

    @property
    def members(self) -> tuple[Member, ...]:
        """Return candidates and owners in order."""
        return self.candidates + self.owners


def rank_member(member: Member, bucket: int, seed: int) -> int:
    """Return the rendezvous rank of a member for a bucket; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{member.name}/{bucket}".encode(), seed)


def compute_row(table: Table, bucket: int) -> Row:
    """Return the row of a bucket: ranked candidates, then earlier owners."""
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
