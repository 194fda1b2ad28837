"""Log lines for what is believed of instances from now on."""

from collections import abc

from foxtailworks import discovery
from foxtailworks import logs

_EVENTS = logs.Events("coordinator")


def log(news: abc.Iterable[discovery.ListedInstance]) -> None:
    """Log each change of an instance."""
    for item in news:
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
