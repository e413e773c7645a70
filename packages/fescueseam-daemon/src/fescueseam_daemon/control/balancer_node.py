"""Control decisions of a balancer, which is also a keeper, without input or output."""

import random
from collections.abc import Iterable, Sequence

from attrs import evolve

from fescueseam.conf.models import ProcessSettings, Role
from fescueseam.effects import Send
from fescueseam.exceptions import MessageError
from fescueseam.membership.detector import DEAD_AFTER_S, FORGET_AFTER_S, Membership
from fescueseam.membership.facts import (
    Announcement,
    EventKind,
    MembershipEvent,
    ProcessFacts,
    Status,
)
from fescueseam.membership.peers import build_facts, build_peer
from fescueseam.membership.rendezvous import choose_keepers
from fescueseam.membership.reports import (
    MEMBERS_PREFIX,
    MergedReport,
    Report,
    ReportMerger,
    ReportVersionCounter,
    build_report_key,
    decode_report,
    encode_report,
    parse_report_key,
)
from fescueseam.messages.types import Announce, AnnounceAnswer, Body, Message, Peer
from fescueseam.routing.view import View
from fescueseam.upkeep.codec import TABLES_PREFIX
from fescueseam.versions.pages import pack_values
from fescueseam.versions.values import CONFIG_PREFIX, VersionedValue
from fescueseam_daemon.control.agent_node import build_suspects_value
from fescueseam_daemon.control.node import ControlNode, Keepers

MERGE_INTERVAL_S = 0.25
"""Interval between two merges of the reports of all keepers, in seconds."""
UNREPORTED_SUSPECT_TIMEOUT_S = 2.5
"""Time without any report after which a member of a table is suspected, in seconds."""
WRITER_RANKS = 3
"""Number of top-ranked balancers that may write the same table."""
WATCHERS_PER_DATA_CENTRE = 2
"""Number of balancers of a data centre that watch the store."""
PEERS_PER_ANSWER = 6
"""Largest number of peers listed in one answer, this balancer included."""
INITIAL_ANSWERS_WITH_PEERS = 2
"""Number of initial answers to a process that all list peers and suspects."""
ANSWERS_PER_PEER_LIST = 60
"""Number of answers per list of peers and suspects, after the initial answers."""
SUSPECTS_REPEAT_S = 3.0
"""Time during which every answer repeats changed suspects, in seconds.

The datagram that announced the change may have been lost.
"""


