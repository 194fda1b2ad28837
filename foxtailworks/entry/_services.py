"""Which service an address belongs to, from the contracts in force."""

from collections import abc
import dataclasses

from foxtailworks import coap
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids

_DEFAULT_CLASS = contracts.RequestClass(name="other")


def service_key(
    customer: ids.CustomerId, name: ids.ServiceId
) -> ids.ServiceId:
    """Return the id of a service among all customers' services."""
    return ids.ServiceId(f"{customer}/{name}")


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A service as the path of packets needs it."""

    key: ids.ServiceId
    """Unique among all customers' services."""
    customer: ids.CustomerId
    """Whose service it is."""
    service: contracts.Service
    """As the contract in force has it."""
    address: ids.Address
    """Where callers send to."""

    def class_of(self, req: coap.Request) -> contracts.RequestClass:
        """Return the class with the longest prefix that matches."""
        found = [
            item
            for item in self.service.classes
            if req.method.name in item.methods
            and req.path.startswith(item.path_prefix)
        ]
        return max(
            found,
            key=lambda item: len(item.path_prefix),
            default=_DEFAULT_CLASS,
        )


class ServiceIndex:
    """Routes by address and by key; replaced whole with each version."""

    def __init__(self) -> None:
        self._by_address: dict[ids.Address, Route] = {}
        self._by_key: dict[ids.ServiceId, Route] = {}
        self._readable: dict[ids.CustomerId, contracts.Contract] = {}

    def set_texts(
        self, texts: abc.Iterable[contracts.VersionedContract]
    ) -> tuple[errors.FoxtailError, ...]:
        """Take in the texts of all contracts in force.

        A text that this program can't read (keepers may be newer during an
        upgrade) leaves the customer's last readable contract in force.

        :returns: why texts couldn't be read
        """
        readable: dict[ids.CustomerId, contracts.Contract] = {}
        faults = []
        for item in texts:
            try:
                contract = contracts.parse_contract(item.document)
            except errors.FoxtailError as exc:
                exc.context["customer"] = item.customer
                faults.append(exc)
                last = self._readable.get(item.customer)
                if last is None:
                    continue
                contract = last
            readable[item.customer] = contract
        self._readable = readable
        self.set_contracts(readable.values())
        return tuple(faults)

    def set_contracts(self, items: abc.Iterable[contracts.Contract]) -> None:
        """Take in all contracts in force."""
        routes = [
            Route(
                service_key(contract.customer, service.name),
                contract.customer,
                service,
                service.parsed_address(),
            )
            for contract in items
            for service in contract.services
        ]
        self._by_address = {item.address: item for item in routes}
        self._by_key = {item.key: item for item in routes}

    def at(self, address: ids.Address) -> Route | None:
        """Return the service at ``address``."""
        return self._by_address.get(address)

    def get(self, key: ids.ServiceId) -> Route | None:
        """Return the service called ``key``."""
        return self._by_key.get(key)

    def all(self) -> tuple[Route, ...]:
        """Return every service."""
        return tuple(self._by_key.values())
