"""An invalid settings file is rejected, naming file, field and values."""

import pathlib

import hypothesis
from hypothesis import strategies as st
import pyjson5
import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import settings

PATH = pathlib.Path("conf/entry.json")
ENTRY = """
{ // one entry host
  host: "lima-1", zone: "lima-a", region: "lima",
  peer_address: "127.1.0.1:7100", operator_address: "127.1.0.1:7200",
  fabric_address: "127.1.0.1:7300",
  announce_address: "127.1.0.1:7400",
  keepers: ["127.1.9.1:7400"], seeds: ["127.1.0.2:7100"],
  fabric_mode: "proxy",
  tls: {certificate: "a.pem", key: "a.key", authority: "/ca.pem"},
  cluster_key: "000102030405060708090a0b0c0d0e0f",
}
"""
KEEPER = """
{ keeper: "k1", zone: "a", listen_address: "127.1.9.1:7400",
  data_folder: "data/k1", first_keepers: {k1: "127.1.9.1:7400"} }
"""


def test_values_are_typed_and_paths_relative_to_the_file():
    cfg = settings.parse(ENTRY, settings.EntrySettings, PATH)
    assert cfg.peer_address == ids.Address("127.1.0.1", 7100)
    assert cfg.fabric_mode is settings.FabricMode.PROXY
    assert cfg.tls.certificate == pathlib.Path("conf/a.pem")
    assert cfg.tls.authority == pathlib.Path("/ca.pem")
    assert "0102" not in repr(cfg) and len(cfg.cluster_key) == 16
    keeper = settings.parse(KEEPER, settings.KeeperSettings, PATH)
    assert keeper.data_folder == pathlib.Path("conf/data/k1")
    assert keeper.fsync


@pytest.mark.parametrize(
    ("old", "new", "parts"),
    [
        ('"proxy"', '"tunnel"', ("fabric_mode", "'proxy' or 'direct'")),
        ("host:", "hots: 1, host:", ("hots: unknown", "peer_address")),
        ("key:", "kee: 1, key:", ("tls.kee: unknown", "authority")),
        ("7300", "73000", ("fabric_address", "1 to 65535")),
        ("127.1.0.2", "example.org", ("seeds.0", "IP number")),
        ('"127.1.0.2:7100"', "7", ("seeds.0", "ip:port")),
        ('"lima-1"', '"a b"', ("host: ", "pattern")),
        ('"lima-1"', "17", ("host: ", "string")),
        ("0f", "zz", ("cluster_key", "32 to 128 hexadecimal")),
        ('zone: "lima-a",', "", ("zone: ", "required")),
    ],
)
def test_names_file_field_and_allowed_values(old, new, parts):
    assert old in ENTRY
    with pytest.raises(errors.FoxtailError) as info:
        settings.parse(ENTRY.replace(old, new), settings.EntrySettings, PATH)
    assert info.value.code == errors.Code.SETTINGS_INVALID
    assert str(PATH) in str(info.value)
    assert all(part in str(info.value) for part in parts), str(info.value)
    assert "0001020304" not in str(info.value)


def test_unreadable_files(tmp_path):
    broken = tmp_path / "broken.json"
    for data in (b"{", b"\xff\xfe", b"[" * 100_000, b" " * (2 << 20)):
        broken.write_bytes(data)
        _check_load_fails(broken, errors.Code.SETTINGS_UNREADABLE)
    _check_load_fails(
        tmp_path / "absent.json", errors.Code.SETTINGS_UNREADABLE
    )
    _check_load_fails(tmp_path, errors.Code.SETTINGS_UNREADABLE)


def _check_load_fails(path, code):
    with pytest.raises(errors.FoxtailError) as info:
        settings.load(path, settings.EntrySettings)
    assert info.value.code == code
    assert str(path) in str(info.value)


JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
KINDS = st.sampled_from(
    [
        settings.EntrySettings,
        settings.KeeperSettings,
        settings.OperatorSettings,
    ]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(KINDS, st.data())
def test_hostile_values_get_a_numbered_error(kind, data):
    base = pyjson5.decode(ENTRY if kind is settings.EntrySettings else KEEPER)
    names = list(kind.__dataclass_fields__)
    base |= data.draw(st.dictionaries(st.sampled_from(names), JSON))
    _parse_or_refuse(pyjson5.encode(base), kind)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    KINDS, st.text() | st.integers(0, 400).map(lambda n: ENTRY[:n])
)
def test_hostile_text_gets_a_numbered_error(kind, text):
    _parse_or_refuse(text, kind)


def _parse_or_refuse(text, kind):
    try:
        settings.parse(text, kind, PATH)
    except errors.FoxtailError as exc:
        assert exc.code in (
            errors.Code.SETTINGS_INVALID,
            errors.Code.SETTINGS_UNREADABLE,
        )
