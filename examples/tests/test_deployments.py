"""Checks that example settings load and are consistent per deployment."""

import collections
import pathlib

import pytest

from foxtailworks import contracts
from foxtailworks import settings

FOLDER = pathlib.Path(__file__).parents[1]
HOSTS = {"huaylas": (7, 4), "balans": (6, 3)}

pytestmark = pytest.mark.parametrize("user", HOSTS)


def entries_of(user):
    paths = sorted((FOLDER / user).glob("entry-*.json"))
    return [settings.load(path, settings.EntrySettings) for path in paths]


def keepers_of(user):
    paths = sorted((FOLDER / user).glob("keeper-*.json"))
    return [settings.load(path, settings.KeeperSettings) for path in paths]


def test_sizes_and_zones(user):
    entries, keepers = entries_of(user), keepers_of(user)
    zones = {cfg.zone for cfg in entries}
    assert (len(entries), len(zones)) == HOSTS[user]
    assert len({cfg.host for cfg in entries}) == len(entries)
    assert len({cfg.zone for cfg in keepers} & zones) == len(keepers) == 3


def test_addresses_fit_together(user):
    entries, keepers = entries_of(user), keepers_of(user)
    first = keepers[0].first_keepers
    assert {k.keeper: k.listen_address for k in keepers} == first
    assert all(cfg.first_keepers == first for cfg in keepers)
    peers = {cfg.peer_address for cfg in entries}
    for cfg in entries:
        assert set(cfg.keepers) == set(first.values())
        assert set(cfg.seeds) <= peers - {cfg.peer_address}
    path = FOLDER / user / "foxtailctl.json"
    tool = settings.load(path, settings.OperatorSettings)
    assert set(tool.keepers) == set(first.values())
    assert set(tool.entries) == {cfg.operator_address for cfg in entries}
    used = collections.Counter(
        address
        for cfg in entries
        for address in (
            cfg.peer_address,
            cfg.operator_address,
            cfg.fabric_address,
            cfg.announce_address,
        )
    )
    assert max(used.values()) == 1


def test_contract(user):
    text = (FOLDER / user / "contract.json").read_text()
    contract = contracts.check_document(user, text)
    kinds = collections.Counter(s.kind for s in contract.services)
    assert kinds[contracts.ServiceKind.REQUEST] == 2
    assert kinds[contracts.ServiceKind.FLOW] == 1
    classes = [c for s in contract.services for c in s.classes]
    high = [c for c in classes if c.priority is contracts.Priority.HIGH]
    assert [c.methods for c in high] == [("POST",)]
    others = [c for c in classes if c not in high]
    assert {c.methods for c in others} == {("GET",)}
