"""Define the messages between processes as typed values."""

from attrs import field, frozen

from fescueseam.flows.keys import FlowKey


@frozen
class Load:
    """Report what a backend server bears and may bear."""

    busy: int = 0
    slots: int = 0
    connections: int = 0
    connection_bound: int = 0
    utilisation: float = 0.0
    """Busy slots over all slots, averaged over the last seconds."""


@frozen
class Carry:
    """Carry a packet to the recorder of its flow, or on to the flow's home."""

    packet: bytes = field(repr=False)
    homed: bool = False
    """Tell that the sender, a recorder, holds the receiver for the flow's home."""


@frozen
class Place:
    """Offer an opening packet to a candidate."""

    attempt: int
    packet: bytes = field(repr=False)
    age_s: float = 0.0
    """Tell how long the opening has waited, in seconds."""


@frozen
class Placed:
    """Tell the recorder that the opening was delivered here."""

    attempt: int
    flow: FlowKey
    load: Load = Load()


@frozen
class Full:
    """Tell the recorder that the opening was not and will not be delivered here."""

    attempt: int
    flow: FlowKey
    load: Load = Load()
    known: bool = False
    """Tell that the sender, as another recorder, places the flow or knows its home."""


@frozen
class NotHere:
    """Give the recorder back a packet whose flow is not held here."""

    flow: FlowKey
    packet: bytes = field(default=b"", repr=False)


@frozen
class Ask:
    """Ask a member whether it holds a flow, and for the right to place it."""

    flow: FlowKey
    claim: int = 0
    """Number the recorder's claim; zero asks for no right."""


@frozen
class AskAnswer:
    """Answer an ask."""

    flow: FlowKey
    holds: bool = False
    granted: bool = False
    claim: int = 0
    """Repeat the number of the claim that is answered."""
    barred: bool = False
    """Tell that another recorder was turned down here or has refused the flow."""


@frozen
class Release:
    """Give back the right to place a flow that was not delivered."""

    flow: FlowKey
    claim: int = 0


@frozen
class Free:
    """Tell a recorder that was turned down that there is room again."""

    load: Load


@frozen
class Announce:
    """Announce a process to its keepers; the heartbeat counts up."""

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
    """Describe a process to another one."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    control_port: int
    incarnation: int


@frozen
class AnnounceAnswer:
    """Answer an announcement with peers worth knowing."""

    peers: tuple[Peer, ...] = ()
    heartbeat: int = 0
    """Repeat the heartbeat that is answered, so that the lease runs from its sending."""


@frozen
class GossipDigest:
    """Summarise the sender's values, one hash for each group of keys."""

    groups: tuple[int, ...]
    reply: bool = False


@frozen
class KeyVersion:
    """Name the version that the sender holds of one key."""

    key_hash: int
    version: int


@frozen
class GossipKeys:
    """List the versions of one group of keys; a reply only asks for what is newer."""

    group: int
    entries: tuple[KeyVersion, ...]
    reply: bool = False


@frozen
class Value:
    """Carry one versioned value, or one page of it."""

    key: str
    version: int
    writer: str
    data: bytes = field(repr=False)
    page: int = 0
    pages: int = 1
    deleted: bool = False


@frozen
class GossipValues:
    """Carry versioned values."""

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
    """Hold a body with what every message names."""

    sender: str
    incarnation: int
    body: Body
    sequence: int = 0
    """Number set by the transport; the receiver takes each number once."""
    target: str = ""
    service: str = ""
    class_name: str = ""
    epoch: int = 0
    config_version: int = 0


@frozen(eq=False)
class NextHop:
    """Hold where the packets of one bucket and class go, and the message that carries them."""

    address: str
    port: int
    message: Message
    """Hold a carry without its packet."""