class BalancerNode(ControlNode):
    """The control decisions of a balancer.

    It tracks processes as a keeper, spreads values by gossip, and determines by rank which objects
    of the store it watches or writes.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: int,
        view: View,
        rng: random.Random,
        now: float,
    ) -> None:
        """Initialise a node that has heard no process."""
        super().__init__(settings, incarnation, view, rng, now)
        self.membership = Membership(now)
        self.merged_reports: dict[str, MergedReport] = {}
        self._version_counter = ReportVersionCounter(incarnation)
        self._report_merger = ReportMerger()
        self._merged_state: tuple[int, frozenset[str]] | None = None
        self._table_members: tuple[int, frozenset[str]] = (-1, frozenset())
        self._suspects_by_service: dict[str, VersionedValue] = {}
        self._suspects_sent_at: dict[str, float] = {}
        self._unreported_since: dict[str, float] = {}
        self._unreachable_since: dict[str, float] = {}
        self._last_merge_at = float("-inf")
        self._live_balancers: list[str] = []
        self._suspected_agents: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}

    # Ranks of this balancer

    def find_rank(self, key: str) -> int:
        """Return the number of live balancers ranked before this one for a key."""
        rank = self._ranks.get(key)
        if rank is None:
            ranked = choose_keepers(
                key, [*self._live_balancers, self.settings.name], len(self._live_balancers) + 1
            )
            rank = self._ranks[key] = ranked.index(self.settings.name)
        return rank

    def is_watcher(self) -> bool:
        """Return whether this balancer should watch the store."""
        return self._find_local_rank("watch") < WATCHERS_PER_DATA_CENTRE

    def is_directory_writer(self) -> bool:
        """Return whether this balancer writes the list of the processes of its data centre."""
        return self._find_local_rank("members") == 0

    def list_live_balancers(self) -> list[str]:
        """Return the names of the other balancers that are alive."""
        return self._live_balancers

    # Events

    def tick(self, now: float) -> list[Send]:
        """Return the messages that are due."""
        self._write_reports(self.membership.on_tick(now))
        sends: list[Send] = []
        if now - self._last_merge_at >= MERGE_INTERVAL_S:
            self._merge_reports(now)
            sends += self._send_suspects(now)
        for outgoing in self.gossip.tick(now, self._live_balancers):
            sends += self._send_to(outgoing.peer, outgoing.body)
        return [*sends, *super().tick(now)]

    def find_peer(self, name: str) -> Peer | None:
        """Return the peer with the name, also if it is known only from reports, or None."""
        known = self.peers.find(name)
        if known is not None:
            return known
        record = self.membership.records.get(name)
        if record is not None:
            return build_peer(record.facts)
        report = self.merged_reports.get(name)
        return build_peer(report.facts) if report is not None else None

    def _choose_keepers(self, now: float) -> Keepers:
        local_keepers = super()._choose_keepers(now)
        # A keeper in another data centre makes this data centre visible to the others.
        settings = self.settings
        others = [
            peer
            for peer in self.peers.list_responsive(now)
            if peer.data_centre != settings.data_centre
        ]
        remote = {peer.name: peer for peer in others if peer not in local_keepers.primary}
        chosen = choose_keepers(settings.name, remote, 1)
        return evolve(
            local_keepers, primary=(*local_keepers.primary, *(remote[name] for name in chosen))
        )

    def _on_announce(self, message: Message, body: Announce, now: float) -> list[Send]:
        facts = self._read_facts(message, body)
        peer = build_peer(facts)
        if facts.role is Role.BALANCER:
            self.peers.learn(peer)
            self.peers.record_heard(peer.name, now)
        announcement = Announcement(facts, body.heartbeat, message.config_version, message.epoch)
        self._write_reports(self.membership.on_announce(announcement, now))
        record = self.membership.records.get(facts.name)
        count = record.heartbeat_count if record is not None else 0
        includes_peers = count <= INITIAL_ANSWERS_WITH_PEERS or count % ANSWERS_PER_PEER_LIST == 0
        peers = (
            self._choose_peers(facts) if includes_peers or self._has_nearer_keepers(facts) else ()
        )
        bodies: list[Body] = [AnnounceAnswer(peers, body.heartbeat)]
        suspects = self._suspects_by_service.get(message.service)
        is_recent = (
            now - self._suspects_sent_at.get(message.service, float("-inf")) < SUSPECTS_REPEAT_S
        )
        if suspects is not None and (is_recent or includes_peers):
            bodies += pack_values([suspects])
        return [self._make_send(peer, answer, message.service) for answer in bodies]

    def _read_facts(self, message: Message, body: Announce) -> ProcessFacts:
        if body.role not in list(Role):
            raise MessageError(f"unknown role in an announcement: {body.role!r}")
        table = self.view.find_table(message.service) if message.service else None
        displaced = table is not None and any(
            extra.member == message.sender for extra in table.extras
        )
        return ProcessFacts(
            name=message.sender,
            role=Role(body.role),
            data_centre=body.data_centre,
            region=body.region,
            address=body.address,
            control_port=body.control_port,
            incarnation=message.incarnation,
            service=message.service,
            draining=body.draining,
            # The idle state changes often, and it only matters for members that leave a row of a
            # table, so other members are never reported idle.
            idle=body.open_flows == 0 and (body.draining or displaced),
            healthy=body.healthy,
            metrics_port=body.metrics_port,
        )

    def _has_nearer_keepers(self, facts: ProcessFacts) -> bool:
        """Return whether an agent of another data centre has live balancers in its own."""
        if facts.role is not Role.AGENT or facts.data_centre == self.settings.data_centre:
            return False
        return any(
            self.merged_reports[name].facts.data_centre == facts.data_centre
            for name in self._live_balancers
        )

    def _choose_peers(self, facts: ProcessFacts) -> tuple[Peer, ...]:
        live = [
            peer for name in self._live_balancers if (peer := self.peers.find(name)) is not None
        ]
        self.rng.shuffle(live)
        # Peers in the data centre of the announcing process come first.
        local = [peer for peer in live if peer.data_centre == facts.data_centre]
        remote = [peer for peer in live if peer.data_centre != facts.data_centre]
        chosen = [*local[: PEERS_PER_ANSWER - 2], *remote][: PEERS_PER_ANSWER - 1]
        return (build_peer(self.build_own_facts()), *chosen)

    # Reports

    def _write_reports(self, events: Iterable[MembershipEvent]) -> None:
        for event in events:
            if event.kind is EventKind.FORGOTTEN:
                self._delete_report(self._build_key(event.facts))
            else:
                self._write_report(event.facts.name)

    def _write_report(self, name: str) -> None:
        record = self.membership.records.get(name)
        if record is None:
            return
        key = self._build_key(record.facts)
        data = encode_report(Report(record.facts, record.status))
        self.gossip.put(
            VersionedValue(key, self._version_counter.take_next(), data, self.settings.name)
        )

    def _build_key(self, facts: ProcessFacts) -> str:
        return build_report_key(self.settings.data_centre, self.settings.name, facts)

    def _on_values_changed(self, values: Sequence[VersionedValue], now: float) -> None:
        for value in values:
            if not value.key.startswith(MEMBERS_PREFIX):
                continue
            try:
                self._accept_report(value)
            except MessageError:
                self.decode_failures += 1

    def _accept_report(self, value: VersionedValue) -> None:
        key = parse_report_key(value.key)
        if value.deleted:
            self._report_merger.drop(key.keeper, key.name)
            if key.keeper == self.settings.name and key.name in self.membership.records:
                # Another balancer deleted the report because it could not reach this keeper.
                self._version_counter.skip_past(value.version)
                self._write_report(key.name)
            return
        keeper_report = decode_report(value)
        self._report_merger.put(keeper_report)
        facts = keeper_report.report.facts
        if facts.role is Role.BALANCER and keeper_report.report.status is Status.ALIVE:
            self.peers.learn(build_peer(facts))
        is_own = keeper_report.keeper == self.settings.name
        if (
            is_own
            and value.version < self.incarnation
            and facts.name not in self.membership.records
        ):
            # An earlier incarnation of this keeper wrote the report, and this one has not heard
            # from the process.
            self._delete_report(value.key)

    def _delete_report(self, key: str) -> None:
        writer = self.settings.name
        self.gossip.put(
            VersionedValue(key, self._version_counter.take_next(), b"", writer, deleted=True)
        )

    def _delete_moved_reports(self) -> None:
        # A process that moved to other keepers sends no heartbeats here, and its silence does not
        # prove that it is dead. Its report is deleted once another keeper reports it alive.
        for name, record in list(self.membership.records.items()):
            report = self.merged_reports.get(name)
            if record.status is not Status.DEAD or report is None:
                continue
            if report.status is Status.ALIVE:
                del self.membership.records[name]
                self._delete_report(self._build_key(record.facts))

    def _delete_unreachable_reports(self, reachable: frozenset[str], now: float) -> None:
        # A replaced balancer never returns under its name, so the balancer ranked first for its
        # reports deletes them.
        unreachable = self._report_merger.list_keepers() - reachable
        self._unreachable_since = {
            name: self._unreachable_since.get(name, now) for name in unreachable
        }
        expired = {
            name for name, since in self._unreachable_since.items() if now - since > FORGET_AFTER_S
        }
        assigned = {name for name in expired if self.find_rank(f"reports/{name}") == 0}
        if not assigned:
            return
        for value in self.gossip.values.select(MEMBERS_PREFIX):
            if parse_report_key(value.key).keeper in assigned:
                writer = self.settings.name
                self.gossip.put(
                    VersionedValue(value.key, value.version + 1, b"", writer, deleted=True)
                )

    def _merge_reports(self, now: float) -> None:
        self._last_merge_at = now
        heard = [peer.name for peer in self.peers.list_recently_heard(now, DEAD_AFTER_S)]
        reachable = self._report_merger.find_reachable([self.settings.name, *heard])
        self._delete_unreachable_reports(reachable, now)
        state = self._report_merger.revision, reachable
        # The cost of a merge grows with the number of processes, so it runs only after a change.
        if state != self._merged_state:
            self._merged_state = state
            self.merged_reports = self._report_merger.merge(reachable)
            self._add_heard_peers(heard)
            self._update_live_balancers()
            self._delete_moved_reports()
        self.view.set_suspects(self._find_suspects(now))

    def _add_heard_peers(self, heard: Iterable[str]) -> None:
        for name in heard:
            peer = self.peers.find(name)
            known = self.merged_reports.get(name)
            if peer is not None and (known is None or known.status is not Status.ALIVE):
                self.merged_reports[name] = MergedReport(build_facts(peer), Status.ALIVE, 1)

    def _update_live_balancers(self) -> None:
        live = [
            name
            for name, report in self.merged_reports.items()
            if name != self.settings.name
            and report.facts.role is Role.BALANCER
            and report.status is Status.ALIVE
        ]
        if set(live) != set(self._live_balancers):
            # The ranks depend only on the set of live balancers.
            self._ranks.clear()
        self._live_balancers = live
        self._suspected_agents = frozenset(
            name
            for name, report in self.merged_reports.items()
            if report.status is not Status.ALIVE and report.facts.role is Role.AGENT
        )

    def _find_suspects(self, now: float) -> frozenset[str]:
        unreported = self._list_table_members() - self.merged_reports.keys()
        self._unreported_since = {
            name: self._unreported_since.get(name, now) for name in unreported
        }
        overdue = {
            name
            for name, since in self._unreported_since.items()
            if now - since >= UNREPORTED_SUSPECT_TIMEOUT_S
        }
        return self._suspected_agents | overdue

    def _list_table_members(self) -> frozenset[str]:
        revision, listed = self._table_members
        if revision != self.view.revision:
            tables = self.view.list_tables()
            listed = frozenset(member.name for table in tables for member in table.members)
            self._table_members = self.view.revision, listed
        return listed

    def _send_suspects(self, now: float) -> list[Send]:
        sends: list[Send] = []
        agents_by_service = self._group_agents_by_service()
        for service, agents in agents_by_service.items():
            table = self.view.find_table(service)
            members = {member.name for member in table.members} if table is not None else set()
            names = self.view.suspects & members
            current = self._suspects_by_service.get(service)
            value = build_suspects_value(self.settings.name, service, names, 0)
            if current is not None and current.value == value.value:
                continue
            if current is None and not names:
                continue
            value = build_suspects_value(
                self.settings.name, service, names, self._version_counter.take_next()
            )
            self._suspects_by_service[service] = value
            self._suspects_sent_at[service] = now
            sends += self._send_values([value], agents, service)
        return sends

    def _group_agents_by_service(self) -> dict[str, list[ProcessFacts]]:
        grouped: dict[str, list[ProcessFacts]] = {}
        for record in self.membership.records.values():
            if record.facts.role is Role.AGENT and record.status is Status.ALIVE:
                grouped.setdefault(record.facts.service, []).append(record.facts)
        return grouped

    # Messages

    def _push(self, hot: Sequence[VersionedValue], now: float) -> list[Send]:
        sends: list[Send] = []
        for outgoing in self.gossip.push(hot, self.list_live_balancers()):
            sends += self._send_to(outgoing.peer, outgoing.body)
        for service, agents in self._group_agents_by_service().items():
            relevant = [
                value
                for value in hot
                if value.key.startswith(CONFIG_PREFIX) or value.key == TABLES_PREFIX + service
            ]
            sends += self._send_values(relevant, agents, service)
        return sends

    def _send_values(
        self, values: Sequence[VersionedValue], agents: Iterable[ProcessFacts], service: str
    ) -> list[Send]:
        bodies = pack_values(values)
        return [
            self._make_send(build_peer(facts), body, service) for facts in agents for body in bodies
        ]

    def _send_to(self, name: str, body: Body) -> list[Send]:
        peer = self.find_peer(name)
        return [self._make_send(peer, body)] if peer is not None else []

    def _find_local_rank(self, purpose: str) -> int:
        settings = self.settings
        local = [
            name
            for name in self.list_live_balancers()
            if self.merged_reports[name].facts.data_centre == settings.data_centre
        ]
        ranked = choose_keepers(
            f"{purpose}/{settings.data_centre}", [*local, settings.name], len(local) + 1
        )
        return ranked.index(settings.name)
