"""Pages that only an agent serves on its control address."""

from typing import Protocol

from tornado.web import RequestHandler
from tornado.web import URLSpec

from chicorycart.packets.errors import PacketError
from chicorycart.packets.names import parse_flow

BAD_REQUEST = 400


class OwnedFlows(Protocol):
    """Knows which flows the agent owns."""

    def owns(self, flow: bytes) -> bool:
        """Tell whether the agent owns a flow."""


class FlowHandler(RequestHandler):
    """Tells whether the agent owns a flow."""

    def initialize(self, target: str, flows: OwnedFlows) -> None:
        """Take the name of the target and its flows."""
        self.target = target
        self.flows = flows

    def get(self) -> None:
        """Answer ``GET /flows?flow=PROTOCOL:SOURCE>DESTINATION``."""
        try:
            flow = parse_flow(self.get_query_argument("flow")).encode()
        except PacketError as error:
            self.set_status(BAD_REQUEST)
            self.write({"error": str(error)})
            return
        self.write({"target": self.target, "owned": self.flows.owns(flow)})


def list_pages(target: str, flows: OwnedFlows) -> list[URLSpec]:
    """Return the routes of an agent's own pages."""
    arguments = {"target": target, "flows": flows}
    return [URLSpec("/flows", FlowHandler, arguments)]
