"""Log lines for changes in the state of instances."""

from collections import abc

from foxtailworks import discovery
from foxtailworks import logs

_EVENTS = logs.Events("coordinator")


def log(changes: abc.Iterable[discovery.ListedInstance]) -> None:
    """Log the new state of each changed instance."""
    for item in changes:
        _EVENTS.info(
            "instance_changed",
            upstream=item.instance.instance,
            born=item.instance.incarnation,
            service=item.instance.service,
            address=item.instance.address,
            state=item.instance.state.name.lower(),
            live=item.is_live,
            sequence=item.instance.sequence,
        )
