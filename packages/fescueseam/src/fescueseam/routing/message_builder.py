"""Messages to the members of a service."""

from attrs import define

from fescueseam.effects import Effects, Send
from fescueseam.messages import types
from fescueseam.routing.table import Member
from fescueseam.routing.view import View


@define
class MessageBuilder:
    """Builds the messages of one process to the members of one service."""

    name: str
    incarnation: int
    service: str
    view: View

    def find_member(self, name: str) -> Member | None:
        """Return the member of that name in the newest table, or None."""
        table = self.view.find_table(self.service)
        members = table.members if table is not None else ()
        return next((member for member in members if member.name == name), None)

    def build_send(self, member: Member, body: types.Body, class_name: str = "") -> Send:
        """Return an effect that sends a message to a member."""
        table = self.view.find_table(self.service)
        message = types.Message(
            self.name,
            self.incarnation,
            body,
            target=member.name,
            service=self.service,
            class_name=class_name,
            epoch=table.epoch if table is not None else 0,
            config_version=self.view.cfg.version,
        )
        return Send(member.address, member.control_port, message)

    def build_send_by_name(self, name: str, body: types.Body, class_name: str = "") -> Effects:
        """Return the effects that send a message to a member; none if no table lists it."""
        member = self.find_member(name)
        return [self.build_send(member, body, class_name)] if member is not None else []
