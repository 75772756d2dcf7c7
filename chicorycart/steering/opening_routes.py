"""Keeps flows that no host has accepted yet on the routes in force."""

from chicorycart.packets.segment import Segment
from chicorycart.steering.flows import SteeredFlow
from chicorycart.steering.output import SteererOutput
from chicorycart.steering.routes import Route


class OpeningRoutes:
    """Gives opening flows the service and service level of their route.

    A flow stays with the service whose host accepted it, but until then no
    version of the configuration binds it. So its route is looked up whenever
    its opening packet is offered, also if it waited or was returned.

    Parameters
    ----------
    output : SteererOutput
        Knows the routes in force, and resets flows.
    """

    __slots__ = ("output",)

    def __init__(self, output: SteererOutput):
        self.output = output

    def find(self, segment: Segment) -> Route | None:
        """Return the route in force of a packet's entry, if it has one."""
        routes = self.output.follower.routes.current
        return routes.by_entry.get(segment.entry)

    def is_followed(self, state: SteeredFlow, segment: Segment) -> bool:
        """Tell whether a flow has the service that its route gives it now."""
        route = self.find(segment)
        return (
            route is not None
            and route.choose_service(state.flow) == state.service
        )

    def update(self, state: SteeredFlow, segment: Segment) -> bool:
        """Give an opening flow what its route in force says.

        A flow whose route was dropped is reset.

        Returns
        -------
        bool
            Whether the flow has a route.
        """
        route = self.find(segment)
        if route is None:
            self.output.reset_flow(segment, "no route")
            return False
        state.level = route.level
        service = route.choose_service(state.flow)
        if service != state.service:
            self.output.record(
                "flow_rerouted",
                state.flow,
                "service={} before={}",
                service,
                state.service,
            )
            state.change_service(service)
        return True
