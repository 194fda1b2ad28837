"""Tests of links: requests, malformed messages, handshakes and TLS.

A link delivers complete messages or fails with a numbered error.
"""

import asyncio
import dataclasses
import io

import hypothesis
from hypothesis import strategies as st
import pytest
import trustme
import uvloop
from websockets.asyncio import client

from foxtailworks import errors
from foxtailworks import links
from foxtailworks.links.tests import addresses
from foxtailworks import observe
from foxtailworks import settings
from foxtailworks import wire

FUZZ = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, database=None
)
Counter = observe.Counter


@dataclasses.dataclass(frozen=True)
class Text:
    """A message that the tests send."""

    text: str


CODEC = wire.Codec({1: Text})


@pytest.fixture
def address():
    return addresses.free_address()


async def echo(link):
    async for msg in link:
        if msg.text == "fault":
            raise RuntimeError("deliberate")
        if msg.text != "silence":
            await link.send(msg)


async def request_text(address, text, **kwargs):
    async with links.dial(address, CODEC, **kwargs) as link:
        return (await link.request(Text(text), timeout_s=5)).text


async def error_code(awaitable):
    with pytest.raises(errors.FoxtailError) as info:
        await awaitable
    return info.value.code


def run(scenario, *args):
    uvloop.run(asyncio.wait_for(scenario(*args), 20))


def test_request_and_answer_and_many_links(address):
    async def scenario():
        async with links.serve(address, CODEC, echo, max_links=3):
            texts = [f"{n}" * 1000 for n in range(3)]
            answers = await asyncio.gather(
                *(request_text(address, t) for t in texts)
            )
            assert answers == texts
            async with (
                links.dial(address, CODEC),
                links.dial(address, CODEC),
                links.dial(address, CODEC),
            ):
                code = await error_code(request_text(address, "x"))
                assert code is errors.Code.LINK_REFUSED

    run(scenario)


def test_a_late_answer_is_never_taken_for_another(address):
    async def scenario():
        async with links.serve(address, CODEC, echo):
            async with links.dial(address, CODEC) as link:
                code = await error_code(link.request(Text("silence"), 0.01))
                assert code is errors.Code.LINK_LOST
                code = await error_code(link.request(Text("next"), 5))
                assert code is errors.Code.LINK_LOST
        assert (
            await error_code(request_text(address, "x"))
            is errors.Code.LINK_LOST
        )

    run(scenario)


def test_a_fault_of_a_handler_ends_only_its_link(address):
    async def scenario():
        metrics = observe.Metrics()
        async with links.serve(address, CODEC, echo, metrics=metrics):
            code = await error_code(request_text(address, "fault"))
            assert code is errors.Code.LINK_LOST
            assert await request_text(address, "on") == "on"
        assert metrics.total(Counter.LINKS_FAILED) == 1

    run(scenario)


async def send_raw(address, data):
    async with client.connect(f"ws://{address}", proxy=None) as conn:
        await conn.send(data)
        await conn.wait_closed()
        return conn.close_code


def test_oversized_messages_are_refused_on_both_sides(address):
    async def scenario():
        metrics = observe.Metrics()
        async with links.serve(address, CODEC, echo, metrics=metrics):
            assert await send_raw(address, b"\0" * (2 << 20)) == 1009
            code = await error_code(request_text(address, "x" * (2 << 20)))
            assert code is errors.Code.MESSAGE_TOO_LARGE
        assert metrics.total(Counter.LINKS_MALFORMED) == 1

    run(scenario)


@FUZZ
@hypothesis.given(st.binary(max_size=64) | st.text(max_size=64))
def test_malformed_messages_are_counted_and_close_the_link(data):
    async def scenario():
        address, metrics = addresses.free_address(), observe.Metrics()
        async with links.serve(address, CODEC, echo, metrics=metrics):
            assert await send_raw(address, data) == 1008
            assert await request_text(address, "on") == "on"
        assert metrics.total(Counter.LINKS_MALFORMED) == 1

    run(scenario)


@FUZZ
@hypothesis.given(st.binary(max_size=200))
def test_hostile_bytes_instead_of_a_handshake(data):
    async def scenario():
        address = addresses.free_address()
        async with links.serve(address, CODEC, echo):
            _, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(data)
            writer.write_eof()
            assert await request_text(address, "on") == "on"
            writer.close()

    run(scenario)


@FUZZ
@hypothesis.given(st.binary(max_size=200))
def test_hostile_bytes_from_the_listening_side(data):
    async def answer(reader, writer):
        writer.write(data)
        writer.close()

    async def scenario():
        address = addresses.free_address()
        async with await asyncio.start_server(
            answer, address.ip, address.port
        ):
            code = await error_code(request_text(address, "x"))
            assert code in (
                errors.Code.LINK_REFUSED,
                errors.Code.LINK_LOST,
            )

    run(scenario)


@pytest.fixture
def make_tls(tmp_path, address):
    """Return a function that creates certificates and their settings."""
    authorities = {name: trustme.CA() for name in ("ours", "foreign")}

    def make(signed_by, trusts="ours", name=address.ip):
        folder = tmp_path / f"{signed_by}-{trusts}-{name}"
        folder.mkdir()
        cert = authorities[signed_by].issue_cert(name)
        tls = settings.Tls(*(folder / n for n in ("cert", "key", "ca")))
        cert.private_key_pem.write_to_path(tls.key)
        for blob in cert.cert_chain_pems:
            blob.write_to_path(tls.certificate, append=True)
        authorities[trusts].cert_pem.write_to_path(tls.authority)
        return tls

    return make


def test_only_the_right_certificates_are_linked(address, make_tls):
    refused = errors.Code.LINK_REFUSED
    log = io.StringIO()

    async def scenario():
        metrics = observe.Metrics()
        ours, foreign = make_tls("ours"), make_tls("foreign")
        async with links.serve(address, CODEC, echo, ours, metrics):
            assert await request_text(address, "on", tls=ours) == "on"
            for wrong in (foreign, make_tls("ours", trusts="foreign"), None):
                assert (
                    await error_code(request_text(address, "x", tls=wrong))
                    is refused
                )
            assert await request_text(address, "on", tls=ours) == "on"
        # A client that does not trust the server aborts the handshake: the
        # server counts only the other two.
        assert metrics.total(Counter.LINKS_REFUSED) == 2
        assert metrics.total(Counter.LINKS_ACCEPTED) == 2

    with observe.logging_to(log, "info"):
        run(scenario)
    lines = log.getvalue().splitlines()
    assert sum("event=link_refused code=2003" in n for n in lines) == 2


def test_a_server_under_another_address_is_refused(address, make_tls):
    async def scenario():
        other = make_tls("ours", name="127.0.0.2")
        async with links.serve(address, CODEC, echo, other):
            code = await error_code(
                request_text(address, "x", tls=make_tls("ours"))
            )
            assert code is errors.Code.LINK_REFUSED

    run(scenario)


def test_one_side_without_tls_is_refused(address, make_tls):
    async def scenario():
        async with links.serve(address, CODEC, echo):
            code = await error_code(
                request_text(address, "x", tls=make_tls("ours"))
            )
            assert code is errors.Code.LINK_REFUSED

    run(scenario)


def test_unusable_certificate_files_are_named(address, make_tls):
    tls = make_tls("ours")
    tls.key.write_text("not a key")
    code = asyncio.run(error_code(request_text(address, "x", tls=tls)))
    assert code is errors.Code.SETTINGS_INVALID
