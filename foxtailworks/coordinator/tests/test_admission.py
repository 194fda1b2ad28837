"""Coordinators count the instances of services that the document names."""

from foxtailworks.coordinator.tests import test_promises
from foxtailworks.coordinator.tests import world
from foxtailworks.discovery.tests import making
from foxtailworks import ids


def start():
    return test_promises.start_cluster(names_all_services=False)


def announce(cluster, number, instance):
    program = cluster.hosts[world.address(number)].program
    program.registry.announce(instance, cluster.now)


def states(cluster):
    """Return the states of instances in each running coordinator."""
    return [
        {
            str(item.instance.instance): item.instance.state
            for item in host.program.registry.listed()
        }
        for host in cluster.running()
    ]


def test_instances_that_started_before_the_first_document_count_after_it():
    cluster = start()
    announce(cluster, 1, making.instance())
    cluster.run(0.5)
    assert states(cluster) == [{}] * 3
    assert test_promises.put(cluster, 7) is True
    cluster.run(1.0)
    assert states(cluster) == [{"i-1": making.READY}] * 3


def test_a_heartbeat_for_an_unnamed_service_ends_no_instance_anywhere():
    # Guards against the end of a live instance by another writer's heartbeat,
    # also at a coordinator that has just restarted or lost its disk.
    cluster = start()
    assert test_promises.put(cluster, 7) is True
    for number in (1, 2):
        cluster.stop(number)
        if number == 2:
            cluster.wipe(number)
        cluster.start(number)
        foreign = making.instance(
            f"i-9{number}", 200, service=ids.ServiceId("in-no-document")
        )
        announce(cluster, number, foreign)
        announce(cluster, 3, making.instance(sequence=cluster.now))
        cluster.run(2.0)
        announce(cluster, number, foreign)
        announce(cluster, 3, making.instance(sequence=cluster.now))
        cluster.run(2.0)
        assert states(cluster) == [{"i-1": making.READY}] * 3
