"""Services by address and key, from the contracts in force."""

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
    """A service with the address and key that route packets to it."""

    key: ids.ServiceId
    """Key that is unique among all customers' services."""
    customer: ids.CustomerId
    """Customer that owns the service."""
    service: contracts.Service
    """Definition in the contract in force."""
    address: ids.Address
    """Address to which callers send."""

    def class_of(self, req: coap.Request) -> contracts.RequestClass:
        """Return the class with the longest matching path prefix."""
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
    """Routes by address and by key; rebuilt for each version."""

    def __init__(self) -> None:
        self._by_address: dict[ids.Address, Route] = {}
        self._by_key: dict[ids.ServiceId, Route] = {}
        self._last_readable: dict[ids.CustomerId, contracts.Contract] = {}

    def set_documents(
        self, documents: abc.Iterable[contracts.VersionedContract]
    ) -> tuple[errors.FoxtailError, ...]:
        """Replace all contracts by those in documents.

        If a document can't be parsed (keepers may be newer during an
        upgrade), the customer's last readable contract stays in force.

        :returns: errors of the documents that couldn't be parsed
        """
        readable: dict[ids.CustomerId, contracts.Contract] = {}
        faults = []
        for item in documents:
            try:
                contract = contracts.parse_contract(item.document)
            except errors.FoxtailError as exc:
                exc.context["customer"] = item.customer
                faults.append(exc)
                last = self._last_readable.get(item.customer)
                if last is None:
                    continue
                contract = last
            readable[item.customer] = contract
        self._last_readable = readable
        self.set_contracts(readable.values())
        return tuple(faults)

    def set_contracts(self, items: abc.Iterable[contracts.Contract]) -> None:
        """Replace the routes by those of the contracts in force."""
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

    def find_by_address(self, address: ids.Address) -> Route | None:
        """Return the service at ``address``, or ``None``."""
        return self._by_address.get(address)

    def get(self, key: ids.ServiceId) -> Route | None:
        """Return the service with the key, or ``None``."""
        return self._by_key.get(key)

    def all(self) -> tuple[Route, ...]:
        """Return the routes of all services."""
        return tuple(self._by_key.values())
