"""Define the messages between processes as typed values."""

from attrs import field, frozen

from fescueseam.flows.keys import FlowKey


@frozen
class Load:
    """Load of a backend server, with the limits up to which it accepts flows."""

    busy: int = 0
    slots: int = 0
    connections: int = 0
    connection_bound: int = 0
    utilisation: float = 0.0
    """Share of slots that are busy, averaged over the last seconds."""


@frozen
class Carry:
    """A packet forwarded to the recorder of its flow, or by the recorder to the flow's home."""

    packet: bytes = field(repr=False)
    homed: bool = False
    """Whether the sender is a recorder that takes the receiver for the flow's home."""


@frozen
class Place:
    """An offer of an opening packet to a candidate."""

    attempt: int
    packet: bytes = field(repr=False)
    age_s: float = 0.0
    """Time that the opening has waited at the recorder, in seconds."""


@frozen
class Placed:
    """Notice to the recorder that the sender has delivered the opening."""

    attempt: int
    flow: FlowKey
    load: Load = Load()


@frozen
class Full:
    """Notice to the recorder that the sender has not delivered the opening and will not."""

    attempt: int
    flow: FlowKey
    load: Load = Load()
    known: bool = False
    """Whether the sender is a recorder too, and is placing the flow or knows its home."""


@frozen
class NotHere:
    """A packet returned to the recorder because the sender does not hold its flow."""

    flow: FlowKey
    packet: bytes = field(default=b"", repr=False)


@frozen
class Ask:
    """A question whether a member holds a flow, with a request for the right to place it."""

    flow: FlowKey
    claim: int = 0
    """Number of the recorder's claim; 0 asks for no right."""


@frozen
class AskAnswer:
    """Answer to an Ask."""

    flow: FlowKey
    holds: bool = False
    granted: bool = False
    claim: int = 0
    """Number of the claim in the Ask that is answered."""
    barred: bool = False
    """Whether the sender rejected the flow for another recorder, or refused it as a recorder."""


@frozen
class Release:
    """Return of the right to place a flow that was not delivered."""

    flow: FlowKey
    claim: int = 0


@frozen
class Free:
    """Notice that the sender has room again, sent to a recorder whose offer it rejected."""

    load: Load


@frozen
class Announce:
    """Facts and load of a process, sent to its keepers with an increasing heartbeat."""

    role: str
    data_centre: str
    region: str
    address: str
    control_port: int
    metrics_port: int
    heartbeat: int
    draining: bool = False
    open_flows: int = 0
    healthy: bool = True
    load: Load = Load()


@frozen
class Peer:
    """Identity and address of a process, as sent to other processes."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    control_port: int
    incarnation: int


@frozen
class AnnounceAnswer:
    """Answer to an announcement, with peers that the receiver needs to know."""

    peers: tuple[Peer, ...] = ()
    heartbeat: int = 0
    """Heartbeat that is answered; the lease runs from the time when it was sent."""


@frozen
class GossipDigest:
    """Summary of the sender's values: one hash for each group of keys."""

    groups: tuple[int, ...]
    reply: bool = False


@frozen
class KeyVersion:
    """Version of one key that the sender holds."""

    key_hash: int
    version: int


@frozen
class GossipKeys:
    """Versions of one group of keys; a reply only requests the receiver's newer values."""

    group: int
    entries: tuple[KeyVersion, ...]
    reply: bool = False


@frozen
class Value:
    """One versioned value, or one page of it."""

    key: str
    version: int
    writer: str
    data: bytes = field(repr=False)
    page: int = 0
    pages: int = 1
    deleted: bool = False


@frozen
class GossipValues:
    """A batch of versioned values."""

    values: tuple[Value, ...]
    partial: bool = False


Body = (
    Carry
    | Place
    | Placed
    | Full
    | NotHere
    | Ask
    | AskAnswer
    | Release
    | Free
    | Announce
    | AnnounceAnswer
    | GossipDigest
    | GossipValues
    | GossipKeys
)


@frozen
class Message:
    """A body with the fields that all messages have."""

    sender: str
    incarnation: int
    body: Body
    sequence: int = 0
    """Number set by the transport; a receiver accepts each number once."""
    target: str = ""
    service: str = ""
    class_name: str = ""
    epoch: int = 0
    config_version: int = 0


@frozen(eq=False)
class NextHop:
    """Destination for the packets of one bucket and class, with the message that carries them."""

    address: str
    port: int
    message: Message
    """A Carry message with an empty packet."""
