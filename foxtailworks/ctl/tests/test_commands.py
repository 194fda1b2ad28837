"""Each command prints tables or JSON and exits with its exit code."""

import contextlib
import io
import json

import hypothesis
from hypothesis import strategies as st
import pytest
from typer import testing

from foxtailworks import contracts
from foxtailworks import ctl
from foxtailworks.ctl import _app
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _show
from foxtailworks.ctl.tests import standins
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.links.tests import addresses

CONTRACT = '{customer: "balans", /* by phone */ services: []}'
NEWER = """{customer: "balans", services: [
  {name: "slot-desk", kind: "request", address: "127.2.0.9:7000"}]}"""


class Cli:
    """Runs foxtailctl against fake keepers and entry hosts."""

    def __init__(self, folder):
        self.group = standins.Group()
        self.hosts = (standins.Host("sofia-1"), standins.Host("sofia-2"))
        self.keeper_address = addresses.free_address()
        self.addresses = [addresses.free_address() for _ in self.hosts]
        self.folder = folder
        self.settings = folder / "foxtailctl.json"
        self.configure(self.addresses)

    def configure(self, entries):
        cfg = {
            "keepers": [str(self.keeper_address)],
            "entries": [str(address) for address in entries],
            "timeout_s": 2,
        }
        self.settings.write_text(json.dumps(cfg))

    def served(self):
        keeper = standins.replying(lambda msg: self.group.answer(msg))
        yield self.keeper_address, standins.KEEPER_CODEC, keeper
        for address, host in zip(self.addresses, self.hosts, strict=True):
            handler = standins.replying(host.answer)
            yield address, standins.HOST_CODEC, handler

    def run(self, *args):
        options = ["--settings", str(self.settings), "--patience", "0"]
        return testing.CliRunner().invoke(_app.app, [*options, *args])

    def json(self, *args):
        result = self.run(*args, "--json")
        return result.exit_code, json.loads(result.stdout)

    def put(self, text, *args):
        path = self.folder / "balans.json"
        path.write_text(text)
        return self.json("contract", "put", str(path), *args)


@pytest.fixture
def cli(tmp_path):
    made = Cli(tmp_path)
    with standins.in_thread(*made.served()):
        yield made


def test_contracts_from_put_to_rollback(cli):
    code, first = cli.put(CONTRACT, "--edit-id", "e1")
    assert (code, first["code"], first["version"]) == (0, 0, 1)
    assert cli.put(CONTRACT, "--edit-id", "e1") == (0, first)
    code, rejected = cli.put(NEWER)
    assert code == ctl.Exit.CONFLICT
    assert rejected["result"] == "VERSION_CONFLICT"
    assert rejected["context"]["current_version"] == "1"
    code, second = cli.put(NEWER, "--base", "1", "--wait-in-force", "1")
    assert second["in_force"]["unreachable"] == ["sofia-9"]
    assert cli.run("contract", "get", "balans").stdout.strip() == NEWER
    assert "e1" in cli.run("contract", "history", "balans").stdout
    diff = cli.run("contract", "diff", "balans", "--from", "1")
    assert "-" + CONTRACT in diff.stdout
    version = str(second["version"])
    code, back = cli.json(
        "contract", "rollback", "balans", "1", "--base", version
    )
    assert code == 0
    code, got = cli.json("contract", "get", "balans")
    assert got["document"] == CONTRACT
    assert got["version"] == back["version"]
    code, listed = cli.json("contract", "list")
    assert listed["lines"][0]["version"] == back["version"]


def test_a_lagging_host_is_named(cli):
    cli.group.lagging = (ids.HostId("sofia-7"),)
    code, report = cli.put(CONTRACT, "--wait-in-force", "1")
    assert (code, report["result"]) == (ctl.Exit.PARTLY, "NOT_IN_FORCE")
    assert report["version"] == 1
    assert report["in_force"]["lagging"] == ["sofia-7"]


def test_an_invalid_contract_is_not_sent(cli):
    code, report = cli.put('{customer: "balans", service: []}')
    assert (code, report["result"]) == (ctl.Exit.INVALID, "CONTRACT_INVALID")
    assert "service" in report["detail"]
    assert cli.group.catalogue.index == 0


def test_a_lost_edit_names_the_command_that_resends_it(cli):
    cli.group.answer = lambda msg: contracts.Refused(
        msg.ask, errors.Code.EDIT_UNKNOWN.value, "lost the lead", None
    )
    code, report = cli.put(CONTRACT, "--edit-id", "e7")
    assert (code, report["result"]) == (ctl.Exit.UNKNOWN, "EDIT_UNKNOWN")
    assert report["context"]["learn"].startswith("foxtailctl contract put ")
    assert report["context"]["learn"].endswith("--base 0 --edit-id e7")


