"""Tests of UDP sockets on loopback."""

import asyncio

import pytest
import uvloop

from foxtailworks import ids
from foxtailworks import udp
from foxtailworks import warmstart

IP = "127.0.0.1"
RUNNERS = (asyncio.run, uvloop.run)


@pytest.mark.parametrize("run", RUNNERS)
def test_an_address_of_another_family_is_counted_and_raises_nothing(run):
    async def send():
        async with udp.open_socket(IP, 0, lambda data, src: None) as sock:
            sock.send(b"x", ids.Address("::1", 9))
            await asyncio.sleep(0.01)
            return sock.error_count

    assert run(send()) == 1


@pytest.mark.parametrize("run", RUNNERS)
def test_a_socket_bound_before_keeps_what_waits_in_it(run):
    async def receive():
        early = warmstart.bind(IP, 0)
        at = ids.Address(*early.getsockname())
        with warmstart.bind(IP, 0) as peer:
            peer.sendto(b"waits", early.getsockname())
            fut = asyncio.get_running_loop().create_future()
            async with udp.open_socket(
                at.ip, at.port, lambda data, src: fut.set_result(data), early
            ):
                return await asyncio.wait_for(fut, 5)

    assert run(receive()) == b"waits"
