"""``explain`` prints all lines that mention an id, from several files."""

from typer import testing

from foxtailworks.ctl import _app
from foxtailworks.ctl import _explain

EDGE = """\
time=2026-01-01T00:00:02.000Z level=info part=flows event=flow_ended \
flow=100.64.0.7:40001>198.18.0.1:443 upstream=i-1 ending=silent
time=2026-01-01T00:00:01.000Z level=info part=flows event=flow_placed \
flow=100.64.0.7:40001>198.18.0.1:443 upstream=i-1 revision=9
time=2026-01-01T00:00:01.000Z level=info part=flows event=flow_placed \
flow=100.64.0.7:400011>198.18.0.1:443 upstream=i-2 revision=9
noise without a time
"""
COORDINATOR = """\
time=2026-01-01T00:00:01.500Z level=info part=coordinator \
event=instance_changed upstream=i-1
"""


def run(tmp_path, *arguments):
    (tmp_path / "edge.log").write_text(EDGE)
    (tmp_path / "core.log").write_text(COORDINATOR)
    files = [str(tmp_path / name) for name in ("edge.log", "core.log")]
    return testing.CliRunner().invoke(
        _app.app, ["explain", *arguments, *files]
    )


def test_a_callers_address_finds_its_flow_and_the_upstreams_lines(tmp_path):
    found = run(tmp_path, "100.64.0.7:40001").stdout.splitlines()
    assert "event=flow_placed" in found[0] and "event=flow_ended" in found[1]
    assert found[2] == "-- upstream i-1"
    assert "instance_changed" in found[3]
    assert len(found) == 4


def test_an_unknown_id_gives_exit_code_1(tmp_path):
    assert run(tmp_path, "100.64.0.9:1").exit_code == 1


def test_a_longer_number_is_another_id():
    assert not list(
        _explain.matching_lines(EDGE.splitlines(), "100.64.0.7:4000")
    )