def test_status_shows_keepers_hosts_and_upstreams(cli):
    shown = cli.run("status").stdout
    for part in ("version 3", "k1", "lags", "3.5 s", "suspected sofia-2"):
        assert part in shown
    assert f"{standins.UPSTREAM}  balans" in shown
    code, report = cli.json("status")
    assert code == 0
    assert report["hosts"][0]["upstreams"][0]["state"] == "draining"
    assert report["keepers"]["hosts"][0]["lags_s"] == 3.5


def test_unreached_hosts_are_named(cli):
    absent = addresses.free_address()
    cli.configure([cli.addresses[0], absent])
    code, report = cli.json("status")
    assert (code, report["result"]) == (ctl.Exit.PARTLY, "HOSTS_UNREACHED")
    assert report["unreached"][0]["address"] == str(absent)
    assert str(absent) in cli.run("histogram").stdout


def test_histograms_are_merged_over_hosts(cli):
    code, report = cli.json("histogram", "--customer", "balans")
    (series,) = report["snapshots"]
    assert (code, series["count"], report["hosts"]) == (0, 6, 2)
    assert 49_000 <= series["percentiles_us"]["99"] <= 51_000
    shown = cli.run("histogram", "--priority", "high").stdout
    assert "balans slot-desk high: 6 values" in shown and "█" in shown
    assert cli.json("histogram", "--service", "x")[1]["snapshots"] == []


def test_drain_is_sent_to_every_host(cli):
    code, report = cli.json("drain", standins.UPSTREAM)
    assert (code, report["confirmed"], report["flows"]) == (0, 2, 8)
    assert cli.json("drain", "127.2.0.6:1/1")[0] == ctl.Exit.MISSING


def test_keepers_and_hosts(cli):
    assert "k1" in cli.run("keeper", "list").stdout
    for args in (
        ("keeper", "add", "127.2.9.4:7400"),
        ("keeper", "remove", "k1"),
        ("keeper", "replace", "k1", "127.2.9.4:7400"),
        ("host", "remove", "sofia-9"),
    ):
        assert cli.run(*args).exit_code == 0
    assert cli.run("keeper", "add", "k4").exit_code == ctl.Exit.INVALID


def test_no_keeper_or_host_is_reachable(tmp_path):
    cli = Cli(tmp_path)
    code, report = cli.put(CONTRACT)
    assert (code, report["result"]) == (ctl.Exit.UNREACHED, "LINK_LOST")
    assert cli.run("status").exit_code == ctl.Exit.PARTLY
    assert cli.run("drain", "x").exit_code == ctl.Exit.UNREACHED
    cli.settings.write_text("{")
    code, report = cli.json("status")
    assert (code, report["result"]) == (
        ctl.Exit.INVALID,
        "SETTINGS_UNREADABLE",
    )


def test_every_command_has_help_with_an_example():
    runner = testing.CliRunner()
    assert "0.1.0" in runner.invoke(_app.app, ["--version"]).stdout
    for name in ("contract", "keeper", "host"):
        assert runner.invoke(_app.app, [name, "--help"]).exit_code == 0
    for command in COMMANDS:
        shown = runner.invoke(_app.app, [*command.split(), "--help"]).stdout
        assert f"foxtailctl {command}" in shown and "--json" in shown


COMMANDS = (
    "status",
    "histogram",
    "drain",
    "contract put",
    "contract get",
    "contract list",
    "contract diff",
    "contract history",
    "contract rollback",
    "keeper list",
    "keeper add",
    "keeper remove",
    "keeper replace",
    "host remove",
)

st.register_type_strategy(
    ids.Address,
    st.builds(ids.Address, st.just("127.0.0.1"), st.integers(1, 65535)),
)
HOSTILE = st.one_of(
    *(
        st.from_type(kind)
        for kind in (
            contracts.ContractAnswer,
            contracts.ContractList,
            contracts.HistoryAnswer,
            contracts.KeeperList,
            contracts.KeeperChanged,
            contracts.HostRemoved,
            _reports.EditReport,
            _reports.StatusReport,
            _reports.DrainReport,
        )
    )
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(HOSTILE)
def test_hostile_answers_cant_steer_the_terminal(value):
    shown, scripted = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(shown):
        _show.emit(value, errors.Code.OK, as_json=False)
    assert all(c.isprintable() or c == "\n" for c in shown.getvalue())
    with contextlib.redirect_stdout(scripted):
        _show.emit(value, errors.Code.OK, as_json=True)
    assert json.loads(scripted.getvalue(), parse_constant=pytest.fail)
